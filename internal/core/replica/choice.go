package replica

import (
	"math"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/condition"
)

// Weights of Table.cost, in units of the route's typical latency. With them a replica of the node's own
// data centre is preferred unless it is twice as slow as usual or this node's requests fill all its slots.
const (
	remoteCost = 1.0
	// rankCost makes a node prefer one other data centre to the next, so that it gets
	// its remote parts from few data centres.
	rankCost = 0.4
	// fullRemoteLatency is the longest typical latency for which these costs count in full.
	fullRemoteLatency = 60 * time.Millisecond
	// regionCost is added for another region, some ten milliseconds away.
	regionCost  = 3.0
	overdueCost = 4.0
	failureCost = 8.0
	refusedCost = 4.0
	// refusalCost applies to a replica that refuses every request. A refusal costs a round trip and
	// an extra send out of the service's budget, but not the work that a failure wastes, so the
	// replica still gets the requests that the others have no capacity for.
	refusalCost = 8.0
	// unreachableCost outweighs all others: a slow replica answers, an unreachable one does not.
	unreachableCost = 100.0
)

// Criteria restricts the replicas that a request may be sent to.
type Criteria struct {
	Service string
	// Tried holds the ids of replicas to exclude.
	Tried []string
	// Regions names the allowed regions; empty allows all.
	Regions []string
	// TypicalLatency is the route's typical latency, 0 if unknown.
	TypicalLatency time.Duration
}

// Choice is the replica chosen for a request.
type Choice struct {
	Replica
	// Degraded is set when the replica is overdue, failing, at capacity or expected to pause: acceptable
	// for a first send if there is no other replica, but not for a hedge.
	Degraded bool
	// Remote is set when the replica is in another data centre.
	Remote bool
	// ExpectedLatency is the expected time until the answer, 0 if unknown.
	ExpectedLatency time.Duration
	// Unreachable is set when a connection failed within unreachedTTL and no answer has arrived since.
	Unreachable bool
	// Busy is set while a request of this node is in flight there, whose end will update the estimate, and shortly after one
	// found no place.
	Busy bool
}

// Pick chooses the eligible replica with the lowest cost. It returns false if there is none.
func (t *Table) Pick(criteria Criteria, now core.Time) (Choice, bool) {
	var best *state
	bestCost := math.Inf(1)
	for _, candidate := range t.byService[criteria.Service] {
		if !t.usable(candidate) || slices.Contains(criteria.Tried, candidate.ID) || !t.inRegions(candidate, criteria.Regions) || !t.hasColdCapacity(candidate, now) {
			continue
		}
		if cost := t.cost(candidate, criteria.TypicalLatency, now); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	t.countCold(best, now)
	best.setTypical(criteria.TypicalLatency)
	believed := best.believed(now)
	return Choice{
		Replica: best.Replica, Remote: best.DataCentre != t.dataCentre, Busy: best.inFlight > 0 || best.isFull(now),
		Degraded:        best.degraded(believed, now) || t.expectsPause(best, criteria.TypicalLatency, now),
		ExpectedLatency: best.expectedLatency(believed, criteria.TypicalLatency, now),
		Unreachable:     believed.Unreachable,
	}, true
}

// cost estimates how long a request would take at a replica, in units of the typical latency.
func (t *Table) cost(s *state, typical time.Duration, now core.Time) float64 {
	const tieBreak = 0.1
	believed := s.believed(now)
	cost := believed.Slowness * (1 + s.roundsAhead(typical, now))
	if typical > 0 {
		cost += float64(s.overtime(believed, typical, now)) / float64(typical)
	}
	if rank := t.ranks[s.DataCentre]; rank > 0 {
		cost += (remoteCost + rankCost*float64(rank-1)) * remoteShare(typical)
	}
	if t.regions[s.DataCentre] != t.regions[t.dataCentre] {
		cost += regionCost
	}
	if s.overdue(now) || t.expectsPause(s, typical, now) {
		cost += overdueCost
	}
	if s.refused(now) {
		cost += refusedCost
	}
	if believed.Unreachable || s.unreached(avoidUnreachedTTL, now) {
		cost += unreachableCost
	}
	cost += failureCost*believed.Failed + refusalCost*believed.Refused
	return cost + tieBreak*t.random()
}

// remoteShare returns the part of the costs of another data centre that counts for requests of a typical latency. The way
// there takes as long for long requests as for short ones, but is a smaller part of the whole.
func remoteShare(typical time.Duration) float64 {
	if typical <= fullRemoteLatency {
		return 1
	}
	return float64(fullRemoteLatency) / float64(typical)
}

// expectedLatency estimates the time until the answer to a request.
func (s *state) expectedLatency(believed condition.Condition, typical time.Duration, now core.Time) time.Duration {
	answer := float64(typical) * believed.Slowness
	return time.Duration(answer*(1+s.queuedRounds(now))) + s.overtime(believed, typical, now)
}

// overtime returns for how much longer than usual requests have been in flight there without any answer.
func (s *state) overtime(believed condition.Condition, typical time.Duration, now core.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	return max(now-s.noAnswerSince-time.Duration(float64(typical)*believed.Slowness), 0)
}

// minLongLatency is the least typical latency of requests that are long: a wrong choice costs the wait for another one.
const minLongLatency = 100 * time.Millisecond

// roundsAhead returns how many times over the requests ahead fill the replica's slots, for the choice. For long requests
// this node's own requests stand for those of the other nodes too, which spread in the same way: they count before they
// fill the slots.
func (s *state) roundsAhead(typical time.Duration, now core.Time) float64 {
	if typical < minLongLatency || s.isFull(now) {
		return s.queuedRounds(now)
	}
	return float64(s.inFlight) / float64(max(s.Slots, 1))
}

// queuedRounds returns how many times over the requests that are known fill the replica's slots: this node's own, and those
// that were before one without a place a moment ago.
func (s *state) queuedRounds(now core.Time) float64 {
	slots, requests := max(s.Slots, 1), s.inFlight
	if s.isFull(now) {
		requests = max(requests, s.ahead)
	}
	return float64(max(requests+1-slots, 0)) / float64(slots)
}
