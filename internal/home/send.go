package home

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// cancelSend cancels a send that is past its deadline. If its request still waits for
// the link to open, it is never written.
func (l *loop) cancelSend(a once.CancelSend) {
	if canceller := l.cancellers[a.Send]; canceller != nil {
		canceller.Cancel()
		delete(l.cancellers, a.Send)
	}
}

// put queues an event for the ledger. It may be called from the loop's own goroutine.
func (l *loop) put(e once.Event) { l.events.PutAsync(l.ctx, ledgerEvent{event: e}) }

// send sends the request to the owner of the key's shard, once for each Send.
func (l *loop) send(a once.Send) {
	to, err := l.owner(a)
	if err != nil {
		l.put(notSent(a, err))
		return
	}
	if ended := l.refuseSetAside(a, to.shard.Ref); ended != nil {
		l.put(*ended)
		return
	}
	remaining := a.Deadline - l.options.Now()
	if remaining <= 0 {
		l.put(once.SendEnded{Key: a.Key, Send: a.Send, Outcome: core.NotRun, Reason: core.ReasonDeadline})
		return
	}
	message := &peerpb.SubmitRequest{
		Customer:   string(a.Customer),
		Key:        a.Key,
		Service:    a.Service,
		Shard:      uint32(to.shard.Ref.Shard),
		Shards:     uint32(to.shards),
		Payload:    a.Payload,
		TimeLeftUs: toMicroseconds(remaining),
		View:       l.options.Belief.View().ID(),
		Bundle:     uint32(to.shard.Bundle),
		Rank:       uint32(a.Rank),
		ToOwner:    true,
	}
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_SubmitRequest{SubmitRequest: message}}
	l.cancellers[a.Send] = l.options.Peers.Send(to.owner, envelope, l.sink(a))
}

func notSent(a once.Send, err error) once.SendEnded {
	typed := fault.As(err)
	ended := once.SendEnded{Key: a.Key, Send: a.Send, Outcome: core.NotRun, Code: typed.Code, Message: typed.Message}
	if typed.Code == fault.CodeRefused {
		ended.Reason = core.ReasonPeerUnreached
	}
	return ended
}

// destination is the target of a send: the shard, its owner, and the number of shards of
// the service in the configuration in force.
type destination struct {
	owner  peer.Target
	shard  *catalog.Shard
	shards int
}

// owner returns the destination of a send. The shard is chosen by the hash of the key. The
// error is a *fault.Error with outcome not run.
func (l *loop) owner(a once.Send) (destination, error) {
	config := l.options.Belief.Config()
	if config == nil {
		return destination{}, fault.NotRun(fault.CodeNotReady, "no configuration is in force yet", "")
	}
	service, err := submittable(config.Catalog, a)
	if err != nil {
		return destination{}, err
	}
	to := destination{owner: peer.Target{Node: l.options.Self}, shards: len(service.Shards)}
	to.shard = &service.Shards[xxhash.Sum64String(a.Key)%uint64(to.shards)]
	if config.Catalog.Policy.Routing == catalog.RoutingDirect {
		return to, nil
	}
	bundle := config.Catalog.Bundles[to.shard.Bundle]
	node, ok := l.options.Belief.View().Rank(bundle.ID, bundle.DataCentre, a.Rank)
	if !ok {
		return destination{}, fault.NotRun(fault.CodeRefused, "no node owns the shard "+to.shard.Ref.String(), "")
	}
	to.owner = target(node)
	return to, nil
}

func submittable(cat *catalog.Catalog, a once.Send) (*catalog.Service, error) {
	service := cat.Services[a.Service]
	if service == nil {
		return nil, fault.NotRun(fault.CodeUnknownService, "service "+strconv.Quote(a.Service)+" is not in the configuration", "")
	}
	if service.Idempotent {
		return nil, fault.NotRun(fault.CodeWrongMethod, "service "+a.Service+" is idempotent: use /v1/query/"+a.Service, "")
	}
	if _, known := cat.Customer(a.Customer); !known {
		return nil, fault.NotRun(fault.CodeUnknownCustomer, "customer "+strconv.Quote(string(a.Customer))+" is not in the configuration", "")
	}
	return service, nil
}

func target(node route.Node) peer.Target {
	return peer.Target{Node: node.ID, Address: node.PeerAddress}
}

// sink returns a function that converts the owner's reply into a SendEnded event.
func (l *loop) sink(a once.Send) peer.Sink {
	return func(reply *peerpb.Envelope, failure *peer.LinkError) {
		ended := once.SendEnded{Key: a.Key, Send: a.Send}
		switch {
		case failure != nil:
			ended.Outcome, ended.Reason = failure.Outcome, linkReason(failure)
		case reply.GetRefusal() != nil:
			ended.Outcome, ended.Reason = core.NotRun, refusedReason(reply.GetRefusal())
			ended.RetryAfter = milliseconds(reply.GetRefusal().GetRetryAfterMs())
		case reply.GetSubmitReply() != nil:
			message := reply.GetSubmitReply()
			ended.Outcome, ended.Reason = core.Outcome(message.GetOutcome()), core.Reason(message.GetCode())
			ended.Message = message.GetMessage()
			ended.Payload, ended.RetryAfter = message.GetPayload(), milliseconds(message.GetRetryAfterMs())
			if ended.Outcome == core.NotRun && ended.Reason == core.ReasonSetAside {
				ended = setAsideEnd(a)
			}
		default:
			ended.Reason = core.ReasonCrossedReply
		}
		l.put(ended)
	}
}

// refusedReason returns the reason of a refusal. A stopping owner is treated like an
// unreachable one, so that the next node in the owner order is used.
func refusedReason(refusal *peerpb.Refusal) core.Reason {
	if reason := core.Reason(refusal.GetReason()); reason != core.ReasonDraining {
		return reason
	}
	return core.ReasonPeerUnreached
}

func linkReason(failure *peer.LinkError) core.Reason {
	if failure.Outcome == core.NotRun {
		return core.ReasonPeerUnreached
	}
	return core.ReasonPeerLost
}
