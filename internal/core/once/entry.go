package once

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// entryBytes is what an entry is charged besides its texts: the measured size
// of the struct, its place in the map and its alarm, rounded up.
const entryBytes = 512

// entry is one key in the ledger.
type entry struct {
	key      string
	customer core.Customer
	digest   Digest
	state    chart.State
	send     SendID
	// charged is what the entry counts against the limits, in bytes.
	charged  int
	forgetAt core.Time
	reply    Reply
	// run is nil once there is an outcome.
	run *run
}

// run is what an entry needs only while it has no outcome.
type run struct {
	service  string
	payload  []byte
	deadline core.Time
	sends    int
	rank     int
	// resendAt is when the request is routed anew; 0 while a send is open.
	resendAt core.Time
	waiters  []WaiterID
}

// step is what the chart's guards and actions work on.
type step struct {
	ledger *Ledger
	entry  *entry
	now    core.Time
	asked  *Asked
	ended  *Ended
}

// names are the chart's events.
type names struct {
	asked, askedOther, resendDue, endedDone, endedNotRun, endedUnknown, overdue, windowOver chart.Event
}

var onceChart = chart.Must(chart.Source("once"), chart.Bindings[*step]{
	Guards: map[string]func(*step) bool{
		"in_time":     (*step).inTime,
		"may_reroute": (*step).mayReroute,
	},
	Actions: map[string]func(*step){
		"send":         (*step).send,
		"join":         (*step).join,
		"refuse_reuse": (*step).refuseReuse,
		"reroute":      (*step).reroute,
		"finish":       (*step).finish,
		"finish_late":  (*step).finishLate,
		"give_up":      (*step).giveUp,
		"repeat":       (*step).repeat,
		"amend":        (*step).amend,
		"forget":       (*step).forget,
	},
})

var onceNames = names{
	asked:        onceChart.Event("asked"),
	askedOther:   onceChart.Event("asked_other"),
	resendDue:    onceChart.Event("resend_due"),
	endedDone:    onceChart.Event("ended_done"),
	endedNotRun:  onceChart.Event("ended_not_run"),
	endedUnknown: onceChart.Event("ended_unknown"),
	overdue:      onceChart.Event("overdue"),
	windowOver:   onceChart.Event("window_over"),
}

func (l *Ledger) fire(now core.Time, e *entry, event chart.Event, asked *Asked, ended *Ended) {
	e.state = l.machine.Fire(e.state, event, &step{ledger: l, entry: e, now: now, asked: asked, ended: ended})
}

// openCharge is what a new entry is charged: its request, or room for its
// outcome, whichever is more.
func (l *Ledger) openCharge(e Asked) int {
	return entryBytes + len(e.Key.Text) + max(len(e.Payload), l.limits.ReplyBytes)
}

// open adds an entry in the chart's initial state.
func (l *Ledger) open(e Asked, digest Digest) *entry {
	opened := &entry{
		key:      e.Key.Text,
		customer: e.Customer,
		digest:   digest,
		forgetAt: e.Key.Tick + l.limits.Retain + 1,
		run: &run{
			service:  e.Service,
			payload:  e.Payload,
			deadline: e.Deadline,
			waiters:  []WaiterID{e.Waiter},
		},
	}
	l.entries[opened.key] = opened
	l.accounts[opened.customer] = l.account(opened.customer)
	l.accounts[opened.customer].entries++
	l.running++
	l.charge(opened, l.openCharge(e))
	return opened
}

func (l *Ledger) charge(e *entry, charged int) {
	share := l.accounts[e.customer]
	l.bytes += charged - e.charged
	share.bytes += charged - e.charged
	e.charged = charged
}

// inTime is the guard against a home that was paused between taking a request
// and sending it: a send whose time has passed by the home's own clock is not
// made, and nothing was sent before it.
func (s *step) inTime() bool {
	s.entry.run.deadline = min(s.entry.run.deadline, s.now+s.ledger.limits.MaxRun)
	return s.entry.run.deadline > s.now
}

// mayReroute holds when the send is proven not run because it met no owner.
func (s *step) mayReroute() bool {
	run := s.entry.run
	moved := s.ended.Reason == core.ReasonNotOwner || s.ended.Reason == core.ReasonPeerUnreached
	return moved && run.sends < s.ledger.limits.MaxSends && s.now+s.ledger.limits.ReroutePause < run.deadline
}

