package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
)

// The sizes of the measurement of nodes without load.
const (
	fewNodes  = 4
	manyNodes = 16
	idleTime  = 2 * time.Second
)

// idleSlopes weigh nodes that serve a text and get no question: what control
// alone costs. A figure that grows with the number of nodes shows a mechanism
// whose cost grows with the fleet.
func idleSlopes() ([]figure, error) {
	var figures []figure
	for _, count := range []int{fewNodes, manyNodes} {
		cpu, memory, err := idleCost(count)
		if err != nil {
			return nil, err
		}
		figures = append(figures,
			figure{fmt.Sprintf("idle node: CPU, %d nodes", count), "us/s", cpu},
			figure{fmt.Sprintf("idle node: memory, %d nodes", count), "bytes", memory})
	}
	return figures, nil
}

// idleCost is what one node of a fleet without load costs: microseconds of CPU
// a second, the stand-in platform included, and bytes.
func idleCost(count int) (cpuMicros, memory float64, err error) {
	emulation, err := fleet.StartEmulation(fleet.MainSearch(), seed)
	if err != nil {
		return 0, 0, err
	}
	defer emulation.Close()
	before := memoryInUse()
	running, err := fleet.Start(fleet.Options{Nodes: count, LogOutput: io.Discard})
	if err != nil {
		return 0, 0, err
	}
	defer running.Close()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	text := emulation.ConfigText(fleet.ConfigTextOptions{Routing: "owner", BundleSize: 1, InFlight: inFlight})
	if err := running.AwaitReady(ctx, running.Platform.Publish(text)); err != nil {
		return 0, 0, fault.Step("start idle nodes", err)
	}
	time.Sleep(idleTime)
	cpu, elapsed, _ := cpuOf(func() error {
		time.Sleep(idleTime)
		return nil
	})
	return micros(cpu, count) / elapsed.Seconds(), (memoryInUse() - before) / float64(count), nil
}
