package owner

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	corequarantine "github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// bundleReply counts the shards of a BundleRequest that are not yet answered.
type bundleReply struct {
	inbound   *peer.Inbound
	remaining int
	stopWatch func() bool
}

// bundleWork is the request for one shard of a BundleRequest.
type bundleWork struct {
	reply *bundleReply
	ask   *peerpb.ShardAsk
}

func (l *loop) handleBundle(cat *catalog.Catalog, e requestReceived, stopWatch func() bool) {
	message := e.inbound.Envelope.GetBundleRequest()
	customer, _ := cat.Customer(core.Customer(message.GetCustomer()))
	reply := &bundleReply{inbound: e.inbound, remaining: len(message.GetAsks()), stopWatch: stopWatch}
	offered := admit.Offered{
		Customer: customer.Name,
		Weight:   customer.Weight,
		Deadline: e.at + remainingTime(message.GetTimeLeftUs()),
	}
	setAside := l.setAsideAsks(reply, message.GetAsks())
	for _, ask := range message.GetAsks() {
		w := &bundleWork{reply: reply, ask: ask}
		if reason := refusalReason(cat, core.BundleID(message.GetBundle()), ask); reason != core.ReasonNone {
			w.refuse(reason, 0)
			continue
		}
		s := l.shard(cat, core.ShardRef{Service: ask.GetService(), Shard: int(ask.GetShard())})
		if s == nil {
			w.refuse(core.ReasonNotOwner, 0)
			continue
		}
		if setAside[ask] {
			w.refuse(core.ReasonSetAside, corequarantine.RetryAfter)
			continue
		}
		offered.Alone = ask.GetTrial() != 0
		l.offer(s, e.inbound, w, offered)
	}
}

func (w *bundleWork) call() upstream.Call {
	message := w.reply.inbound.Envelope.GetBundleRequest()
	return upstream.Call{
		RequestID: message.GetRequestId(),
		Customer:  core.Customer(message.GetCustomer()),
		Version:   core.Version(message.GetVersion()),
		Body:      upstream.Body{Question: message.GetQuestion(), Dependencies: dependencies(w.ask)},
	}
}

func (w *bundleWork) settle(result upstream.Result, attempts int) {
	part := &peerpb.Part{
		Service:      w.ask.GetService(),
		Shard:        w.ask.GetShard(),
		Version:      uint64(result.Version),
		Payload:      result.Payload,
		Outcome:      uint32(result.Outcome),
		Reason:       string(result.Reason),
		RetryAfterMs: uint64(result.RetryAfter.Milliseconds()),
		Tries:        uint32(attempts),
		Broken:       result.Broken,
	}
	for _, version := range result.Serves {
		part.Serves = append(part.Serves, uint64(version))
	}
	w.reply.answer(part)
}

func (w *bundleWork) refuse(reason core.Reason, retryAfter time.Duration) {
	w.reply.answer(&peerpb.Part{
		Service:      w.ask.GetService(),
		Shard:        w.ask.GetShard(),
		Outcome:      uint32(core.NotRun),
		Reason:       string(reason),
		RetryAfterMs: uint64(retryAfter.Milliseconds()),
	})
}

func (r *bundleReply) answer(part *peerpb.Part) {
	r.remaining--
	last := r.remaining == 0
	if last {
		r.stopWatch()
	}
	r.inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_Part{Part: part}}, last)
}

func dependencies(ask *peerpb.ShardAsk) []upstream.Dependency {
	var list []upstream.Dependency
	for _, part := range ask.GetDependencies() {
		list = append(list, upstream.Dependency{Service: part.GetService(), Shard: int(part.GetShard()), Part: part.GetPayload()})
	}
	return list
}
