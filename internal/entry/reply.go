package entry

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// noShard is the need index of a part for a shard that the send did not request.
const noShard = -1

// sink returns a function that converts the replies to a send into events.
func (l *loop) sink(q *openQuery, a query.Send, replies *replySink) peer.Sink {
	id, plan := q.id, q.machine.Plan()
	return func(reply *peerpb.Envelope, failure *peer.LinkError) {
		if event := replyEvent(plan, a, reply, failure); event != nil {
			replies.put(queryEvent{id: id, event: event, plan: plan})
		}
	}
}

// replyEvent returns the event for a reply or a link failure. It returns nil for an
// unknown body, which a newer peer may send.
func replyEvent(plan *query.Plan, a query.Send, reply *peerpb.Envelope, failure *peer.LinkError) query.Event {
	switch {
	case failure != nil:
		return query.SendFailed{Send: a.ID, Outcome: failure.Outcome, Reason: linkReason(failure)}
	case reply.GetPart() != nil:
		return partEvent(plan, a, reply.GetPart(), reply.GetLast())
	case reply.GetRefusal() != nil:
		return refusedEvent(a, reply.GetRefusal())
	default:
		return nil
	}
}

func refusedEvent(a query.Send, refusal *peerpb.Refusal) query.Event {
	return query.SendFailed{
		Send:       a.ID,
		Outcome:    core.NotRun,
		Reason:     core.Reason(refusal.GetReason()),
		RetryAfter: milliseconds(refusal.GetRetryAfterMs()),
	}
}

func milliseconds(count uint64) time.Duration { return time.Duration(count) * time.Millisecond }

func linkReason(failure *peer.LinkError) core.Reason {
	if failure.Outcome == core.NotRun {
		return core.ReasonPeerUnreached
	}
	return core.ReasonPeerLost
}

// partEvent returns the event for a part. A part for a shard that the send did not
// request gets the need noShard; the machine drops and counts such events.
func partEvent(plan *query.Plan, a query.Send, part *peerpb.Part, last bool) query.Event {
	need := findNeed(plan, a, part)
	var serves []core.Version
	for _, version := range part.GetServes() {
		serves = append(serves, core.Version(version))
	}
	if core.Outcome(part.GetOutcome()) != core.Done {
		return query.PartFailed{
			Send: a.ID, Need: need,
			Outcome:    core.Outcome(part.GetOutcome()),
			Reason:     core.Reason(part.GetReason()),
			Serves:     serves,
			RetryAfter: milliseconds(part.GetRetryAfterMs()),
			Broken:     part.GetBroken(),
			Last:       last,
		}
	}
	return query.PartArrived{
		Send: a.ID, Need: need,
		Version: core.Version(part.GetVersion()),
		Serves:  serves,
		Payload: part.GetPayload(),
		Last:    last,
	}
}

func findNeed(plan *query.Plan, a query.Send, part *peerpb.Part) int {
	ref := core.ShardRef{Service: part.GetService(), Shard: int(part.GetShard())}
	for _, need := range a.Needs {
		if plan.Needs[need].Ref == ref {
			return need
		}
	}
	return noShard
}
