package admit

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// dispatch uses every free slot that some waiting request may use.
func (s *Shard) dispatch(now core.Time) {
	s.dispatchReturned(now)
	s.dispatchQueued(now)
}

// dispatchReturned sends the requests to be tried again, and settles those that
// no replica is left for.
func (s *Shard) dispatchReturned(now core.Time) {
	for i := 0; i < len(s.returned); {
		r := s.returned[i]
		chosen := s.choose(now, r)
		switch {
		case chosen != nil:
			s.returned = slices.Delete(s.returned, i, i+1)
			s.send(now, r, chosen, r.kind)
		case !s.hasOther(r):
			s.unqueue(r)
			s.settle(r)
		default:
			i++
		}
	}
}

// dispatchQueued sends queued requests in turn until no slot is free.
func (s *Shard) dispatchQueued(now core.Time) {
	for s.dropStale(now); s.queue.waiting > 0; s.dropStale(now) {
		chosen := s.choose(now, s.queue.peek())
		if chosen == nil {
			return
		}
		s.send(now, s.queue.pop(now), chosen, KindFirst)
	}
}

// choose returns the replica with the least expected wait that may get the
// request now, or nil. A down replica whose probe is due comes first: with the
// least expected wait it would never be asked again.
func (s *Shard) choose(now core.Time, r *request) *replica {
	var best *replica
	bestWait := 0.0
	for _, candidate := range s.replicas {
		if !r.Once && r.tries == 0 && candidate.probeDue(now) {
			return candidate
		}
		if !candidate.free(now) || slices.Contains(r.avoid, candidate) || r.runsOn(candidate) {
			continue
		}
		wait := candidate.expectedWait(now)
		if candidate == r.shedBy {
			wait += shedPenalty
		}
		if best == nil || wait < bestWait {
			best, bestWait = candidate, wait
		}
	}
	return best
}

// send begins a try and plans its hedge.
func (s *Shard) send(now core.Time, r *request, chosen *replica, kind Kind) {
	s.deadlines.remove(r)
	s.nextTry++
	t := &try{id: s.nextTry, request: r, replica: chosen, started: now}
	r.tries++
	r.live = append(r.live, t)
	s.running[t.id] = t
	chosen.inFlight++
	t.inFlight = chosen.inFlight
	chosen.began(chosen.inFlight)
	if kind == KindFirst && s.config.Budget != nil {
		s.config.Budget.FirstTry(s.config.Service, r.Customer, 1)
	}
	switch {
	case kind == KindHedge:
		r.hedge = HedgeSent
	case !r.Once && !r.Alone:
		t.hedgeAt = now + s.hedgeDelay(chosen, r.Deadline-now)
		s.hedges.fix(t)
		r.hedge = HedgePlanned
	}
	s.actions = append(s.actions, Dispatch{Try: t.id, Request: r.ID, Address: chosen.Address, TimeLeft: r.Deadline - now, Kind: kind})
}

// runsOn reports whether a try of the request runs on the replica. A second one
// there would wait for the same cause: a request whose first try went silent and
// whose hedge was shed would have both on the silent replica until its deadline.
func (r *request) runsOn(candidate *replica) bool {
	return slices.ContainsFunc(r.live, func(t *try) bool { return t.replica == candidate })
}
