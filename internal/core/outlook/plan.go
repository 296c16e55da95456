package outlook

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/comeback"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

const (
	// maxRoutes bounds the number of routes whose latencies are kept.
	maxRoutes = 4096
	// hedgeQuantile is the quantile of a route's latencies after which a send is hedged.
	// At 0.95 hedges use at most a quarter of the budget for extra sends in normal
	// operation.
	hedgeQuantile = 0.95
	// maxHedgeLatencyFactor times the typical latency plus hedgeMargin bounds the hedge delay: nearly
	// all answers of replicas that are not paused arrive sooner, those of paused replicas later. If one
	// in twenty answers meets a pause, the quantile alone would be as long as the pause.
	maxHedgeLatencyFactor = 2
	hedgeMargin           = 3 * time.Millisecond
	// typicalQuantile gives the typical latency of a route, to which replicas are compared.
	typicalQuantile = 0.5
	// remoteHedgeExtra is added to the hedge delay of a send to another data centre: the
	// round trip between data centres and the interval at which a node there sends its
	// replies.
	remoteHedgeExtra = 6 * time.Millisecond
)

// routeLatency holds the observed latencies of one route.
type routeLatency struct {
	latencies latency.Histogram
	// longestRemaining is the longest remaining time of any caller's request, which is
	// taken for that of a first attempt.
	longestRemaining time.Duration
	// fullExcerptsUntil is until when other nodes must not shorten excerpts of the route's parts.
	fullExcerptsUntil core.Time
}

// fullExcerptsFor is how long excerpts are requested in full after one lacked records: if most top records are in
// few shards, no shortened excerpt is usable. With a minute, fewer than one in some thousand parts are lost to
// retrying shortened excerpts.
const fullExcerptsFor = time.Minute

// ExcerptParts returns the number of parts of an answer, from which another node derives how far it may shorten its
// excerpts; 0 forbids shortening.
func (o *Outlook) ExcerptParts(route *policy.Route, now core.Time) int {
	if route.Gather == nil || now < o.routeLatency(route).fullExcerptsUntil {
		return 0
	}
	return len(route.Gather.Shards)
}

// RecordSkew records that a shortened excerpt lacked records.
func (o *Outlook) RecordSkew(route *policy.Route, now core.Time) {
	o.routeLatency(route).fullExcerptsUntil = now + fullExcerptsFor
}

func (o *Outlook) routeLatency(route *policy.Route) *routeLatency {
	known := o.routes[route.Name]
	if known == nil {
		if len(o.routes) >= maxRoutes {
			clear(o.routes)
		}
		known = &routeLatency{}
		o.routes[route.Name] = known
	}
	return known
}

// Request is a request to plan.
type Request struct {
	Route    *policy.Route
	Services []string
	Arrived  core.Time
	// MaxWait is the longest time that the caller is kept waiting.
	MaxWait time.Duration
	// RemainingTime is how long the caller will wait, 0 if it does not state it.
	RemainingTime time.Duration
	// TransitTime is the time of the request from the caller plus that of the answer to the caller.
	TransitTime time.Duration
	// Caller is the address that the request came from, "" if unknown.
	Caller string
	// Key returns what identifies the request over the attempts of its caller, nil if that is unknown.
	Key func() comeback.Key
}

// group names what the request competes for. Routes over the same shards compete with each other.
func (r Request) group() string {
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[0]
}

// Plan returns the plan of a request: the parts that it needs, and when to hedge and to answer.
func (o *Outlook) Plan(request Request) scatter.Plan {
	route := request.Route
	plan := scatter.Plan{
		Services: request.Services, MinParts: 1, Idempotent: route.Idempotent, MaxReplicas: route.MaxReplicas,
		Deadline: request.Arrived + request.MaxWait,
	}
	plan.Admission = placement.Request{Group: request.group(), Caller: request.Caller, Key: request.Key, Claim: placement.Claim{Priority: route.Priority, OverShare: o.Callers.IsOver(request.Caller, request.Arrived), Waited: o.elapsed(request), Deadline: plan.Deadline}}
	observed := o.routeLatency(route)
	typical, known := observed.latencies.Quantile(typicalQuantile)
	if route.Idempotent {
		plan.HedgeAfter = observed.hedgeAfter(route.TargetLatency, typical, known)
		plan.RemoteHedgeExtra = remoteHedgeExtra
	}
	if route.TargetLatency > 0 {
		plan.TargetAt = request.Arrived + max(route.TargetLatency-request.TransitTime-plan.Admission.Waited, 0)
	}
	if route.Gather != nil {
		plan.MinParts = route.Gather.MinParts()
		if target := attainableTarget(route.TargetLatency-request.TransitTime, typical, known); target > 0 {
			plan.Admission.TargetAt = request.Arrived + target
		}
		// Just in time for the target, an answer with the least coverage is sent: a missing part costs the caller less than
		// a late answer.
		plan.PartialAt = plan.Deadline
		if plan.TargetAt > 0 {
			plan.PartialAt = plan.TargetAt
		}
	}
	return plan
}

// minTargetLatencyFactor is the least target latency, in typical latencies of the route, that decides on early
// rejections.
const minTargetLatencyFactor = 2

// attainableTarget returns the target latency, or 0 if the route's typical latency is unknown or too long for it. A
// target that no replica meets would cause the rejection of every request.
func attainableTarget(target, typical time.Duration, known bool) time.Duration {
	if !known || target < minTargetLatencyFactor*typical {
		return 0
	}
	return target
}

// hedgeAfter returns the hedge delay of a route. It never exceeds a third of the target latency, so that
// the hedge can be answered within it, and is a fifth of it until enough latencies are known.
func (t *routeLatency) hedgeAfter(target, typical time.Duration, known bool) time.Duration {
	const (
		maxTargetDivisor     = 3
		unknownTargetDivisor = 5
		minHedgeAfter        = 4 * time.Millisecond
	)
	after := target / unknownTargetDivisor
	if late, enough := t.latencies.Quantile(hedgeQuantile); known && enough {
		after = min(late, maxHedgeLatencyFactor*typical+hedgeMargin)
	}
	if target > 0 {
		after = min(after, target/maxTargetDivisor)
	}
	return max(after, minHedgeAfter)
}

// elapsed estimates how long a caller has been waiting over all its attempts, from its remaining time: a
// first attempt has the most.
func (o *Outlook) elapsed(request Request) time.Duration {
	if request.RemainingTime <= 0 {
		return 0
	}
	observed := o.routeLatency(request.Route)
	observed.longestRemaining = max(observed.longestRemaining, request.RemainingTime)
	return observed.longestRemaining - request.RemainingTime
}
