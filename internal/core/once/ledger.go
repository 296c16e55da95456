package once

import (
	"container/heap"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Limits are the bounds of a ledger.
type Limits struct {
	// Accept is the age of a prefix up to which a new key may run.
	Accept time.Duration
	// Retain is the age of a prefix up to which its keys are kept. It must
	// exceed Accept + MaxRun + Grace: a key that is not in the ledger between
	// the two ages has then provably never run.
	Retain time.Duration
	// MaxRun bounds one request's time, whatever its caller gives.
	MaxRun time.Duration
	// Grace is how long after its deadline a run's outcome is awaited.
	Grace time.Duration
	// MaxSends bounds the sends of a request, each but the last proven not run.
	MaxSends int
	// ReroutePause is the wait before a request is routed anew.
	ReroutePause time.Duration
	// Entries and Bytes bound the ledger, the other two each customer's share.
	Entries         int
	Bytes           int
	CustomerEntries int
	CustomerBytes   int
	// ReplyBytes is the largest payload kept with an outcome. A larger one goes
	// to those who wait for it; a later retry learns the outcome without it.
	ReplyBytes int
}

// DefaultLimits are sized for the 64 MB that a node has.
func DefaultLimits() Limits {
	return Limits{
		Accept:          2 * time.Minute,
		Retain:          10 * time.Minute,
		MaxRun:          time.Minute,
		Grace:           500 * time.Millisecond,
		MaxSends:        4,
		ReroutePause:    20 * time.Millisecond,
		Entries:         20_000,
		Bytes:           16 << 20,
		CustomerEntries: 10_000,
		CustomerBytes:   8 << 20,
		ReplyBytes:      16 << 10,
	}
}

// WaiterID names one asker that waits for a reply.
type WaiterID uint64

// SendID names one send to an owner.
type SendID uint64

// Reply is what a caller is told about a key.
type Reply struct {
	Outcome core.Outcome
	// Code is empty when the outcome is done.
	Code       fault.Code
	Message    string
	Payload    []byte
	RetryAfter time.Duration
	// Repeated marks an outcome that was kept from an earlier try.
	Repeated bool
	// ThisTry is NotRun when this try alone is proven not to have run while the
	// key's outcome is unknown.
	ThisTry core.Outcome
}

// Event is something that happened to the ledger.
type Event interface{ isEvent() }

// Asked is a request for a key.
type Asked struct {
	Waiter   WaiterID
	Key      Key
	Customer core.Customer
	Service  string
	Payload  []byte
	// Deadline is the receipt time plus the time left, on the home's clock.
	Deadline core.Time
}

// Withdrawn says that an asker has gone. What runs goes on.
type Withdrawn struct {
	Key    string
	Waiter WaiterID
}

// Ended is the end of a send.
type Ended struct {
	Key     string
	Send    SendID
	Outcome core.Outcome
	Reason  core.Reason
	// Code and Message replace those of the reason, when set.
	Code       fault.Code
	Message    string
	Payload    []byte
	RetryAfter time.Duration
}

// Woken is the alarm that a WakeAt asked for.
type Woken struct{}

// Stopping begins a planned stop: no new key runs any longer.
type Stopping struct{}

func (Asked) isEvent()     {}
func (Withdrawn) isEvent() {}
func (Ended) isEvent()     {}
func (Woken) isEvent()     {}
func (Stopping) isEvent()  {}

// Action is something the ledger wants done.
type Action interface{ isAction() }

// Send sends the request to the owner of its shard, once.
type Send struct {
	Key      string
	Send     SendID
	Customer core.Customer
	Service  string
	Payload  []byte
	Deadline core.Time
	// Rank is the place in the order of owners.
	Rank int
}

// GiveUp withdraws a send whose reply is overdue; unsent, it must stay so.
type GiveUp struct{ Send SendID }

// Answer replies to an asker.
type Answer struct {
	Waiter WaiterID
	Reply  Reply
}

// WakeAt asks for a Woken event; a later WakeAt replaces it.
type WakeAt struct{ At core.Time }

func (Send) isAction()   {}
func (GiveUp) isAction() {}
func (Answer) isAction() {}
func (WakeAt) isAction() {}

// Ledger is a home's memory of keys. It is not safe for concurrent use.
type Ledger struct {
	limits    Limits
	issuer    *Issuer
	machine   *chart.Machine[*step]
	names     names
	entries   map[string]*entry
	accounts  map[core.Customer]*account
	inherited inheritance
	alarms    alarms
	bytes     int
	running   int
	nextSend  SendID
	stopping  bool
	// retired is the newest tick of a key refused because the ledger was full.
	retired core.Time
	actions []Action
}

// account is one customer's share of the ledger.
type account struct {
	entries int
	bytes   int
	// retired is the newest tick of a key refused because the share was used
	// up. A refused key has no entry, yet its "not run" must stay true when a
	// delayed duplicate of it arrives after space was freed: so no key with a
	// prefix as old as this is run any more.
	retired core.Time
}

// NewLedger makes an empty ledger for one incarnation of a home.
func NewLedger(issuer *Issuer, limits Limits) *Ledger {
	return &Ledger{
		limits:    limits,
		issuer:    issuer,
		machine:   onceChart,
		names:     onceNames,
		entries:   map[string]*entry{},
		accounts:  map[core.Customer]*account{},
		inherited: newInheritance(limits),
		retired:   never,
	}
}

// never is before every tick.
const never = core.Time(-1)

// Entries is the number of keys kept, Bytes what they are charged.
func (l *Ledger) Entries() int { return len(l.entries) }

// Bytes is what the kept keys are charged, with room for outcomes to come.
func (l *Ledger) Bytes() int { return l.bytes }

// Running is the number of requests without an outcome.
func (l *Ledger) Running() int { return l.running }

// Step takes one event and returns what to do. The slice is valid until the
// next Step.
func (l *Ledger) Step(now core.Time, event Event) []Action {
	l.actions = l.actions[:0]
	switch e := event.(type) {
	case Asked:
		l.asked(now, e)
	case Withdrawn:
		l.withdrawn(e)
	case Ended:
		l.ended(now, e)
	case Stopping:
		l.stopping = true
	}
	l.wake(now)
	return l.actions
}

func (l *Ledger) answer(waiter WaiterID, reply Reply) {
	l.actions = append(l.actions, Answer{Waiter: waiter, Reply: reply})
}

func (l *Ledger) asked(now core.Time, e Asked) {
	if !l.issuer.Issued(e.Key) {
		l.answer(e.Waiter, l.inherited.lookup(now, e))
		return
	}
	if !l.issuer.Authentic(e.Key) {
		l.answer(e.Waiter, refusal(fault.CodeKeyInvalid, "the key's prefix was not issued here", 0))
		return
	}
	digest := DigestOf(e.Customer, e.Service, e.Payload)
	if known := l.entries[e.Key.Text]; known != nil {
		event := l.names.asked
		if known.digest != digest {
			event = l.names.askedOther
		}
		l.fire(now, known, event, &e, nil)
		return
	}
	if refused := l.refuseNew(now, e); refused != nil {
		l.answer(e.Waiter, *refused)
		return
	}
	l.fire(now, l.open(e, digest), l.names.asked, &e, nil)
}

// refuseNew says why a key without an entry does not run. Each "not run" here
// must stay true for good, since its caller may go on to use another key: age
// only grows, a stop is not taken back and retired ticks only rise.
func (l *Ledger) refuseNew(now core.Time, e Asked) *Reply {
	age := now - e.Key.Tick
	share := l.account(e.Customer)
	switch {
	case age > l.limits.Retain:
		// The entry of a key that ran may have been forgotten by now.
		return &Reply{Outcome: core.Unknown, Code: fault.CodeKeyExpired, Message: "the key's prefix is older than outcomes are kept: it may have run before"}
	case age > l.limits.Accept:
		return reply(refusal(fault.CodeKeyExpired, "the key's prefix is too old to run and the key never ran", 0))
	case l.stopping:
		return reply(refusal(fault.CodeDraining, "the home of this key is stopping", 0))
	case e.Key.Tick <= max(l.retired, share.retired):
		return reply(refusal(fault.CodeOverloaded, "the key's prefix was retired when the ledger was full", l.limits.ReroutePause))
	}
	return l.refuseFull(now, e, share)
}

func reply(r Reply) *Reply { return &r }

func (l *Ledger) refuseFull(now core.Time, e Asked, share *account) *Reply {
	charge := l.openCharge(e)
	switch {
	case len(l.entries) >= l.limits.Entries || l.bytes+charge > l.limits.Bytes:
		l.retired = max(l.retired, e.Key.Tick)
		return reply(refusal(fault.CodeOverloaded, "the ledger of the home is full", l.untilSpace(now)))
	case share.entries >= l.limits.CustomerEntries || share.bytes+charge > l.limits.CustomerBytes:
		share.retired = max(share.retired, e.Key.Tick)
		l.accounts[e.Customer] = share
		l.alarms.add(alarm{at: e.Key.Tick + l.limits.Retain, customer: e.Customer})
		return reply(refusal(fault.CodeOverloaded, "the customer's share of the ledger is full", l.untilSpace(now)))
	}
	return nil
}

// untilSpace is a time after which an entry will have been forgotten.
func (l *Ledger) untilSpace(now core.Time) time.Duration {
	for _, next := range l.alarms {
		if next.entry != nil && next.at > now {
			return next.at - now
		}
	}
	return l.limits.Grace
}

func refusal(code fault.Code, message string, retryAfter time.Duration) Reply {
	return Reply{Outcome: core.NotRun, Code: code, Message: message, RetryAfter: retryAfter}
}

func (l *Ledger) account(customer core.Customer) *account {
	if known := l.accounts[customer]; known != nil {
		return known
	}
	return &account{retired: never}
}

func (l *Ledger) withdrawn(e Withdrawn) {
	known := l.entries[e.Key]
	if known == nil || known.run == nil {
		return
	}
	kept := known.run.waiters[:0]
	for _, waiter := range known.run.waiters {
		if waiter != e.Waiter {
			kept = append(kept, waiter)
		}
	}
	known.run.waiters = kept
}

func (l *Ledger) ended(now core.Time, e Ended) {
	known := l.entries[e.Key]
	if known == nil || known.send != e.Send {
		return
	}
	event := l.names.endedUnknown
	switch e.Outcome {
	case core.Done:
		event = l.names.endedDone
	case core.NotRun:
		event = l.names.endedNotRun
	}
	l.fire(now, known, event, nil, &e)
}

// wake fires what is due and asks for the next alarm.
func (l *Ledger) wake(now core.Time) {
	for len(l.alarms) > 0 && l.alarms[0].at <= now {
		due := heap.Pop(&l.alarms).(alarm)
		if due.entry == nil {
			l.closeAccount(now, due.customer)
			continue
		}
		l.due(now, due.entry)
	}
	if len(l.alarms) > 0 {
		l.actions = append(l.actions, WakeAt{At: l.alarms[0].at})
	}
}

// due fires an entry's alarms. Alarms are not withdrawn, so each is checked
// against what the entry now waits for.
func (l *Ledger) due(now core.Time, e *entry) {
	switch {
	case e.run == nil:
		if e.forgetAt <= now {
			l.fire(now, e, l.names.windowOver, nil, nil)
		}
	case e.run.resendAt != 0:
		if e.run.resendAt <= now {
			l.fire(now, e, l.names.resendDue, nil, nil)
		}
	case e.run.deadline+l.limits.Grace <= now:
		l.fire(now, e, l.names.overdue, nil, nil)
	}
}

// closeAccount drops a customer's account when nothing depends on it.
func (l *Ledger) closeAccount(now core.Time, customer core.Customer) {
	share := l.accounts[customer]
	if share != nil && share.entries == 0 && now-share.retired > l.limits.Accept {
		delete(l.accounts, customer)
	}
}

// alarm is a time at which an entry, or a customer's account, is looked at.
type alarm struct {
	at       core.Time
	entry    *entry
	customer core.Customer
}

// alarms is a heap by time.
type alarms []alarm

func (a *alarms) add(next alarm) { heap.Push(a, next) }

// Len implements heap.Interface.
func (a alarms) Len() int { return len(a) }

// Less implements heap.Interface.
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }

// Swap implements heap.Interface.
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop implements heap.Interface.
func (a *alarms) Pop() any {
	last := len(*a) - 1
	popped := (*a)[last]
	*a = (*a)[:last]
	return popped
}
