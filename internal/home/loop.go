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

// event is an element of the loop's ring.
type event interface{ isEvent() }

// submitReceived carries an entry's request; at is when it was read from the stream.
type submitReceived struct {
	inbound *peer.Inbound
	key     once.Key
	at      core.Time
}

// ledgerEvent is an event for the ledger.
type ledgerEvent struct{ event once.Event }

// handoverReceived carries a HandoverRequest.
type handoverReceived struct{ inbound *peer.Inbound }

// stopRequested starts a planned stop. idle is closed once no request is running.
type stopRequested struct{ idle chan<- struct{} }

// recordsRequested requests the records of the ledger.
type recordsRequested struct{ records chan<- []once.Record }

func (submitReceived) isEvent()   {}
func (ledgerEvent) isEvent()      {}
func (handoverReceived) isEvent() {}
func (stopRequested) isEvent()    {}
func (recordsRequested) isEvent() {}

// waiter is a request from an entry that waits for a reply.
type waiter struct {
	inbound   *peer.Inbound
	stopWatch func() bool
}

// loop is the goroutine that owns the ledger.
type loop struct {
	options    Options
	ctx        context.Context
	events     *ring.Ring[event]
	ledger     *once.Ledger
	waiters    map[once.WaiterID]waiter
	cancellers map[once.SendID]peer.Canceller
	lastWaiter once.WaiterID
	wakeAt     core.Time
	idle       chan<- struct{}
	gauges     ledgerGauges
}

func newLoop(ctx context.Context, options Options, issuer *once.Issuer) *loop {
	return &loop{
		options:    options,
		ctx:        ctx,
		events:     ring.New[event](ringDepth),
		ledger:     once.NewLedger(issuer, options.Limits),
		waiters:    map[once.WaiterID]waiter{},
		cancellers: map[once.SendID]peer.Canceller{},
		gauges:     newLedgerGauges(options.Metrics),
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
	case submitReceived:
		l.handleSubmit(e)
	case ledgerEvent:
		l.step(e.event)
	case handoverReceived:
		l.inherit(e)
	case stopRequested:
		l.idle = e.idle
		l.step(once.Stopping{})
	case recordsRequested:
		e.records <- l.ledger.Records(l.options.Now())
	}
}

func (l *loop) handleSubmit(e submitReceived) {
	message := e.inbound.Envelope.GetSubmitRequest()
	l.lastWaiter++
	id := l.lastWaiter
	stopWatch := context.AfterFunc(e.inbound.Context, func() {
		_ = l.events.Put(l.ctx, ledgerEvent{event: once.Withdrawn{Key: e.key.Text, Waiter: id}})
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
		delete(l.cancellers, e.Send)
	case once.Withdrawn:
		delete(l.waiters, e.Waiter)
	}
	for _, action := range l.ledger.Step(l.options.Now(), e) {
		switch a := action.(type) {
		case once.Send:
			l.send(a)
		case once.CancelSend:
			l.cancelSend(a)
		case once.Answer:
			l.answer(a)
		case once.WakeAt:
			l.wakeAt = a.At
		}
	}
}

// answer replies to a waiter. It first stops watching the waiter's context, because the
// end of that context no longer matters.
func (l *loop) answer(a once.Answer) {
	waiting, ok := l.waiters[a.Waiter]
	if !ok {
		return
	}
	delete(l.waiters, a.Waiter)
	waiting.stopWatch()
	l.countOutcome(waiting.inbound.Envelope.GetSubmitRequest(), a.Reply)
	waiting.inbound.Reply(replyEnvelope(a.Reply), true)
}

// countOutcome counts an outcome that is sent to an entry, and reports an unknown one,
// which an operator may have to look up.
func (l *loop) countOutcome(message *peerpb.SubmitRequest, reply once.Reply) {
	switch {
	case reply.Repeated:
		observe.Counter(l.options.Metrics, "submits_repeated_total").Inc(1)
		return
	case reply.Outcome == core.Unknown:
		l.options.Problems.Report(observe.KindOutcomeUnknown, message.GetService(), string(reply.Code)+" for key "+message.GetKey())
	}
	observe.Counter(l.options.Metrics, "submits_"+reply.Outcome.String()+"_total").Inc(1)
}
