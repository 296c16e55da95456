package experiment

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/baseline"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/load"
)

const (
	readyTimeout = 30 * time.Second
	// warmUpRound is the round number of the warm-up slice, which is not counted.
	warmUpRound   = -1
	inFlightLimit = 10000
	// seedStride gives each round a different seed.
	seedStride = 1000
)

// system is a running variant.
type system struct {
	variant   Variant
	emulation *fleet.Emulation
	fleet     *fleet.Fleet
	asker     load.Sender
	stopAsker func()
}

func startSystem(ctx context.Context, shape fleet.Shape, variant Variant) (*system, error) {
	emulation, err := fleet.StartEmulation(shape, variant.Profile.Seed)
	if err != nil {
		return nil, err
	}
	s := &system{variant: variant, emulation: emulation, stopAsker: func() {}}
	text := emulation.ConfigText(fleet.ConfigTextOptions{
		Routing:    variant.Routing,
		BundleSize: variant.BundleSize,
		Weights:    variant.Weights,
		InFlight:   inFlightLimit,
	})
	if variant.Naive {
		err = s.startNaive(text)
	} else {
		err = s.startNodes(ctx, text)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	if variant.Prepare != nil {
		variant.Prepare(emulation)
	}
	return s, nil
}

func (s *system) startNaive(text string) error {
	parsed, err := catalog.Parse([]byte(text))
	if err != nil {
		return fault.Wrap("parse the emulation's configuration", err)
	}
	callers := baseline.New(parsed, s.variant.Nodes, s.variant.Profile.Seed)
	s.asker, s.stopAsker = callers, callers.Close
	return nil
}

func (s *system) startNodes(ctx context.Context, text string) error {
	running, err := fleet.Start(fleet.Options{Nodes: s.variant.Nodes, LogOutput: io.Discard})
	if err != nil {
		return err
	}
	s.fleet = running
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := running.AwaitReady(ctx, running.Platform.Publish(text)); err != nil {
		return err
	}
	var seeds []string
	for _, member := range running.Members() {
		seeds = append(seeds, member.Addresses.Caller)
	}
	caller := load.NewCaller(seeds)
	s.asker, s.stopAsker = caller, caller.Close
	return nil
}

func (s *system) close() {
	s.stopAsker()
	if s.fleet != nil {
		s.fleet.Close()
	}
	s.emulation.Close()
}

// measure runs and measures one slice of the variant's load.
func (s *system) measure(ctx context.Context, round int) (Slice, error) {
	profile := s.variant.Profile
	profile.Seed += uint64(round+1) * seedStride
	slice := Slice{Recorder: load.NewRecorder()}
	usage := load.ReadUsage()
	received := s.emulation.Received()
	connections := s.emulation.Connections()
	stop := s.startDisturbance(ctx, round)
	err := load.Run(ctx, profile, s.asker, slice.Recorder)
	stop()
	slice.Usage = load.ReadUsage().Since(usage)
	slice.Received = s.emulation.Received() - received
	slice.Connections = s.emulation.Connections()
	slice.Connections.Accepted -= connections.Accepted
	slice.Connections.Refused -= connections.Refused
	return slice, err
}

// startDisturbance starts the variant's changes to the replicas during a slice. The
// returned function stops them.
func (s *system) startDisturbance(ctx context.Context, round int) func() {
	if s.variant.During == nil || round == warmUpRound {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() { s.variant.During(ctx, s.emulation, round, s.variant.Profile.Duration) })
	return func() {
		cancel()
		done.Wait()
	}
}