func (s *step) send() {
	l, run := s.ledger, s.entry.run
	l.nextSend++
	run.sends++
	run.resendAt = 0
	s.entry.send = l.nextSend
	l.alarms.add(alarm{at: run.deadline + l.limits.Grace, entry: s.entry})
	l.actions = append(l.actions, Send{
		Key:      s.entry.key,
		Send:     s.entry.send,
		Customer: s.entry.customer,
		Service:  run.service,
		Payload:  run.payload,
		Deadline: run.deadline,
		Rank:     run.rank,
	})
}

// reroute waits a little for views to settle. An owner that cannot be reached
// is passed over for the next in order; one that refused is asked by the new view.
func (s *step) reroute() {
	run := s.entry.run
	run.rank = 0
	if s.ended.Reason == core.ReasonPeerUnreached {
		run.rank = run.sends
	}
	s.entry.send = 0
	run.resendAt = s.now + s.ledger.limits.ReroutePause
	s.ledger.alarms.add(alarm{at: run.resendAt, entry: s.entry})
}

func (s *step) join() { s.entry.run.waiters = append(s.entry.run.waiters, s.asked.Waiter) }

func (s *step) refuseReuse() {
	s.ledger.answer(s.asked.Waiter, refusal(fault.CodeKeyReused, "the key belongs to a request of another customer, service or payload", 0))
}

func (s *step) repeat() {
	kept := s.entry.reply
	kept.Repeated = true
	s.ledger.answer(s.asked.Waiter, kept)
}

func (s *step) finishLate() {
	s.settle(refusal(fault.CodePastDeadline, "the deadline passed before the request was sent", 0))
}

func (s *step) finish() { s.settle(endedReply(s.ended)) }

func (s *step) giveUp() {
	s.ledger.actions = append(s.ledger.actions, GiveUp{Send: s.entry.send})
	s.settle(Reply{Outcome: core.Unknown, Code: fault.CodeLost, Message: "no reply came from the owner in time: the request may have run"})
}

// amend replaces "unknown" by what a late reply proves. Neither outcome makes
// the earlier "unknown" false.
func (s *step) amend() { s.keep(endedReply(s.ended)) }

// settle gives the outcome to all who wait and keeps it.
func (s *step) settle(outcome Reply) {
	for _, waiter := range s.entry.run.waiters {
		s.ledger.answer(waiter, outcome)
	}
	s.entry.run = nil
	s.ledger.running--
	s.keep(outcome)
	s.ledger.alarms.add(alarm{at: max(s.entry.forgetAt, s.now), entry: s.entry})
}

func (s *step) keep(outcome Reply) {
	if len(outcome.Payload) > s.ledger.limits.ReplyBytes {
		outcome.Payload = nil
		outcome.Message = "the payload was too large to keep"
	}
	s.entry.reply = outcome
	s.ledger.charge(s.entry, entryBytes+len(s.entry.key)+len(outcome.Message)+len(outcome.Payload))
}

func (s *step) forget() {
	l, e := s.ledger, s.entry
	l.charge(e, 0)
	delete(l.entries, e.key)
	l.accounts[e.customer].entries--
	l.closeAccount(s.now, e.customer)
}

// endedReply words the end of a send for callers.
func endedReply(e *Ended) Reply {
	if e.Outcome == core.Done {
		return Reply{Outcome: core.Done, Payload: e.Payload, Message: e.Message}
	}
	reply := Reply{Outcome: e.Outcome, Code: e.Code, Message: e.Message, RetryAfter: e.RetryAfter}
	if reply.Code == "" {
		reply.Code = codeOf(e.Outcome, e.Reason)
	}
	if reply.Message == "" {
		reply.Message = "the request ended with " + string(e.Reason)
	}
	return reply
}

func codeOf(outcome core.Outcome, reason core.Reason) fault.Code {
	switch {
	case outcome != core.NotRun:
		return fault.CodeLost
	case reason == core.ReasonDeadline:
		return fault.CodePastDeadline
	case reason == core.ReasonOverloaded:
		return fault.CodeOverloaded
	case reason == core.ReasonDraining:
		return fault.CodeDraining
	default:
		return fault.CodeRefused
	}
}
