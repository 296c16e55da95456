package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
)

// Parameters of the measurement of idle nodes.
const (
	fewNodes     = 4
	manyNodes    = 16
	idleDuration = 2 * time.Second
)

// idleSlopes measures nodes that have a configuration and receive no queries: the
// cost of the control plane alone. A figure that grows with the number of nodes
// shows a mechanism whose cost per node grows with the fleet.
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

// idleCost returns the cost of one node of an idle fleet: microseconds of CPU time
// per second, including the stand-in platform, and bytes of memory.
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
	text := emulation.ConfigText(fleet.ConfigTextOptions{Routing: "owner", BundleSize: 1, InFlight: inFlightLimit})
	if err := running.AwaitReady(ctx, running.Platform.Publish(text)); err != nil {
		return 0, 0, fault.Wrap("start idle nodes", err)
	}
	time.Sleep(idleDuration)
	cpu, elapsed, _ := measureCPU(func() error {
		time.Sleep(idleDuration)
		return nil
	})
	return microsPer(cpu, count) / elapsed.Seconds(), (memoryInUse() - before) / float64(count), nil
}
