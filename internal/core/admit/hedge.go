package admit

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// maxHedgeDelayDivisor limits the hedge delay to a fraction of the remaining time. When more attempts
	// get no reply than hedgeQuantile leaves out, the learned latencies are as long as the deadlines, and
	// a hedge at that quantile would be too late for every request. The limit is also the delay while too
	// few latencies are known, so that a request on an unresponsive replica is hedged before its deadline.
	maxHedgeDelayDivisor = 2
	// overdueRetryInterval is the interval at which an overdue hedge is retried. First attempts of other
	// shards refill the budget without an event on this shard.
	overdueRetryInterval = 25 * time.Millisecond
	// hedgeQuantile is the quantile of the service latency after which a hedge is sent, which one in
	// twenty first attempts reaches.
	hedgeQuantile = 0.95
	// slowReplicaHedgeQuantile replaces hedgeQuantile for a replica that is usually slower than that.
	slowReplicaHedgeQuantile = 0.5
)

func hedgeAtBefore(a, b *attempt) bool {
	if a.hedgeAt != b.hedgeAt {
		return a.hedgeAt < b.hedgeAt
	}
	return a.id < b.id
}

// hedgeDelay returns how long an attempt runs before it is hedged: the hedgeQuantile of the service
// latency, or its median on a replica that is usually slower than that. The delay is capped at
// remaining/maxHedgeDelayDivisor, which is also used while the latency is unknown.
func (s *Shard) hedgeDelay(chosen *replica, remaining time.Duration) time.Duration {
	delay, known := s.serviceLatency.Quantile(hedgeQuantile)
	if known && chosen.latencyNs > float64(delay) {
		delay, known = s.serviceLatency.Quantile(slowReplicaHedgeQuantile)
	}
	if !known {
		return remaining / maxHedgeDelayDivisor
	}
	return min(delay, remaining/maxHedgeDelayDivisor)
}

// hedge sends a second attempt for requests that have run longer than usual, in slots that no waiting
// request can use. An attempt without a slot or budget for its hedge stays overdue and is checked
// again at every step, so that it gets the next free slot.
func (s *Shard) hedge(now core.Time) {
	for s.hedges.len() > 0 && s.hedges.first().hedgeAt <= now {
		a := s.hedges.first()
		s.hedges.remove(a)
		s.overdue = append(s.overdue, a)
	}
	s.overdue = slices.DeleteFunc(s.overdue, func(a *attempt) bool {
		r := a.request
		if r.ended || s.running[a.id] != a || len(r.running) > 1 || r.attempts >= maxAttempts || now+s.minServiceTime() >= r.Deadline {
			if r.attempts >= maxAttempts {
				r.hedge = HedgeAttemptsExhausted
			}
			return true
		}
		chosen := s.chooseHedgeReplica(now, a)
		if chosen == nil {
			r.hedge = HedgeNoSlot
			return false
		}
		if !s.takeExtraAttempt(r) {
			r.hedge = HedgeNoBudget
			return false
		}
		s.sendAttempt(now, r, chosen, KindHedge)
		return true
	})
}

func (s *Shard) chooseHedgeReplica(now core.Time, a *attempt) *replica {
	r := a.request
	excluded := r.excluded
	r.excluded = append(slices.Clip(excluded), a.replica)
	chosen := s.chooseReplica(now, r)
	r.excluded = excluded
	return chosen
}
