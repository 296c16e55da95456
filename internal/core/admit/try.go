package admit

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// maxAttempts is the maximum number of upstream requests per request, of all kinds.
const maxAttempts = 3

// attempt is one upstream request.
type attempt struct {
	id            AttemptID
	request       *request
	replica       *replica
	startedAt     core.Time
	hedgeAt       core.Time
	hedgePosition int
	// inFlightAtSend is the number of requests in flight at the replica when this attempt was sent,
	// including it.
	inFlightAtSend int
	aborted        bool
}

func (s *Shard) tryEnded(now core.Time, e TryEnded) {
	a := s.running[e.Try]
	if a == nil {
		return
	}
	delete(s.running, e.Try)
	s.hedges.remove(a)
	s.observe(now, a, e)
	a.replica.inFlight--
	s.removeGoneReplicas()
	r := a.request
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == a })
	if r.ended {
		return
	}
	r.recordResult(e)
	switch {
	case e.Outcome == core.Done:
		s.settle(r)
	case len(r.running) > 0:
		// The other attempt may still answer.
		s.scheduleAnotherHedge(a, e)
	case s.shouldRetry(now, a, e):
		s.returned = append(s.returned, r)
		s.deadlines.fix(r)
	default:
		s.settle(r)
	}
}

// recordResult keeps the best result so far, in the order done, unknown, not run. A request is not
// reported as not run if one of its attempts may have run.
func (r *request) recordResult(e TryEnded) {
	if r.bestAttempt == 0 || outcomePriority(e.Outcome) >= outcomePriority(r.bestOutcome) {
		r.bestAttempt, r.bestOutcome = e.Try, e.Outcome
	}
}

func outcomePriority(outcome core.Outcome) int {
	switch outcome {
	case core.Done:
		return 2
	case core.NotRun:
		return 0
	default:
		return 1
	}
}

// scheduleAnotherHedge looks for another replica beside the remaining attempt. The ended attempt may
// have been the hedge of one that gets no reply: without another hedge the request would wait for the
// unresponsive replica until its deadline.
func (s *Shard) scheduleAnotherHedge(ended *attempt, e TryEnded) {
	if !causedByReplica(e) || e.Broken {
		return
	}
	r := ended.request
	r.avoidReplica(ended.replica, e)
	remaining := r.running[0]
	s.hedges.remove(remaining)
	s.overdue = append(s.overdue, remaining)
}

// avoidReplica steers the next attempt away from a replica. A replica that shed the request is used
// again when no other one is free; a replica that failed is not.
func (r *request) avoidReplica(from *replica, e TryEnded) {
	if e.Reason == core.ReasonOverloaded {
		r.shedBy = from
		return
	}
	r.excluded = append(r.excluded, from)
}

// shouldRetry decides whether to send another attempt to another replica.
func (s *Shard) shouldRetry(now core.Time, a *attempt, e TryEnded) bool {
	r := a.request
	if r.attempts >= maxAttempts || now >= r.Deadline {
		return false
	}
	if !causedByReplica(e) {
		return false
	}
	if e.Broken {
		// The request may crash every replica that runs it. The entry knows whether other shards have
		// answered, and decides on the retry.
		return false
	}
	r.avoidReplica(a.replica, e)
	if !s.hasOtherReplica(r) {
		return false
	}
	if e.Outcome == core.NotRun {
		r.nextKind = KindRedispatch
		return true
	}
	r.nextKind = KindRetry
	return !r.Once && s.takeExtraAttempt(r)
}

// causedByReplica reports whether another replica may succeed. Other reasons concern the request or
// this node: deadline reached, cancelled by the caller, or this node is not the owner.
func causedByReplica(e TryEnded) bool {
	switch e.Reason {
	case core.ReasonOverloaded, core.ReasonDraining, core.ReasonVersionGone, core.ReasonUpstreamFailed, core.ReasonCrossedReply:
		return true
	}
	return false
}

// hasOtherReplica reports whether a usable replica is left for the request.
func (s *Shard) hasOtherReplica(r *request) bool {
	return slices.ContainsFunc(s.replicas, func(other *replica) bool {
		return other.usable() && !slices.Contains(r.excluded, other)
	})
}

// takeExtraAttempt takes a token for an extra attempt from the budget.
func (s *Shard) takeExtraAttempt(r *request) bool {
	return s.config.Budget != nil && s.config.Budget.TakeExtra(s.config.Service, r.Customer)
}
