package outlook

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

const (
	// maxRoutes bounds the routes whose answer times are remembered.
	maxRoutes = 4096
	// hedgeQuantile is the quantile of a route's answer times after which another
	// replica is asked. At 0.95 hedges take at most a quarter of the bound on extra
	// arrivals when nothing is wrong.
	hedgeQuantile = 0.95
	// hedgeTimes usual answer times and hedgeSpare is later than nearly all answers of replicas that
	// work, and sooner than those of a replica in a pause. Where a twentieth of all answers meet
	// a pause, the quantile is as long as the pause.
	hedgeTimes = 2
	hedgeSpare = 3 * time.Millisecond
	// usualQuantile gives the usual answer time that replicas are compared by.
	usualQuantile = 0.5
	// farExtra is how much longer a send to another data centre may take before it is
	// hedged: a round trip between data centres and the pause of a node there between
	// replies.
	farExtra = 6 * time.Millisecond
)

// routeTimes is what was seen of one route's requests.
type routeTimes struct {
	answers latency.Histogram
	// longest is the longest time that a caller was ready to wait: what a first
	// try has left.
	longest time.Duration
	// skewedUntil is until when excerpts of its parts are asked for in full.
	skewedUntil core.Time
}

// skewLife is how long excerpts are asked for in full after one lacked records: where most of the
// greatest records lie in few shards, every short one is useless. A minute keeps the parts
// that are lost to trying again under one in some thousand.
const skewLife = time.Minute

// ExcerptParts is the number of parts by which another node may shorten its excerpts, 0 for not
// at all.
func (o *Outlook) ExcerptParts(route *policy.Route, now core.Time) int {
	if route.Gather == nil || now < o.times(route).skewedUntil {
		return 0
	}
	return len(route.Gather.Shards)
}

// RecordSkew notes that a shortened excerpt lacked records.
func (o *Outlook) RecordSkew(route *policy.Route, now core.Time) {
	o.times(route).skewedUntil = now + skewLife
}

func (o *Outlook) times(route *policy.Route) *routeTimes {
	known := o.routes[route.Name]
	if known == nil {
		if len(o.routes) >= maxRoutes {
			clear(o.routes)
		}
		known = &routeTimes{}
		o.routes[route.Name] = known
	}
	return known
}

// Request is a request that is to be planned.
type Request struct {
	Route    *policy.Route
	Services []string
	Arrived  core.Time
	// MaxWait is how long the caller is kept waiting at most.
	MaxWait time.Duration
	// RemainingTime is how long the caller will wait, 0 where it does not say.
	RemainingTime time.Duration
	// TransitTime is how long the answer takes to the caller and the request took from there.
	TransitTime time.Duration
}

// Plan says what a request needs, and when to do what about it.
func (o *Outlook) Plan(ask Request) scatter.Plan {
	route := ask.Route
	plan := scatter.Plan{
		Services: ask.Services, MinParts: 1, Idempotent: route.Idempotent, MaxReplicas: route.MaxReplicas,
		Deadline: ask.Arrived + ask.MaxWait,
	}
	times := o.times(route)
	usual, known := times.answers.Quantile(usualQuantile)
	if route.Idempotent {
		plan.HedgeAfter = times.hedgeAfter(route.TargetLatency, usual, known)
		plan.RemoteHedgeExtra = farExtra
	}
	if route.Gather != nil {
		plan.MinParts = route.Gather.MinParts()
		plan.TargetLatency = attainable(route.TargetLatency-ask.TransitTime, usual, known)
		plan.PartialAt = ask.Arrived + o.partialAfter(ask)
	}
	return plan
}

// attainableTimes is how many usual answer times an aim must hold to decide on early rejections.
const attainableTimes = 2

// attainable is the time within which answers have their full worth, 0 where the route's own
// answers usually come later: judged by an aim that nobody keeps, every request would be rejected.
func attainable(aim, usual time.Duration, known bool) time.Duration {
	if !known || aim < attainableTimes*usual {
		return 0
	}
	return aim
}

// hedgeAfter is how long an answer on a route may take before another replica is
// asked. It never exceeds a third of the route's aim, since a hedge needs time to
// be answered before it, and is a fifth of it before enough is learnt.
func (t *routeTimes) hedgeAfter(aim, usual time.Duration, known bool) time.Duration {
	const (
		most    = 3
		unknown = 5
		least   = 4 * time.Millisecond
	)
	after := aim / unknown
	if late, enough := t.answers.Quantile(hedgeQuantile); known && enough {
		after = min(late, hedgeTimes*usual+hedgeSpare)
	}
	if aim > 0 {
		after = min(after, aim/most)
	}
	return max(after, least)
}

// partialAfter is when the least coverage is enough: just in time for the answer to
// reach the caller within the route's aim. A part that is missing costs the caller
// less than an answer that comes late.
func (o *Outlook) partialAfter(ask Request) time.Duration {
	if ask.Route.TargetLatency <= 0 {
		return ask.MaxWait
	}
	return max(ask.Route.TargetLatency-ask.TransitTime-o.spent(ask), 0)
}

// spent estimates how long a caller has been waiting, over all its tries, from the
// time that it has left: a first try has the most.
func (o *Outlook) spent(ask Request) time.Duration {
	if ask.RemainingTime <= 0 {
		return 0
	}
	times := o.times(ask.Route)
	times.longest = max(times.longest, ask.RemainingTime)
	return times.longest - ask.RemainingTime
}
