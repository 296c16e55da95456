package once

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// step is what the chart's guards and actions work on.
type step struct {
	ledger *Ledger
	entry  *entry
	now    core.Time
	asked  *Submitted
	ended  *SendEnded
}

// lifeCycle is one key in the ledger of its home.
var lifeCycle = chart.Must(chart.Source("once"), chart.Bindings[*step]{
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

var (
	eventAsked        = lifeCycle.Event("asked")
	eventAskedOther   = lifeCycle.Event("asked_other")
	eventResendDue    = lifeCycle.Event("resend_due")
	eventEndedDone    = lifeCycle.Event("ended_done")
	eventEndedNotRun  = lifeCycle.Event("ended_not_run")
	eventEndedUnknown = lifeCycle.Event("ended_unknown")
	eventOverdue      = lifeCycle.Event("overdue")
	eventWindowOver   = lifeCycle.Event("window_over")
)

// fire moves an entry's life cycle on. asked and ended are set for the events
// that come with one.
func (l *Ledger) fire(now core.Time, e *entry, event chart.Event, asked *Submitted, ended *SendEnded) {
	e.state = lifeCycle.Fire(e.state, event, &step{ledger: l, entry: e, now: now, asked: asked, ended: ended})
}

// inTime is the guard against a home that was paused between taking a request
// and sending it: a send whose time has passed by the home's own clock is not
// made, and nothing was sent before it.
func (s *step) inTime() bool { return s.entry.run.deadline > s.now }

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
	l.alarms.add(alarm{at: run.deadline + l.limits.ReplyGrace, entry: s.entry})
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
	s.ledger.actions = append(s.ledger.actions, CancelSend{Send: s.entry.send})
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
	if len(outcome.Payload) > s.ledger.limits.MaxReplyBytes {
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
