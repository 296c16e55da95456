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

func gatherRequest(target time.Duration) Request {
	route := &policy.Route{Name: "all", Idempotent: true, TargetLatency: target, MaxReplicas: 2, Gather: &policy.Gather{Shards: []string{"a", "b"}, MinCoverage: 0.5}}
	return Request{Route: route, Services: route.Gather.Shards, MaxWait: time.Second, TransitTime: 9 * ms}
}

func outlookWithLatency(route *policy.Route, took time.Duration) *Outlook {
	o := New("east", nil, extra.Bound{}, func() float64 { return 0 })
	incarnation := replica.Incarnation{ID: "r"}
	for range 100 {
		o.Answered(route, incarnation, took, 0)
	}
	return o
}

// An operator sets a target latency that the route's replicas never meet. Early rejection based on it would refuse every
// request to a busy replica, although all requests are served, only later.
func TestAnAimThatNobodyKeepsRejectsNothing(t *testing.T) {
	request := gatherRequest(60 * ms)
	require.Equal(t, 51*ms, outlookWithLatency(request.Route, 20*ms).Plan(request).Admission.TargetAt)
	require.Zero(t, outlookWithLatency(request.Route, 40*ms).Plan(request).Admission.TargetAt)
	require.Zero(t, New("east", nil, extra.Bound{}, nil).Plan(request).Admission.TargetAt, "no latencies are known yet")
}

// A caller's second attempt has less remaining time, so that an incomplete answer is due sooner.
func TestTimeOfEarlierAttemptsCounts(t *testing.T) {
	request := gatherRequest(60 * ms)
	o := outlookWithLatency(request.Route, 10*ms)
	request.RemainingTime = 300 * ms
	require.Equal(t, 51*ms, o.Plan(request).PartialAt)
	request.RemainingTime = 280 * ms
	require.Equal(t, 31*ms, o.Plan(request).PartialAt)
}

func TestExcerptsAreRequestedInFullAfterOneLackedRecords(t *testing.T) {
	request := gatherRequest(60 * ms)
	o := outlookWithLatency(request.Route, 10*ms)
	require.Equal(t, 2, o.ExcerptParts(request.Route, 0))
	o.RecordSkew(request.Route, time.Second)
	require.Zero(t, o.ExcerptParts(request.Route, 2*time.Second))
	require.Equal(t, 2, o.ExcerptParts(request.Route, time.Second+fullExcerptsFor))
}

// BenchmarkBegin measures planning a query and choosing a replica of every shard, including the check whether enough
// answers are expected in time.
func BenchmarkBegin(b *testing.B) {
	for _, shards := range []int{20, 135} {
		b.Run(strconv.Itoa(shards), func(b *testing.B) {
			o := New("east", nil, extra.Bound{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50}, func() float64 { return 0 })
			request := gatherRequest(60 * ms)
			request.Route.Gather.Shards = nil
			for shard := range shards {
				name := strconv.Itoa(shard)
				request.Route.Gather.Shards = append(request.Route.Gather.Shards, name)
				for _, dataCentre := range []string{"east", "west", "south"} {
					o.Replicas.Put(replica.Replica{ID: name + dataCentre, Service: name, DataCentre: dataCentre, Slots: 2})
				}
			}
			request.Services = request.Route.Gather.Shards
			for b.Loop() {
				scatter.New(o.Plan(request), o.Chooser(request.Route)).Step(0, scatter.Begin{})
			}
		})
	}
}
