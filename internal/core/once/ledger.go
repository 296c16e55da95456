package once

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Ledger holds the keys of a home and their outcomes. It is not safe for concurrent
// use.
type Ledger struct {
	limits    Limits
	issuer    *Issuer
	entries   map[string]*entry
	usages    map[core.Customer]*customerUsage
	inherited inheritedOutcomes
	timers    timerHeap
	bytes     int
	running   int
	nextSend  SendID
	stopping  bool
	// refusedUpTo is the newest prefix time of a key that was refused because the
	// ledger was full.
	refusedUpTo core.Time
	actions     []Action
}

// NewLedger makes an empty ledger for one incarnation of a home.
func NewLedger(issuer *Issuer, limits Limits) *Ledger {
	return &Ledger{
		limits:      limits,
		issuer:      issuer,
		entries:     map[string]*entry{},
		usages:      map[core.Customer]*customerUsage{},
		inherited:   newInheritedOutcomes(limits),
		refusedUpTo: noneRefused,
	}
}

// Entries returns the number of keys in the ledger.
func (l *Ledger) Entries() int { return len(l.entries) }

// Bytes returns the bytes charged for the keys, including space reserved for outcomes.
func (l *Ledger) Bytes() int { return l.bytes }

// Running returns the number of requests without an outcome.
func (l *Ledger) Running() int { return l.running }

// Step handles one event and returns the resulting actions. The slice is valid until
// the next Step.
func (l *Ledger) Step(now core.Time, event Event) []Action {
	l.actions = l.actions[:0]
	switch e := event.(type) {
	case Submitted:
		l.submitted(now, e)
	case Withdrawn:
		l.withdrawn(e)
	case SendEnded:
		l.sendEnded(now, e)
	case Stopping:
		l.stopping = true
	}
	l.fireTimers(now)
	return l.actions
}

func (l *Ledger) answer(waiter WaiterID, reply Reply) {
	l.actions = append(l.actions, Answer{Waiter: waiter, Reply: reply})
}

func (l *Ledger) submitted(now core.Time, e Submitted) {
	if !l.issuer.Issued(e.Key) {
		l.answer(e.Waiter, l.inherited.lookup(now, e))
		return
	}
	if !l.issuer.Authentic(e.Key) {
		l.answer(e.Waiter, refusal(fault.CodeKeyInvalid, "the key's prefix is not authentic: this node did not issue it", 0))
		return
	}
	digest := DigestOf(e.Customer, e.Service, e.Payload)
	if known := l.entries[e.Key.Text]; known != nil {
		event := eventAsked
		if known.digest != digest {
			event = eventAskedOther
		}
		l.fire(now, known, event, &e, nil)
		return
	}
	if refused := l.newKeyRefusal(now, e); refused != nil {
		l.answer(e.Waiter, *refused)
		return
	}
	l.fire(now, l.open(now, e, digest), eventAsked, &e, nil)
}

func (l *Ledger) withdrawn(e Withdrawn) {
	known := l.entries[e.Key]
	if known == nil || known.run == nil {
		return
	}
	known.run.waiters = slices.DeleteFunc(known.run.waiters, func(waiter WaiterID) bool { return waiter == e.Waiter })
}

func (l *Ledger) sendEnded(now core.Time, e SendEnded) {
	known := l.entries[e.Key]
	if known == nil || known.send != e.Send {
		return
	}
	event := eventEndedUnknown
	switch e.Outcome {
	case core.Done:
		event = eventEndedDone
	case core.NotRun:
		event = eventEndedNotRun
	}
	l.fire(now, known, event, nil, &e)
}
