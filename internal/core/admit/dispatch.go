package admit

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// dispatch assigns waiting requests to all free slots that they may use.
func (s *Shard) dispatch(now core.Time) {
	s.dispatchReturned(now)
	s.dispatchQueued(now)
}

// dispatchReturned dispatches returned requests and settles those that have no replica left to try.
func (s *Shard) dispatchReturned(now core.Time) {
	for i := 0; i < len(s.returned); {
		r := s.returned[i]
		chosen := s.chooseReplica(now, r)
		switch {
		case chosen != nil:
			s.returned = slices.Delete(s.returned, i, i+1)
			s.sendAttempt(now, r, chosen, r.nextKind)
		case !s.hasOtherReplica(r):
			s.dequeue(r)
			s.settle(r)
		default:
			i++
		}
	}
}

// dispatchQueued dispatches queued requests in fair order until no slot is free.
func (s *Shard) dispatchQueued(now core.Time) {
	for s.refuseStale(now); s.queue.waiting > 0; s.refuseStale(now) {
		chosen := s.chooseReplica(now, s.queue.peek())
		if chosen == nil {
			return
		}
		s.sendAttempt(now, s.queue.pop(now), chosen, KindFirst)
	}
}

// chooseReplica returns the replica with the shortest expected wait that can take the request now, or
// nil. A down replica with a due probe takes precedence: selected by expected wait, it would never get
// a request again.
func (s *Shard) chooseReplica(now core.Time, r *request) *replica {
	var best *replica
	bestWait := 0.0
	for _, candidate := range s.replicas {
		if !r.Once && r.attempts == 0 && candidate.probeDue(now) {
			return candidate
		}
		if !candidate.available(now) || slices.Contains(r.excluded, candidate) || r.isRunningOn(candidate) {
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

// sendAttempt starts an attempt and schedules its hedge.
func (s *Shard) sendAttempt(now core.Time, r *request, chosen *replica, kind Kind) {
	s.deadlines.remove(r)
	s.lastAttempt++
	a := &attempt{id: s.lastAttempt, request: r, replica: chosen, startedAt: now}
	r.attempts++
	r.running = append(r.running, a)
	s.running[a.id] = a
	chosen.inFlight++
	chosen.lastSentAt = now
	a.inFlightAtSend = chosen.inFlight
	chosen.RecordSent(chosen.inFlight)
	if kind == KindFirst && s.config.Budget != nil {
		s.config.Budget.AddFirst(s.config.Service, r.Customer, 1)
	}
	switch {
	case kind == KindHedge:
		r.hedge = HedgeSent
	case !r.Once && !r.Alone:
		a.hedgeAt = now + s.hedgeDelay(chosen, r.Deadline-now)
		s.hedges.fix(a)
		r.hedge = HedgePlanned
	}
	s.actions = append(s.actions, Dispatch{Try: a.id, Request: r.ID, Address: chosen.Address, TimeLeft: r.Deadline - now, Kind: kind})
}

// isRunningOn reports whether an attempt of the request is in flight at the replica. A second attempt
// there would be exposed to the same failure: if the first attempt gets no reply and its hedge is
// shed, both would hang on the unresponsive replica until the deadline.
func (r *request) isRunningOn(candidate *replica) bool {
	return slices.ContainsFunc(r.running, func(a *attempt) bool { return a.replica == candidate })
}
