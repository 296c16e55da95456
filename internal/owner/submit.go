package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// maxSubmitReplyBytes bounds the payload passed back to a home. A message over
// the peers' limit would end the stream, and with it the outcomes of all that is
// open there; the outcome without its payload is worth more.
const maxSubmitReplyBytes = 2 << 20

// HandleSubmit takes a SubmitRequest from the home of its key. A Refusal says
// that it was not run and may be routed elsewhere.
//
// The request is not withdrawn when its home is lost: the home can no longer be
// told, but what was begun ends in order rather than in a cut connection.
func (o *Owner) HandleSubmit(inbound *peer.Inbound) {
	message := inbound.Envelope.GetSubmitRequest()
	at := o.options.Now()
	ref := core.ShardRef{Service: message.GetService(), Shard: int(message.GetShard())}
	bundle := o.bundleOf(message)
	if bundle == nil || !o.ownsNow(bundle.ID, message.GetRank()) {
		refuse(inbound, core.ReasonNotOwner, o.options.Belief.View().ID())
		return
	}
	if !o.submits.enter() {
		refuse(inbound, core.ReasonDraining, 0)
		return
	}
	w := &submitWork{
		inbound: inbound,
		ref:     ref,
		owns:    func() bool { return o.ownsAsked(message, bundle.ID) },
		now:     o.options.Now,
		permit:  once.NewPermit(at + timeLeft(message.GetTimeLeftUs())),
		leave:   o.submits.leave,
	}
	l := o.loops[uint32(bundle.ID)%uint32(len(o.loops))]
	if !l.events.TryPut(arrived{inbound: inbound, at: at, submit: w}) {
		o.submits.leave()
		refuse(inbound, core.ReasonOverloaded, 0)
	}
}

// bundleOf returns the bundle of the shard that a request is for, or nil when the
// text in force has none. A service that was repartitioned counts as none: the
// home chose the shard by the former number of shards, and its number stands for
// other data now. A request that waited over the change would be recorded where
// nobody looks for it; refused as not owned, its home routes it anew.
func (o *Owner) bundleOf(message *peerpb.SubmitRequest) *catalog.Bundle {
	config := o.options.Belief.Config()
	if config == nil {
		return nil
	}
	service := config.Catalog.Services[message.GetService()]
	if service == nil || service.Idempotent || message.GetShards() != 0 && int(message.GetShards()) != len(service.Shards) {
		return nil
	}
	shard := config.Catalog.Shard(core.ShardRef{Service: message.GetService(), Shard: int(message.GetShard())})
	if shard == nil {
		return nil
	}
	return config.Catalog.Bundles[shard.Bundle]
}

// ownsAsked reports whether the request's shard is in the bundle still, and the
// bundle is this node's.
func (o *Owner) ownsAsked(message *peerpb.SubmitRequest, id core.BundleID) bool {
	bundle := o.bundleOf(message)
	return bundle != nil && bundle.ID == id && o.ownsNow(id, message.GetRank())
}

// ownsNow checks ownership by what this node believes at the moment.
func (o *Owner) ownsNow(id core.BundleID, rank uint32) bool {
	config := o.options.Belief.Config()
	if config == nil || config.Catalog.Bundles[id] == nil {
		return false
	}
	return o.owns(config.Catalog, config.Catalog.Bundles[id], int(rank))
}

// submitWork is one must-not-repeat request at its owner.
type submitWork struct {
	inbound *peer.Inbound
	ref     core.ShardRef
	owns    func() bool
	now     func() core.Time
	leave   func()
	// mutex guards the permit: sends end on goroutines of their own.
	mutex  sync.Mutex
	permit *once.Permit
}

func (l *loop) submitArrived(text *catalog.Catalog, e arrived) {
	message := e.inbound.Envelope.GetSubmitRequest()
	s := l.shard(text, e.submit.ref)
	if s == nil {
		e.submit.refuse(core.ReasonNotOwner, 0)
		return
	}
	customer, _ := text.Customer(core.Customer(message.GetCustomer()))
	l.offer(s, e.inbound, e.submit, admit.Offered{
		Customer: customer.Name,
		Weight:   customer.Weight,
		Deadline: e.at + timeLeft(message.GetTimeLeftUs()),
		Once:     true,
	})
}

// send runs a request's call. A must-not-repeat one needs its permit, which
// reads the clock and the ownership anew: between the machine's decision and
// this line the process may have been paused.
func (l *loop) send(ctx context.Context, w work, call upstream.Call) upstream.Result {
	submit, ok := w.(*submitWork)
	if !ok {
		return l.options.Upstream.Do(ctx, call)
	}
	left, refusal := submit.take()
	if refusal != nil {
		return upstream.Result{Outcome: refusal.Outcome, Reason: refusal.Reason, Load: -1}
	}
	call.RemainingTime = left
	result := l.options.Upstream.Do(ctx, call)
	submit.ended(result.Outcome)
	return result
}

func (w *submitWork) take() (time.Duration, *once.Refusal) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.permit.Acquire(w.now(), w.owns())
}

func (w *submitWork) ended(outcome core.Outcome) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.permit.ReleaseIfNotRun(outcome)
}

func (w *submitWork) capped(outcome core.Outcome) core.Outcome {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.permit.ReportableOutcome(outcome)
}

func (w *submitWork) call() upstream.Call {
	message := w.inbound.Envelope.GetSubmitRequest()
	return upstream.Call{
		RequestID: message.GetKey(),
		Customer:  core.Customer(message.GetCustomer()),
		Body:      upstream.Body{Question: message.GetPayload()},
		SubmitKey: message.GetKey(),
	}
}

func (w *submitWork) settle(result upstream.Result, _ int) {
	message := &peerpb.SubmitReply{
		Outcome:      uint32(w.capped(result.Outcome)),
		Code:         string(result.Reason),
		Payload:      result.Payload,
		RetryAfterMs: uint64(result.RetryAfter.Milliseconds()),
	}
	if len(message.Payload) > maxSubmitReplyBytes {
		message.Payload = nil
		message.Message = "the payload was too large to pass on"
	}
	w.reply(message)
}

func (w *submitWork) refuse(reason core.Reason, retryAfter time.Duration) {
	w.reply(&peerpb.SubmitReply{
		Outcome:      uint32(w.capped(core.NotRun)),
		Code:         string(reason),
		RetryAfterMs: uint64(retryAfter.Milliseconds()),
	})
}

// reply answers the home. On this hop the code is a core.Reason.
func (w *submitWork) reply(message *peerpb.SubmitReply) {
	w.leave()
	w.inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_SubmitReply{SubmitReply: message}}, true)
}
