package home

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

// event is what the loop's ring carries.
type event interface{ isEvent() }

// arrived is an entry's request; at is when it was taken from the stream.
type arrived struct {
	inbound *peer.Inbound
	key     once.Key
	at      core.Time
}

// stepped is an event for the ledger.
type stepped struct{ event once.Event }

// handedOver is a HandoverRequest.
type handedOver struct{ inbound *peer.Inbound }

// stopped begins a planned stop; idle closes when nothing runs any longer.
type stopped struct{ idle chan<- struct{} }

// recalled asks for the ledger's records.
type recalled struct{ records chan<- []once.Record }

func (arrived) isEvent()    {}
func (stepped) isEvent()    {}
func (handedOver) isEvent() {}
func (stopped) isEvent()    {}
func (recalled) isEvent()   {}

// waiter is an asker that waits for a reply.
type waiter struct {
	inbound   *peer.Inbound
	stopWatch func() bool
}

// loop is the goroutine that owns the ledger.
type loop struct {
	options Options
	ctx     context.Context
	events  *ring.Ring[event]
	ledger  *once.Ledger
	waiters map[once.WaiterID]waiter
	tickets map[once.SendID]peer.Ticket
	next    once.WaiterID
	wakeAt  core.Time
	idle    chan<- struct{}
	gauges  ledgerGauges
}

func newLoop(ctx context.Context, options Options, issuer *once.Issuer) *loop {
	return &loop{
		options: options,
		ctx:     ctx,
		events:  ring.New[event](ringDepth),
		ledger:  once.NewLedger(issuer, options.Limits),
		waiters: map[once.WaiterID]waiter{},
		tickets: map[once.SendID]peer.Ticket{},
		gauges:  newLedgerGauges(options.Metrics),
	}
}

func (l *loop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if l.wakeAt != 0 {
			timer.Reset(max(0, l.wakeAt-l.options.Now()))
		}
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.events.Items():
			l.handle(e)
		case <-timer.C:
			l.wakeAt = 0
			l.step(once.Woken{})
		}
		l.gauges.update(l.ledger)
		if l.idle != nil && l.ledger.Running() == 0 {
			close(l.idle)
			l.idle = nil
		}
	}
}

func (l *loop) handle(e event) {
	switch e := e.(type) {
	case arrived:
		l.arrived(e)
	case stepped:
		l.step(e.event)
	case handedOver:
		l.inherit(e)
	case stopped:
		l.idle = e.idle
		l.step(once.Stopping{})
	case recalled:
		e.records <- l.ledger.Records(l.options.Now())
	}
}

func (l *loop) arrived(e arrived) {
	message := e.inbound.Envelope.GetSubmitRequest()
	l.next++
	id := l.next
	stopWatch := context.AfterFunc(e.inbound.Context, func() {
		_ = l.events.Put(l.ctx, stepped{event: once.Withdrawn{Key: e.key.Text, Waiter: id}})
	})
	l.waiters[id] = waiter{inbound: e.inbound, stopWatch: stopWatch}
	l.step(once.Asked{
		Waiter:   id,
		Key:      e.key,
		Customer: core.Customer(message.GetCustomer()),
		Service:  message.GetService(),
		Payload:  message.GetPayload(),
		Deadline: e.at + time.Duration(message.GetTimeLeftUs())*time.Microsecond,
	})
}

func (l *loop) step(e once.Event) {
	switch e := e.(type) {
	case once.Ended:
		delete(l.tickets, e.Send)
	case once.Withdrawn:
		delete(l.waiters, e.Waiter)
	}
	for _, action := range l.ledger.Step(l.options.Now(), e) {
		switch a := action.(type) {
		case once.Send:
			l.send(a)
		case once.GiveUp:
			l.giveUp(a)
		case once.Answer:
			l.answer(a)
		case once.WakeAt:
			l.wakeAt = a.At
		}
	}
}

// answer replies to an asker. Its watch ends first: the end of its context is
// no longer news.
func (l *loop) answer(a once.Answer) {
	waiting, ok := l.waiters[a.Waiter]
	if !ok {
		return
	}
	delete(l.waiters, a.Waiter)
	waiting.stopWatch()
	l.note(waiting.inbound.Envelope.GetSubmitRequest(), a.Reply)
	waiting.inbound.Reply(replyEnvelope(a.Reply), true)
}

