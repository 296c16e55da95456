package admit

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// lastHedge is the part of the time left that a try runs alone at most. When
	// more tries go silent than hedgeQuantile leaves out, they are learnt as long
	// as their deadlines, and a hedge at that quantile would come too late for
	// every request. It is also the delay while too few latencies are known, so that
	// a request on a silent replica is hedged before its deadline.
	lastHedge = 2
	// overdueRetryInterval is how often the shard is woken while a hedge is overdue. First tries of other shards refill
	// the budget without an event on this shard.
	overdueRetryInterval = 25 * time.Millisecond
	// hedgeQuantile is the learnt latency after which a second replica is
	// asked: of the first tries, one in twenty gets there.
	hedgeQuantile = 0.95
	// medianQuantile replaces it for a replica that is usually slower than that.
	medianQuantile = 0.5
)

func hedgedBefore(a, b *try) bool {
	if a.hedgeAt != b.hedgeAt {
		return a.hedgeAt < b.hedgeAt
	}
	return a.id < b.id
}

// hedgeDelay returns how long a try runs alone: the service's hedgeQuantile, or its median on a replica that is usually
// slower than that. The delay is capped at left/lastHedge, which is also used while the latency is unknown.
func (s *Shard) hedgeDelay(chosen *replica, left time.Duration) time.Duration {
	delay, known := s.service.Quantile(hedgeQuantile)
	if known && chosen.latency > float64(delay) {
		delay, known = s.service.Quantile(medianQuantile)
	}
	if !known {
		return left / lastHedge
	}
	return min(delay, left/lastHedge)
}

// hedge sends a second try for the requests that have run longer than usual,
// in slots that no waiting request can use. One that finds no slot or no budget
// is looked at again at every step, so that it gets the next free slot.
func (s *Shard) hedge(now core.Time) {
	for s.hedges.len() > 0 && s.hedges.first().hedgeAt <= now {
		t := s.hedges.first()
		s.hedges.remove(t)
		s.overdue = append(s.overdue, t)
	}
	s.overdue = slices.DeleteFunc(s.overdue, func(t *try) bool {
		r := t.request
		if r.ended || s.running[t.id] != t || len(r.live) > 1 || r.tries >= maxTries || now+s.quickest() >= r.Deadline {
			if r.tries >= maxTries {
				r.hedge = HedgeAttemptsExhausted
			}
			return true
		}
		chosen := s.chooseHedge(now, t)
		if chosen == nil {
			r.hedge = HedgeNoSlot
			return false
		}
		if !s.extra(r) {
			r.hedge = HedgeNoBudget
			return false
		}
		s.send(now, r, chosen, KindHedge)
		return true
	})
}

func (s *Shard) chooseHedge(now core.Time, t *try) *replica {
	r := t.request
	avoid := r.avoid
	r.avoid = append(slices.Clip(avoid), t.replica)
	chosen := s.choose(now, r)
	r.avoid = avoid
	return chosen
}
