package query

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// aggregatorPlan returns a plan of services with one shard each, in bundles of the given size. The
// last service depends on all the others.
func aggregatorPlan(shards, bundle int) *Plan {
	services := make([]ServicePlan, shards)
	needs := make([]Need, shards)
	for i := range shards {
		name := fmt.Sprintf("plate-%03d", i)
		services[i].Name = name
		services[i].Shards = []int{i}
		needs[i] = Need{Ref: core.ShardRef{Service: name}, Bundle: core.BundleID(i/bundle + 1), Service: i}
		if i < shards-1 {
			services[shards-1].DependsOn = append(services[shards-1].DependsOn, i)
		}
	}
	needs[shards-1].Bundle = core.BundleID(shards + 1)
	return NewPlan(services, needs)
}

// benchmarkQuery runs complete queries in which every shard answers once, and reports the cost of
// one shard's part.
func benchmarkQuery(b *testing.B, shards, bundle int) {
	plan := aggregatorPlan(shards, bundle)
	serves := []core.Version{7, 8}
	var sends []Send
	b.ReportAllocs()
	for b.Loop() {
		m := New(plan, Options{Deadline: time.Second, MaxTries: 3, MaxSwitches: 3, Preferred: 8, RetryPause: time.Millisecond, FallbackAfter: 100 * time.Millisecond})
		sends = appendSends(sends[:0], m.Step(0, Started{}))
		for i := 0; i < len(sends); i++ {
			for _, need := range sends[i].Needs {
				sends = appendSends(sends, m.Step(time.Millisecond, PartArrived{Send: sends[i].ID, Need: need, Version: 8, Serves: serves}))
			}
		}
		if m.answered != shards {
			b.Fatal("the query ended without all parts")
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/part")
}

func appendSends(sends []Send, actions []Action) []Send {
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			sends = append(sends, send)
		}
	}
	return sends
}

func BenchmarkQuery20Shards(b *testing.B)         { benchmarkQuery(b, 20, 1) }
func BenchmarkQuery110Shards(b *testing.B)        { benchmarkQuery(b, 110, 1) }
func BenchmarkQuery110ShardsBundled(b *testing.B) { benchmarkQuery(b, 110, 10) }
