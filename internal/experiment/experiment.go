// Package experiment compares variants of the system on one machine in named,
// seeded and bounded runs. The variants run in alternating short slices, so that
// noise of the machine affects all of them alike.
package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/load"
)

// Variant is a setup of the system to compare.
type Variant struct {
	Name string
	// Nodes is the number of the system's nodes, or of caller processes if Naive
	// is set.
	Nodes int
	// Naive runs without the system: callers connect to the replicas directly.
	Naive bool
	// Routing and BundleSize are set in the operators' configuration.
	Routing    string
	BundleSize int
	Weights    map[core.Customer]float64
	Profile    load.Profile
	// Prepare, if set, changes the replicas before the first slice.
	Prepare func(*fleet.Emulation)
	// During, if set, changes the replicas while a slice runs.
	During func(ctx context.Context, emulation *fleet.Emulation, round int, slice time.Duration)
}

// Experiment is a named comparison.
type Experiment struct {
	Name  string
	About string
	Shape fleet.Shape
	// Rounds is the number of slices of each variant.
	Rounds   int
	Variants []Variant
}

// Slice holds the measurements of a variant in one round or in all rounds.
type Slice struct {
	Recorder *load.Recorder
	Usage    load.Usage
	// Received counts the requests that reached the replicas.
	Received int
	// Connections holds Open and Peak of the run up to the end of the slice, and
	// Refused and Accepted of the slice alone.
	Connections fleet.ConnectionCounts
}

// ExtraLoad is the ratio of upstream requests to requested shards, less one.
func (s Slice) ExtraLoad() float64 {
	if s.Recorder.All.Asked == 0 {
		return 0
	}
	return float64(s.Received)/float64(s.Recorder.All.Asked) - 1
}

// CPUPerPart is the CPU time of the process, including load, nodes and replicas,
// per requested shard.
func (s Slice) CPUPerPart() time.Duration {
	return s.Usage.CPU / time.Duration(max(1, s.Recorder.All.Asked))
}

// AllocationsPerPart is the number of allocations of the process per requested shard.
func (s Slice) AllocationsPerPart() float64 {
	return float64(s.Usage.Allocations) / float64(max(1, s.Recorder.All.Asked))
}

func (s *Slice) add(other Slice) {
	s.Recorder.Merge(other.Recorder)
	s.Usage = s.Usage.Add(other.Usage)
	s.Received += other.Received
	s.Connections.Accepted += other.Connections.Accepted
	s.Connections.Refused += other.Connections.Refused
	s.Connections.Open = other.Connections.Open
	s.Connections.Peak = max(s.Connections.Peak, other.Connections.Peak)
}

// Result is a finished experiment. Rounds holds a slice of each variant for each round.
type Result struct {
	Experiment Experiment
	Cores      int
	Rounds     [][]Slice
}

// Total merges a variant's rounds.
func (r Result) Total(variant int) Slice {
	total := Slice{Recorder: load.NewRecorder()}
	for _, round := range r.Rounds {
		total.add(round[variant])
	}
	return total
}

// Order returns the order of the variants in each round. Every second round is in
// reverse, so that a drift of the machine's speed favours no variant.
func Order(variants, rounds int) [][]int {
	order := make([][]int, rounds)
	for round := range order {
		for variant := range variants {
			order[round] = append(order[round], variant)
		}
		if round%2 == 1 {
			slices.Reverse(order[round])
		}
	}
	return order
}

// Run starts the system of every variant, warms it up with a slice that is not
// counted, and measures the rounds.
func Run(ctx context.Context, e Experiment, cores int) (Result, error) {
	result := Result{Experiment: e, Cores: cores}
	if e.Rounds < 1 || len(e.Variants) == 0 {
		return result, fault.NotRun(fault.CodeBadRequest, "the experiment has no round or no variant", "define at least one of each")
	}
	systems := make([]*system, 0, len(e.Variants))
	defer func() {
		for _, one := range systems {
			one.close()
		}
	}()
	for _, variant := range e.Variants {
		started, err := startSystem(ctx, e.Shape, variant)
		if err != nil {
			return result, fault.Wrap("start "+variant.Name, err)
		}
		systems = append(systems, started)
	}
	for _, one := range systems {
		if _, err := one.measure(ctx, warmUpRound); err != nil {
			return result, err
		}
	}
	for round, order := range Order(len(systems), e.Rounds) {
		measured := make([]Slice, len(systems))
		for _, variant := range order {
			slice, err := systems[variant].measure(ctx, round)
			if err != nil {
				return result, err
			}
			measured[variant] = slice
		}
		result.Rounds = append(result.Rounds, measured)
	}
	return result, ctx.Err()
}
