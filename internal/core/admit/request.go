package admit

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// request is one offered request until its end.
type request struct {
	Offered
	flow           *flow
	previous, next *request
	deadlinePlace  int
	tries          int
	// kind is the next try's, once the request is returned.
	kind Kind
	// live are the running tries, at most two.
	live []*try
	// avoid are the replicas that this request is not sent to again.
	avoid []*replica
	// shedBy is the replica that shed it last; it is asked again only when no
	// other one is free.
	shedBy *replica
	// best is the try whose result is reported when no other is better.
	best        AttemptID
	bestOutcome core.Outcome
	ended       bool
	// hedge is the state of the latest hedge; empty means HedgeNone.
	hedge HedgeState
}

// HedgeState is the state of a request's latest hedge.
type HedgeState string

// The states of a request's hedge.
const (
	// HedgeNone means that no hedge has been scheduled.
	HedgeNone HedgeState = "none"
	// HedgePlanned means that a hedge is scheduled but not yet due.
	HedgePlanned HedgeState = "planned"
	// HedgeNoSlot means that a due hedge found no eligible replica with a free slot.
	HedgeNoSlot HedgeState = "no slot"
	// HedgeNoBudget means that a due hedge found the budget of extra tries exhausted.
	HedgeNoBudget HedgeState = "no budget"
	// HedgeSent means that the hedge was dispatched.
	HedgeSent HedgeState = "sent"
	// HedgeAttemptsExhausted means that the request had no tries left when the hedge was due.
	HedgeAttemptsExhausted HedgeState = "tries used up"
)

// HedgeState returns the state of a request's latest hedge, or HedgeNone when the shard no longer holds the request.
func (s *Shard) HedgeState(id RequestID) HedgeState {
	if r := s.requests[id]; r != nil && r.hedge != "" {
		return r.hedge
	}
	return HedgeNone
}

// dueBefore orders requests by deadline, those of one deadline by arrival.
func dueBefore(a, b *request) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.ID < b.ID
}

func (s *Shard) offered(now core.Time, e Offered) {
	if e.Deadline <= now {
		s.refuse(e.ID, core.ReasonDeadline, 0)
		return
	}
	if !s.serves(now, &e) {
		s.refuse(e.ID, core.ReasonNoReplica, s.untilProbe(now))
		return
	}
	r := &request{Offered: e}
	s.requests[e.ID] = r
	s.queue.push(r)
	s.deadlines.fix(r)
	if late := s.tooLate(now, r); late > 0 {
		s.drop(r, core.ReasonOverloaded, late)
		return
	}
	if s.queue.waiting > s.config.MaxQueue && s.choose(now, r) == nil {
		// The customer that fills the queue pays for it with its own newest
		// request, whichever request found the queue full.
		over := s.queue.furthestOver()
		s.drop(over, core.ReasonOverloaded, max(leastWait, s.queueWait(now, over)))
	}
}

// serves reports whether any replica may get the request, now or later.
func (s *Shard) serves(now core.Time, e *Offered) bool {
	for _, r := range s.replicas {
		if r.usable() || !e.Once && r.probeDue(now) {
			return true
		}
	}
	return false
}

// drop takes a waiting request out and refuses it.
func (s *Shard) drop(r *request, reason core.Reason, retryAfter time.Duration) {
	s.unqueue(r)
	delete(s.requests, r.ID)
	s.refuse(r.ID, reason, retryAfter)
}

// unqueue takes a request out of whatever it waits in.
func (s *Shard) unqueue(r *request) {
	s.deadlines.remove(r)
	if r.flow != nil {
		s.queue.remove(r)
		return
	}
	if at := slices.Index(s.returned, r); at >= 0 {
		s.returned = slices.Delete(s.returned, at, at+1)
	}
}

func (s *Shard) withdrawn(e Withdrawn) {
	r := s.requests[e.ID]
	if r == nil {
		return
	}
	s.unqueue(r)
	s.end(r)
}

// end closes a request and aborts the tries that still run.
func (s *Shard) end(r *request) {
	r.ended = true
	delete(s.requests, r.ID)
	for _, t := range r.live {
		t.aborted = true
		s.hedges.remove(t)
		s.actions = append(s.actions, Abort{Try: t.id})
	}
}

func (s *Shard) settle(r *request) {
	s.end(r)
	s.actions = append(s.actions, Settle{Request: r.ID, Try: r.best, Tries: r.tries, Hedge: r.hedge})
}

// expire ends the waiting requests that have no time left to be served.
func (s *Shard) expire(now core.Time) {
	for s.deadlines.len() > 0 {
		r := s.deadlines.first()
		if now < r.Deadline-s.quickest() {
			return
		}
		if r.tries > 0 {
			s.unqueue(r)
			s.settle(r)
			continue
		}
		wait := time.Duration(0)
		if now < r.Deadline {
			wait = max(leastWait, s.quickest()-(r.Deadline-now))
		}
		s.drop(r, core.ReasonDeadline, wait)
	}
}

// dropStale refuses the oldest request of a customer that has newer ones when
// it would probably end past its deadline. A customer over its share would
// otherwise use its slots for answers that nobody waits for.
func (s *Shard) dropStale(now core.Time) {
	for s.queue.waiting > 0 {
		r := s.queue.peek()
		late := now + s.usual() - r.Deadline
		if r.flow.length < 2 || late <= 0 {
			return
		}
		s.drop(r, core.ReasonOverloaded, max(leastWait, late))
	}
}

// refuseUnserved refuses what waits when no replica is left that could take it.
func (s *Shard) refuseUnserved(now core.Time) {
	if s.queue.waiting == 0 || slices.ContainsFunc(s.replicas, (*replica).usable) {
		return
	}
	for s.queue.waiting > 0 {
		s.drop(s.queue.peek(), core.ReasonNoReplica, s.untilProbe(now))
	}
}

func (s *Shard) refuse(id RequestID, reason core.Reason, retryAfter time.Duration) {
	s.actions = append(s.actions, Refuse{Request: id, Reason: reason, RetryAfter: retryAfter})
}
