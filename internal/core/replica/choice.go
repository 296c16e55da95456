package replica

import (
	"math"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Weights of Table.cost, in units of one usual answer time of the route. They were
// chosen so that a replica of the own data centre is preferred unless it is twice
// as slow as usual or all its slots hold requests of this node.
const (
	remoteCost = 1.0
	// rankCost makes a node prefer one other data centre to the next, so that the
	// parts it lacks come from few of them.
	rankCost = 0.4
	// regionCost is added for another region, some ten milliseconds away.
	regionCost  = 3.0
	overdueCost = 4.0
	failureCost = 8.0
	refusedCost = 4.0
	// refusalCost is for a replica that refuses every request. A refusal costs a round trip and
	// an arrival out of the service's bound, less than a failure, which costs the work too: the
	// replica is used for what does not fit into others.
	refusalCost = 4.0
)

// Criteria says which replicas a request may go to.
type Criteria struct {
	Service string
	// Tried are the ids of replicas to leave out.
	Tried []string
	// Regions are those whose replicas may be taken; none is all.
	Regions []string
	// Typical is the route's usual answer time, 0 where it is not known.
	Typical time.Duration
}

// Choice is a replica for a request.
type Choice struct {
	Replica
	// Degraded is set when the replica is overdue, failing, out of room or expected to pause: good
	// enough for a first try where there is no other, not for a hedge.
	Degraded bool
	// Remote is set when the replica is in another data centre.
	Remote bool
	// ExpectedLatency is how long its answer will probably take, 0 where that is not known.
	ExpectedLatency time.Duration
	// Unreachable is set when the last request found no connection, a moment ago.
	Unreachable bool
	// Busy is set while a request of this node is in work there, whose end will tell more.
	Busy bool
}

// Pick chooses the replica with the least cost. It reports false when there is none.
func (b *Table) Pick(wish Criteria, now core.Time) (Choice, bool) {
	var best *state
	bestCost := math.Inf(1)
	for _, one := range b.byService[wish.Service] {
		if !b.usable(one) || slices.Contains(wish.Tried, one.ID) || !b.within(one, wish.Regions) || !b.bears(one, now) {
			continue
		}
		if cost := b.cost(one, wish.Typical, now); cost < bestCost {
			best, bestCost = one, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	b.takeCold(best, now)
	return Choice{Replica: best.Replica, Degraded: best.doubtful(now) || b.pausing(best, wish.Typical, now), Remote: best.DataCentre != b.dataCentre, ExpectedLatency: best.expect(wish.Typical, now), Busy: best.outstanding > 0, Unreachable: best.unreachable(now)}, true
}

// cost estimates how long a request would take there, in usual answer times.
func (b *Table) cost(s *state, usual time.Duration, now core.Time) float64 {
	const tieBreak = 0.1
	cost := s.slownessNow(now) * (1 + s.queued())
	if rank := b.ranks[s.DataCentre]; rank > 0 {
		cost += remoteCost + rankCost*float64(rank-1)
	}
	if b.regions[s.DataCentre] != b.regions[b.dataCentre] {
		cost += regionCost
	}
	if s.overdue(now) || b.pausing(s, usual, now) {
		cost += overdueCost
	}
	if s.refused(now) {
		cost += refusedCost
	}
	cost += failureCost*s.failuresNow(now) + refusalCost*s.refusalsNow(now)
	return cost + tieBreak*b.random()
}

// expect is how long an answer will probably take.
func (s *state) expect(usual time.Duration, now core.Time) time.Duration {
	answer := time.Duration(float64(usual) * s.slownessNow(now))
	expected := time.Duration(float64(answer) * (1 + s.queued()))
	if s.outstanding > 0 {
		expected += max(now-s.silentSince-answer, 0)
	}
	return expected
}

// queued is how many rounds of its slots this node's own requests fill.
func (s *state) queued() float64 {
	slots := max(s.Slots, 1)
	return float64(max(s.outstanding+1-slots, 0)) / float64(slots)
}
