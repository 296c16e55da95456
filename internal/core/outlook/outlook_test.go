package outlook

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

const ms = time.Millisecond

func gathered(aim time.Duration) Ask {
	route := &policy.Route{Name: "all", Idempotent: true, Aim: aim, MaxReplicas: 2, Gather: &policy.Gather{Shards: []string{"a", "b"}, LeastCoverage: 0.5}}
	return Ask{Route: route, Services: route.Gather.Shards, Wait: time.Second, Way: 9 * ms}
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
	require.Equal(t, 51*ms, learnt(ask.Route, 20*ms).Plan(ask).Aim)
	require.Zero(t, learnt(ask.Route, 40*ms).Plan(ask).Aim)
	require.Zero(t, New("east", nil, extra.Bound{}, nil).Plan(ask).Aim, "nothing is known yet")
}

// A caller's second try has less of its time left. An incomplete answer is then due sooner.
func TestTheTimeThatEarlierTriesTookCounts(t *testing.T) {
	ask := gathered(60 * ms)
	o := learnt(ask.Route, 10*ms)
	ask.Left = 300 * ms
	require.Equal(t, 51*ms, o.Plan(ask).PartialAt)
	ask.Left = 280 * ms
	require.Equal(t, 31*ms, o.Plan(ask).PartialAt)
}

func TestExcerptsAreFullForAWhileOnceOneLackedRecords(t *testing.T) {
	ask := gathered(60 * ms)
	o := learnt(ask.Route, 10*ms)
	require.Equal(t, 2, o.ExcerptParts(ask.Route, 0))
	o.Skewed(ask.Route, time.Second)
	require.Zero(t, o.ExcerptParts(ask.Route, 2*time.Second))
	require.Equal(t, 2, o.ExcerptParts(ask.Route, time.Second+skewLife))
}
