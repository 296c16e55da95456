package query

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// leadPlan is a lead service that depends on all the others, of one shard each,
// in bundles of the given size.
func leadPlan(shards, bundle int) *Plan {
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

// benchmarkQuestion runs whole questions, every shard answering once, and
// reports the cost of one shard's part.
func benchmarkQuestion(b *testing.B, shards, bundle int) {
	plan := leadPlan(shards, bundle)
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
			b.Fatal("the question did not end whole")
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

func BenchmarkQuestion20Shards(b *testing.B)         { benchmarkQuestion(b, 20, 1) }
func BenchmarkQuestion110Shards(b *testing.B)        { benchmarkQuestion(b, 110, 1) }
func BenchmarkQuestion110ShardsBundled(b *testing.B) { benchmarkQuestion(b, 110, 10) }
