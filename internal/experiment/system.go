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
	// warmRound numbers the slice that is not counted.
	warmRound = -1
	inFlight  = 10000
	// seedStep keeps the rounds' loads apart.
	seedStep = 1000
)

// system is one variant, running.
type system struct {
	variant   Variant
	emulation *fleet.Emulation
	fleet     *fleet.Fleet
	asker     load.Asker
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
		InFlight:   inFlight,
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
		return fault.Step("parse the emulation's text", err)
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

// measure runs one slice of the variant's load.
func (s *system) measure(ctx context.Context, round int) (Slice, error) {
	profile := s.variant.Profile
	profile.Seed += uint64(round+1) * seedStep
	slice := Slice{Recorder: load.NewRecorder()}
	usage := load.ReadUsage()
	received := s.emulation.Received()
	connections := s.emulation.Connections()
	stop := s.disturb(ctx, round)
	err := load.Run(ctx, profile, s.asker, slice.Recorder)
	stop()
	slice.Usage = load.ReadUsage().Since(usage)
	slice.Received = s.emulation.Received() - received
	slice.Connections = s.emulation.Connections()
	slice.Connections.Accepted -= connections.Accepted
	slice.Connections.Refused -= connections.Refused
	return slice, err
}

// disturb starts what the variant does to the replicas during a slice; the
// function returned ends it.
func (s *system) disturb(ctx context.Context, round int) func() {
	if s.variant.During == nil || round == warmRound {
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
