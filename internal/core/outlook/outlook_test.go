package outlook

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

const ms = time.Millisecond

func gathered(aim time.Duration) Request {
	route := &policy.Route{Name: "all", Idempotent: true, TargetLatency: aim, MaxReplicas: 2, Gather: &policy.Gather{Shards: []string{"a", "b"}, MinCoverage: 0.5}}
	return Request{Route: route, Services: route.Gather.Shards, MaxWait: time.Second, TransitTime: 9 * ms}
}

func learnt(route *policy.Route, took time.Duration) *Outlook {
	o := New("east", nil, extra.Bound{}, func() float64 { return 0 })
	life := replica.Incarnation{ID: "r"}
	for range 100 {
		o.Answered(route, life, took, 0)
	}
	return o
}

// An operator sets an aim that the route's replicas never keep. Early rejections that went by it would
// refuse every request that meets another one, though all are served, only later.
func TestAnAimThatNobodyKeepsRejectsNothing(t *testing.T) {
	ask := gathered(60 * ms)
	require.Equal(t, 51*ms, learnt(ask.Route, 20*ms).Plan(ask).TargetLatency)
	require.Zero(t, learnt(ask.Route, 40*ms).Plan(ask).TargetLatency)
	require.Zero(t, New("east", nil, extra.Bound{}, nil).Plan(ask).TargetLatency, "nothing is known yet")
}

// A caller's second try has less of its time left. An incomplete answer is then due sooner.
func TestTheTimeThatEarlierTriesTookCounts(t *testing.T) {
	ask := gathered(60 * ms)
	o := learnt(ask.Route, 10*ms)
	ask.RemainingTime = 300 * ms
	require.Equal(t, 51*ms, o.Plan(ask).PartialAt)
	ask.RemainingTime = 280 * ms
	require.Equal(t, 31*ms, o.Plan(ask).PartialAt)
}

func TestExcerptsAreFullForAWhileOnceOneLackedRecords(t *testing.T) {
	ask := gathered(60 * ms)
	o := learnt(ask.Route, 10*ms)
	require.Equal(t, 2, o.ExcerptParts(ask.Route, 0))
	o.RecordSkew(ask.Route, time.Second)
	require.Zero(t, o.ExcerptParts(ask.Route, 2*time.Second))
	require.Equal(t, 2, o.ExcerptParts(ask.Route, time.Second+skewLife))
}

// BenchmarkBegin is what planning a question and choosing the replica of every shard costs, with the
// check whether enough answers can come in time.
func BenchmarkBegin(b *testing.B) {
	for _, shards := range []int{20, 135} {
		b.Run(strconv.Itoa(shards), func(b *testing.B) {
			o := New("east", nil, extra.Bound{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50}, func() float64 { return 0 })
			ask := gathered(60 * ms)
			ask.Route.Gather.Shards = nil
			for shard := range shards {
				name := strconv.Itoa(shard)
				ask.Route.Gather.Shards = append(ask.Route.Gather.Shards, name)
				for _, dataCentre := range []string{"east", "west", "south"} {
					o.Replicas.Put(replica.Replica{ID: name + dataCentre, Service: name, DataCentre: dataCentre, Slots: 2})
				}
			}
			ask.Services = ask.Route.Gather.Shards
			for b.Loop() {
				scatter.New(o.Plan(ask), o.Chooser(ask.Route)).Step(0, scatter.Begin{})
			}
		})
	}
}
