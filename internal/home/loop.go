package home

import (
	"context"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
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
	l.step(once.Submitted{
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
	case once.SendEnded:
		delete(l.tickets, e.Send)
	case once.Withdrawn:
		delete(l.waiters, e.Waiter)
	}
	for _, action := range l.ledger.Step(l.options.Now(), e) {
		switch a := action.(type) {
		case once.Send:
			l.send(a)
		case once.CancelSend:
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
