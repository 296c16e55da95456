package admit

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// request is the state of one offered request.
type request struct {
	Offered
	flow             *flow
	previous, next   *request
	deadlinePosition int
	attempts         int
	// nextKind is the kind of the next attempt of a returned request.
	nextKind Kind
	// running holds the attempts in flight, at most two.
	running []*attempt
	// excluded holds the replicas that this request is not sent to again.
	excluded []*replica
	// shedBy is the last replica that shed the request. It is used again only when no other one is free.
	shedBy *replica
	// bestAttempt is the attempt with the best result so far.
	bestAttempt AttemptID
	bestOutcome core.Outcome
	ended       bool
	// hedge is the state of the latest hedge; empty means HedgeNone.
	hedge HedgeState
}

// HedgeState is the state of a request's latest hedge.
type HedgeState string

// States of a request's hedge.
const (
	// HedgeNone means that no hedge has been scheduled.
	HedgeNone HedgeState = "none"
	// HedgePlanned means that a hedge is scheduled but not yet due.
	HedgePlanned HedgeState = "planned"
	// HedgeNoSlot means that a due hedge found no eligible replica with a free slot.
	HedgeNoSlot HedgeState = "no slot"
	// HedgeNoBudget means that a due hedge found the budget of extra attempts exhausted.
	HedgeNoBudget HedgeState = "no budget"
	// HedgeSent means that the hedge was dispatched.
	HedgeSent HedgeState = "sent"
	// HedgeAttemptsExhausted means that the request had no attempts left when the hedge was due.
	HedgeAttemptsExhausted HedgeState = "tries used up"
)

// HedgeState returns the state of a request's latest hedge, or HedgeNone when the shard no longer holds the request.
func (s *Shard) HedgeState(id RequestID) HedgeState {
	if r := s.requests[id]; r != nil && r.hedge != "" {
		return r.hedge
	}
	return HedgeNone
}

// deadlineBefore orders requests by deadline, and by ID for equal deadlines.
func deadlineBefore(a, b *request) bool {
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
	if !s.canServe(now, &e) {
		s.refuse(e.ID, core.ReasonNoReplica, s.timeUntilProbe(now))
		return
	}
	r := &request{Offered: e}
	s.requests[e.ID] = r
	s.queue.push(r)
	s.deadlines.fix(r)
	if late := s.expectedLateness(now, r); late > 0 {
		s.refuseWaiting(r, core.ReasonOverloaded, late)
		return
	}
	if s.queue.waiting > s.config.MaxQueue && s.chooseReplica(now, r) == nil {
		// The newest request of the customer with the longest queue for its weight is refused, whichever
		// request found the queue full.
		newest := s.queue.newestOfLongest()
		s.refuseWaiting(newest, core.ReasonOverloaded, max(minRetryAfter, s.queueWait(now, newest)))
	}
}

// canServe reports whether a replica may get the request, now or later.
func (s *Shard) canServe(now core.Time, e *Offered) bool {
	for _, r := range s.replicas {
		if r.usable() || !e.Once && r.probeDue(now) {
			return true
		}
	}
	return false
}

// refuseWaiting dequeues a waiting request and refuses it.
func (s *Shard) refuseWaiting(r *request, reason core.Reason, retryAfter time.Duration) {
	s.dequeue(r)
	delete(s.requests, r.ID)
	s.refuse(r.ID, reason, retryAfter)
}

// dequeue removes a request from the queue or from the returned requests.
func (s *Shard) dequeue(r *request) {
	s.deadlines.remove(r)
	if r.flow != nil {
		s.queue.remove(r)
		return
	}
	if index := slices.Index(s.returned, r); index >= 0 {
		s.returned = slices.Delete(s.returned, index, index+1)
	}
}

func (s *Shard) withdrawn(e Withdrawn) {
	r := s.requests[e.ID]
	if r == nil {
		return
	}
	s.dequeue(r)
	s.endRequest(r)
}

// endRequest removes a request and aborts its attempts in flight.
func (s *Shard) endRequest(r *request) {
	r.ended = true
	delete(s.requests, r.ID)
	for _, a := range r.running {
		a.aborted = true
		s.hedges.remove(a)
		s.actions = append(s.actions, Abort{Try: a.id})
	}
}

func (s *Shard) settle(r *request) {
	s.endRequest(r)
	s.actions = append(s.actions, Settle{Request: r.ID, Try: r.bestAttempt, Tries: r.attempts, Hedge: r.hedge})
}

// expire ends the waiting requests whose remaining time is too short to serve them.
func (s *Shard) expire(now core.Time) {
	for s.deadlines.len() > 0 {
		r := s.deadlines.first()
		if now < r.Deadline-s.minServiceTime() {
			return
		}
		if r.attempts > 0 {
			s.dequeue(r)
			s.settle(r)
			continue
		}
		wait := time.Duration(0)
		if now < r.Deadline {
			wait = max(minRetryAfter, s.minServiceTime()-(r.Deadline-now))
		}
		s.refuseWaiting(r, core.ReasonDeadline, wait)
	}
}

// refuseStale refuses the oldest request of a customer that has newer ones if it would probably miss
// its deadline. A customer over its share would otherwise spend its slots on answers that arrive after
// their deadline.
func (s *Shard) refuseStale(now core.Time) {
	for s.queue.waiting > 0 {
		r := s.queue.peek()
		late := now + s.usualServiceTime() - r.Deadline
		if r.flow.length < 2 || late <= 0 {
			return
		}
		s.refuseWaiting(r, core.ReasonOverloaded, max(minRetryAfter, late))
	}
}

// refuseUnservable refuses all queued requests when no replica is usable.
func (s *Shard) refuseUnservable(now core.Time) {
	if s.queue.waiting == 0 || slices.ContainsFunc(s.replicas, (*replica).usable) {
		return
	}
	for s.queue.waiting > 0 {
		s.refuseWaiting(s.queue.peek(), core.ReasonNoReplica, s.timeUntilProbe(now))
	}
}

func (s *Shard) refuse(id RequestID, reason core.Reason, retryAfter time.Duration) {
	s.actions = append(s.actions, Refuse{Request: id, Reason: reason, RetryAfter: retryAfter})
}
