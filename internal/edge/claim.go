package edge

import (
	"context"
	"errors"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// placeLingerTime is how long the exchange of a cancelled send may go on at its replica, and so keep its place.
const placeLingerTime = 250 * time.Millisecond

// waitMargin is how long before the request's deadline a claim is refused at the latest: what still waits at a helper
// then counts as what may have run.
const waitMargin = 15 * time.Millisecond

// acquirePlace takes a place for a send, and reports whether it has one. If not, the send has ended.
func (q *request) acquirePlace(ctx context.Context, e *exchange) bool {
	began := q.node.now()
	e.err = q.node.places.acquire(ctx, e.send.Replica, q.claimOf(e), &e.place)
	e.waited = q.node.now() - began
	q.node.metrics.countPlace(q.claim.Priority, e.err == nil, e.waited)
	return e.err == nil
}

// claimOf returns the claim of a send.
func (q *request) claimOf(e *exchange) placement.Claim {
	claim := q.claim
	claim.Waited += q.node.now() - q.arrived
	claim.Extra = claim.Extra || e.send.Extra
	claim.Last = e.send.Last
	return claim
}

// recordNoPlace records that a send got no place. If nobody was ahead of it, the replica refuses requests.
func (q *request) recordNoPlace(exchange *exchange) {
	var noPlace *placement.NoPlace
	if !errors.As(exchange.err, &noPlace) {
		return
	}
	ahead := noPlace.Decision.Ahead
	q.node.state.withReplicas(func(table *replica.Table, now core.Time) {
		if ahead == 0 {
			table.Refused(exchange.send.Replica.Incarnation(), now)
			return
		}
		table.NoPlace(exchange.send.Replica.Incarnation(), ahead, now)
	})
}

// addNoPlace makes the step that of a send without a place.
func (s *step) addNoPlace(cause error) {
	s.Event, s.Cause = "no_place", cause.Error()
	var noPlace *placement.NoPlace
	if errors.As(cause, &noPlace) {
		s.Short, s.Ahead, s.WaitedMs = string(noPlace.Decision.Short), noPlace.Decision.Ahead, noPlace.Waited.Milliseconds()
	}
}

// releaseLate ends the use of a place by the answer to a send that was cancelled.
func (e *exchange) releaseLate(response *replicaconn.Response) {
	if (platform.Wire{}).NotRun(response.Status, response.Header) {
		e.place.release(placement.Refused)
		return
	}
	e.place.release(placement.Answered)
}

// releasePlace ends the use of a send's place. The exchange of a cancelled send may still run at the replica for a while.
func (e *exchange) releasePlace() {
	var failed *replicaconn.Error
	sent := errors.As(e.err, &failed) && failed.Sent
	switch {
	case sent && (e.ctx.Err() != nil || errors.Is(e.err, context.DeadlineExceeded)):
		time.AfterFunc(placeLingerTime, func() { e.place.release(placement.Unanswered) })
	case e.verdict == scatter.Refused:
		e.place.release(placement.Refused)
	case e.err == nil:
		e.place.release(placement.Answered)
	default:
		e.place.release(placement.Unanswered)
	}
}

// delegatedClaim returns the claim of another node's request. A sender of an older version states no priority; the route's
// own one holds then.
func (n *Node) delegatedClaim(message *peerpb.DelegateRequest, route *policy.Route) placement.Claim {
	claim := placement.Claim{
		Priority: route.Priority, Waited: time.Duration(message.GetWaitedUs()) * time.Microsecond, OverShare: message.GetOverShare(), Extra: message.GetExtra(),
		Deadline: n.now() + time.Duration(message.GetTimeLeftUs())*time.Microsecond - waitMargin,
	}
	if message.GetPriority() > 0 {
		claim.Priority = placement.ClampPriority(int(min(message.GetPriority()-1, placement.Priorities)))
	}
	if message.GetTargetLeftUs() > 0 {
		claim.TargetAt = n.now() + time.Duration(message.GetTargetLeftUs()-1)*time.Microsecond
	}
	return claim
}

// stateClaim states the claim of the request in a message to a helper.
func (q *request) stateClaim(message *peerpb.DelegateRequest) {
	message.Priority = uint32(placement.ClampPriority(q.claim.Priority)) + 1
	message.WaitedUs = uint64(max(q.claim.Waited+q.node.now()-q.arrived, 0).Microseconds())
	message.OverShare = q.claim.OverShare
	if q.claim.TargetAt > 0 {
		message.TargetLeftUs = uint64(max(q.claim.TargetAt-q.node.now(), 0).Microseconds()) + 1
	}
}

// setNoPlace reports a send without a place to the entry node. The verdict says the same to nodes of an older version.
func setNoPlace(part *peerpb.DelegatedPart, cause error) {
	part.Verdict, part.NoPlace, part.Cause = uint32(scatter.Unreached), true, cause.Error()
	var noPlace *placement.NoPlace
	if errors.As(cause, &noPlace) {
		part.Ahead = uint32(noPlace.Decision.Ahead)
	}
}

// noPlaceAtHelper returns the error of a send for which a helper had no place.
func noPlaceAtHelper(part *peerpb.DelegatedPart, priority int) error {
	return &placement.NoPlace{
		Decision: placement.Decision{Verdict: placement.Elsewhere, Short: placement.Slots, Ahead: int(part.GetAhead())},
		Priority: priority, Waited: time.Duration(part.GetWaitedUs()) * time.Microsecond,
	}
}

// newClaim returns the claim of a caller's request, without what differs between its sends.
func (q *request) newClaim() placement.Claim {
	claim := q.plan.Admission.Claim
	claim.Deadline = q.plan.Deadline - waitMargin
	if q.route.TargetLatency > 0 {
		claim.TargetAt = q.plan.TargetAt
	}
	return claim
}
