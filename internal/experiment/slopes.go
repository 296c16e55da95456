package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/load"
)

// repetitions is the number of measurements of each slope, except keepAliveSlopes, which is slow.
const repetitions = 3

// Slope is the marginal cost of one more unit, such as a replica or a link, on this machine.
type Slope struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	Spread
}

// Slopes holds all slopes of a run.
type Slopes struct {
	Cores  int     `json:"cores"`
	Slopes []Slope `json:"slopes"`
}

// figure is a measured value. Its name and unit identify it across repetitions.
type figure struct {
	name  string
	unit  string
	value float64
}

// MeasureSlopes measures every slope, most of them repeatedly.
func MeasureSlopes() (Slopes, error) {
	slopes := Slopes{Cores: runtime.NumCPU()}
	for _, measure := range []func() ([]figure, error){
		catalogSlopes, handshakeSlopes, hopSlopes, entrySlopes, ownerSlopes, connectionSlopes, idleSlopes,
	} {
		if err := slopes.repeat(measure, repetitions); err != nil {
			return slopes, err
		}
	}
	return slopes, slopes.repeat(keepAliveSlopes, 1)
}

func (s *Slopes) repeat(measure func() ([]figure, error), times int) error {
	values := map[figure][]float64{}
	var order []figure
	for range times {
		figures, err := measure()
		if err != nil {
			return err
		}
		for _, one := range figures {
			key := figure{name: one.name, unit: one.unit}
			if values[key] == nil {
				order = append(order, key)
			}
			values[key] = append(values[key], one.value)
		}
	}
	for _, key := range order {
		sorted := slices.Sorted(slices.Values(values[key]))
		spread := Spread{Low: sorted[0], Median: sorted[len(sorted)/2], High: sorted[len(sorted)-1]}
		s.Slopes = append(s.Slopes, Slope{Name: key.name, Unit: key.unit, Spread: spread})
	}
	return nil
}

// WriteText writes the slopes as readable text.
func (s Slopes) WriteText(out io.Writer) {
	for _, slope := range s.Slopes {
		fmt.Fprintf(out, "%-58s %12.2f %-8s (%.2f..%.2f)\n", slope.Name, slope.Median, slope.Unit, slope.Low, slope.High)
	}
}

// WriteJSON writes the slopes as JSON.
func (s Slopes) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return fault.Wrap("write the slopes", encoder.Encode(s))
}

// memoryInUse returns the bytes of live heap and stacks after garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

// measureCPU runs the work and returns the CPU time of the process and the elapsed time.
func measureCPU(work func() error) (cpu, elapsed time.Duration, err error) {
	runtime.GC()
	started := time.Now()
	before := load.ReadUsage()
	err = work()
	return load.ReadUsage().Since(before).CPU, time.Since(started), err
}

func microsPer(duration time.Duration, count int) float64 {
	return float64(duration) / float64(time.Microsecond) / float64(count)
}
