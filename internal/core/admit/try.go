package admit

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// maxTries bounds the upstream requests for one request, of all kinds.
const maxTries = 3

// try is one upstream request until its end.
type try struct {
	id         AttemptID
	request    *request
	replica    *replica
	started    core.Time
	hedgeAt    core.Time
	hedgePlace int
	// inFlight is the replica's count with this try, when it was sent.
	inFlight int
	aborted  bool
}

func (s *Shard) tryEnded(now core.Time, e TryEnded) {
	t := s.running[e.Try]
	if t == nil {
		return
	}
	delete(s.running, e.Try)
	s.hedges.remove(t)
	s.observe(now, t, e)
	t.replica.inFlight--
	s.forgetGone()
	r := t.request
	r.live = slices.DeleteFunc(r.live, func(other *try) bool { return other == t })
	if r.ended {
		return
	}
	r.note(e)
	switch {
	case e.Outcome == core.Done:
		s.settle(r)
	case len(r.live) > 0:
		// The other try may still answer.
		s.hedgeAgain(t, e)
	case s.again(now, t, e):
		s.returned = append(s.returned, r)
		s.deadlines.fix(r)
	default:
		s.settle(r)
	}
}

// note keeps the result to report: done before unknown before not run. A
// request of which one try may have run is never reported as not run.
func (r *request) note(e TryEnded) {
	if r.best == 0 || strength(e.Outcome) >= strength(r.bestOutcome) {
		r.best, r.bestOutcome = e.Try, e.Outcome
	}
}

func strength(outcome core.Outcome) int {
	switch outcome {
	case core.Done:
		return 2
	case core.NotRun:
		return 0
	default:
		return 1
	}
}

// hedgeAgain looks for another replica beside the try that is left. The one that
// ended may have been the hedge of a try that went silent: without another one
// the request would wait for the silent replica until its deadline.
func (s *Shard) hedgeAgain(ended *try, e TryEnded) {
	if !byReplica(e) || e.Broken {
		return
	}
	r := ended.request
	r.turnFrom(ended.replica, e)
	left := r.live[0]
	s.hedges.remove(left)
	s.overdue = append(s.overdue, left)
}

// turnFrom steers the request's next try away from a replica: one that shed is
// asked again when no other is free, one that failed is not.
func (r *request) turnFrom(from *replica, e TryEnded) {
	if e.Reason == core.ReasonOverloaded {
		r.shedBy = from
		return
	}
	r.avoid = append(r.avoid, from)
}

// again decides whether the request is tried on another replica.
func (s *Shard) again(now core.Time, t *try, e TryEnded) bool {
	r := t.request
	if r.tries >= maxTries || now >= r.Deadline {
		return false
	}
	if !byReplica(e) {
		return false
	}
	if e.Broken {
		// The request may end every replica that runs it. The entry knows whether other shards have answered, and
		// decides on the retry.
		return false
	}
	r.turnFrom(t.replica, e)
	if !s.hasOther(r) {
		return false
	}
	if e.Outcome == core.NotRun {
		r.kind = KindRedispatch
		return true
	}
	r.kind = KindRetry
	return !r.Once && s.extra(r)
}

// byReplica reports whether another replica may do better. Other reasons are the
// request's own or this node's: no time left, nobody waiting, not the owner.
func byReplica(e TryEnded) bool {
	switch e.Reason {
	case core.ReasonOverloaded, core.ReasonDraining, core.ReasonVersionGone, core.ReasonUpstreamFailed, core.ReasonCrossedReply:
		return true
	}
	return false
}

// hasOther reports whether a usable replica is left for the request.
func (s *Shard) hasOther(r *request) bool {
	return slices.ContainsFunc(s.replicas, func(other *replica) bool {
		return other.usable() && !slices.Contains(r.avoid, other)
	})
}

// extra takes an extra try from the budget.
func (s *Shard) extra(r *request) bool {
	return s.config.Budget != nil && s.config.Budget.TryExtra(s.config.Service, r.Customer)
}