// note counts an outcome told here and reports one that an operator may have to
// look up.
func (l *loop) note(message *peerpb.SubmitRequest, reply once.Reply) {
	switch {
	case reply.Repeated:
		observe.Counter(l.options.Metrics, "submits_repeated_total").Inc(1)
		return
	case reply.Outcome == core.Unknown:
		l.options.Problems.Report(observe.KindOutcomeUnknown, message.GetService(), string(reply.Code)+" for key "+message.GetKey())
	}
	observe.Counter(l.options.Metrics, "submits_"+reply.Outcome.String()+"_total").Inc(1)
}

// giveUp withdraws a send: a request that waits for its link to open is past
// its time and is then never written.
func (l *loop) giveUp(a once.GiveUp) {
	if ticket := l.tickets[a.Send]; ticket != nil {
		ticket.Cancel()
		delete(l.tickets, a.Send)
	}
}

// put queues an event for the ledger. The loop's own goroutine uses it too, so
// it must not wait for room there.
func (l *loop) put(e once.Event) {
	if l.events.TryPut(stepped{event: e}) {
		return
	}
	go func() { _ = l.events.Put(l.ctx, stepped{event: e}) }()
}

// send asks the owner of the key's shard, exactly once for each Send.
func (l *loop) send(a once.Send) {
	to, err := l.owner(a)
	if err != nil {
		l.put(notSent(a, err))
		return
	}
	left := a.Deadline - l.options.Now()
	if left <= 0 {
		l.put(once.Ended{Key: a.Key, Send: a.Send, Outcome: core.NotRun, Reason: core.ReasonDeadline})
		return
	}
	message := &peerpb.SubmitRequest{
		Customer:   string(a.Customer),
		Key:        a.Key,
		Service:    a.Service,
		Shard:      uint32(to.shard.Ref.Shard),
		Shards:     uint32(to.shards),
		Payload:    a.Payload,
		TimeLeftUs: microseconds(left),
		View:       l.options.Belief.View().ID(),
		Bundle:     uint32(to.shard.Bundle),
		Rank:       uint32(a.Rank),
		ToOwner:    true,
	}
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_SubmitRequest{SubmitRequest: message}}
	l.tickets[a.Send] = l.options.Peers.Ask(to.owner, envelope, l.sink(a))
}

func notSent(a once.Send, err error) once.Ended {
	typed := fault.As(err)
	ended := once.Ended{Key: a.Key, Send: a.Send, Outcome: core.NotRun, Code: typed.Code, Message: typed.Message}
	if typed.Code == fault.CodeRefused {
		ended.Reason = core.ReasonPeerUnreached
	}
	return ended
}

// destination is where a send goes: the owner of the shard, one of the service's
// number of shards in the text in force.
type destination struct {
	owner  peer.Target
	shard  *catalog.Shard
	shards int
}

// owner finds the node to ask and the shard: the key's hash over the service's
// shards. The error is a *fault.Error with outcome not run.
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

func submittable(text *catalog.Catalog, a once.Send) (*catalog.Service, error) {
	service := text.Services[a.Service]
	if service == nil {
		return nil, fault.NotRun(fault.CodeUnknownService, "service "+strconv.Quote(a.Service)+" is not in the text", "")
	}
	if service.Idempotent {
		return nil, fault.NotRun(fault.CodeWrongMethod, "service "+a.Service+" is idempotent: ask it by /v1/query/"+a.Service, "")
	}
	if _, known := text.Customer(a.Customer); !known {
		return nil, fault.NotRun(fault.CodeUnknownCustomer, "customer "+strconv.Quote(string(a.Customer))+" is not in the text", "")
	}
	return service, nil
}

func target(node route.Node) peer.Target {
	return peer.Target{Node: node.ID, Address: node.PeerAddress}
}

// sink turns the owner's reply into the send's end.
func (l *loop) sink(a once.Send) peer.Sink {
	return func(reply *peerpb.Envelope, failure *peer.LinkError) {
		ended := once.Ended{Key: a.Key, Send: a.Send}
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
		default:
			ended.Reason = core.ReasonCrossedReply
		}
		l.put(ended)
	}
}

// refusedReason passes over an owner that stops, as one that is not reached.
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
