package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	corequarantine "github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// maxSubmitReplyBytes limits the payload returned to a home. A message over the peer
// protocol's limit would end the stream and lose the outcomes of all requests on it,
// so a larger payload is dropped and the outcome is sent without it.
const maxSubmitReplyBytes = 2 << 20

// HandleSubmit handles a SubmitRequest from the home of its key. A Refusal means that
// the request was not run and may be sent to another owner.
//
// The request is not withdrawn if the link to its home is lost. The home then does not
// receive the outcome, but a started upstream request still ends normally instead of
// with a closed connection.
func (o *Owner) HandleSubmit(inbound *peer.Inbound) {
	message := inbound.Envelope.GetSubmitRequest()
	at := o.options.Now()
	ref := core.ShardRef{Service: message.GetService(), Shard: int(message.GetShard())}
	bundle := o.bundleOf(message)
	if bundle == nil || !o.ownsNow(bundle.ID, message.GetRank()) {
		refuse(inbound, core.ReasonNotOwner, o.options.Belief.View().ID())
		return
	}
	if !o.submits.begin() {
		refuse(inbound, core.ReasonDraining, 0)
		return
	}
	w := &submitWork{
		inbound: inbound,
		ref:     ref,
		owns:    func() bool { return o.stillOwns(message, bundle.ID) },
		now:     o.options.Now,
		permit:  once.NewPermit(at + remainingTime(message.GetTimeLeftUs())),
		end:     o.submits.end,
	}
	l := o.loops[uint32(bundle.ID)%uint32(len(o.loops))]
	if !l.events.TryPut(requestReceived{inbound: inbound, at: at, submit: w}) {
		o.submits.end()
		refuse(inbound, core.ReasonOverloaded, 0)
	}
}

// bundleOf returns the bundle of the requested shard, or nil if the configuration in
// force does not list the shard or the service was repartitioned. In the latter case
// the home chose the shard by the earlier number of shards, and that number now refers
// to other data: a request that was queued during the change would be recorded in the
// wrong shard. It is refused as not owned, so that its home routes it again.
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

// stillOwns reports whether the requested shard is still in the bundle and this node
// owns the bundle.
func (o *Owner) stillOwns(message *peerpb.SubmitRequest, id core.BundleID) bool {
	bundle := o.bundleOf(message)
	return bundle != nil && bundle.ID == id && o.ownsNow(id, message.GetRank())
}

// ownsNow reports whether this node owns the bundle by its current view and
// configuration.
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
	end     func()
	// mutex guards the permit, because each send runs on its own goroutine.
	mutex  sync.Mutex
	permit *once.Permit
}

func (l *loop) handleSubmit(cat *catalog.Catalog, e requestReceived) {
	message := e.inbound.Envelope.GetSubmitRequest()
	s := l.shard(cat, e.submit.ref)
	if s == nil {
		e.submit.refuse(core.ReasonNotOwner, 0)
		return
	}
	if l.isSetAside(e.submit) {
		e.submit.refuse(core.ReasonSetAside, corequarantine.RetryAfter)
		return
	}
	customer, _ := cat.Customer(core.Customer(message.GetCustomer()))
	l.offer(s, e.inbound, e.submit, admit.Offered{
		Customer: customer.Name,
		Weight:   customer.Weight,
		Deadline: e.at + remainingTime(message.GetTimeLeftUs()),
		Once:     true,
	})
}

// send runs a request's call. A must-not-repeat request needs its permit, which checks
// the clock and the ownership again: the process may have been paused since the
// machine decided to send.
func (l *loop) send(ctx context.Context, w work, call upstream.Call) upstream.Result {
	submit, ok := w.(*submitWork)
	if !ok {
		return l.options.Upstream.Do(ctx, call)
	}
	remaining, refusal := submit.acquirePermit()
	if refusal != nil {
		return upstream.Result{Outcome: refusal.Outcome, Reason: refusal.Reason, Load: -1}
	}
	call.RemainingTime = remaining
	result := l.options.Upstream.Do(ctx, call)
	submit.releasePermit(result.Outcome)
	return result
}

func (w *submitWork) acquirePermit() (time.Duration, *once.Refusal) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.permit.Acquire(w.now(), w.owns())
}

func (w *submitWork) releasePermit(outcome core.Outcome) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.permit.ReleaseIfNotRun(outcome)
}

func (w *submitWork) reportable(outcome core.Outcome) core.Outcome {
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
		Outcome:      uint32(w.reportable(result.Outcome)),
		Code:         string(result.Reason),
		Payload:      result.Payload,
		RetryAfterMs: uint64(result.RetryAfter.Milliseconds()),
	}
	if len(message.Payload) > maxSubmitReplyBytes {
		message.Payload = nil
		message.Message = "the reply payload exceeds 2 MiB and was dropped"
	}
	w.reply(message)
}

func (w *submitWork) refuse(reason core.Reason, retryAfter time.Duration) {
	w.reply(&peerpb.SubmitReply{
		Outcome:      uint32(w.reportable(core.NotRun)),
		Code:         string(reason),
		RetryAfterMs: uint64(retryAfter.Milliseconds()),
	})
}

// reply answers the home. Between owner and home, Code holds a core.Reason.
func (w *submitWork) reply(message *peerpb.SubmitReply) {
	w.end()
	w.inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_SubmitReply{SubmitReply: message}}, true)
}
