package once

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// transition is the subject of the state chart's guards and actions.
type transition struct {
	ledger    *Ledger
	entry     *entry
	now       core.Time
	submitted *Submitted
	sendEnded *SendEnded
}

// lifeCycle is the state chart of one key in the ledger of its home.
var lifeCycle = chart.Must(chart.Source("once"), chart.Bindings[*transition]{
	Guards: map[string]func(*transition) bool{
		"in_time":     (*transition).inTime,
		"may_reroute": (*transition).mayReroute,
	},
	Actions: map[string]func(*transition){
		"send":         (*transition).send,
		"join":         (*transition).join,
		"refuse_reuse": (*transition).refuseReuse,
		"reroute":      (*transition).reroute,
		"finish":       (*transition).finish,
		"finish_late":  (*transition).finishLate,
		"give_up":      (*transition).giveUp,
		"repeat":       (*transition).repeat,
		"amend":        (*transition).amend,
		"forget":       (*transition).forget,
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

// fire applies an event to an entry's state chart. submitted and sendEnded are set for
// the events that carry them.
func (l *Ledger) fire(now core.Time, e *entry, event chart.Event, submitted *Submitted, sendEnded *SendEnded) {
	e.state = lifeCycle.Fire(e.state, event, &transition{ledger: l, entry: e, now: now, submitted: submitted, sendEnded: sendEnded})
}

// inTime guards against a home whose process was paused between receiving a request and
// sending it: past the deadline on the home's own clock the request is not sent. No
// earlier send of it can have run.
func (s *transition) inTime() bool { return s.entry.run.deadline > s.now }

// mayReroute reports whether a send that is proven not run may be rerouted: it did not
// reach an owner, and send limit and deadline allow another one.
func (s *transition) mayReroute() bool {
	run := s.entry.run
	noOwner := s.sendEnded.Reason == core.ReasonNotOwner || s.sendEnded.Reason == core.ReasonPeerUnreached
	return noOwner && run.sendCount < s.ledger.limits.MaxSends && s.now+s.ledger.limits.ReroutePause < run.deadline
}

func (s *transition) send() {
	l, run := s.ledger, s.entry.run
	l.nextSend++
	run.sendCount++
	run.resendAt = 0
	s.entry.send = l.nextSend
	l.timers.add(timer{at: run.deadline + l.limits.ReplyGrace, entry: s.entry})
	l.actions = append(l.actions, Send{
		Key:      s.entry.key,
		Send:     s.entry.send,
		Customer: s.entry.customer,
		Service:  run.service,
		Payload:  run.payload,
		Deadline: run.deadline,
		Rank:     run.ownerRank,
	})
}

// reroute schedules the next send after a delay in which membership views can converge.
// If an owner could not be reached, the next one in order is used; if it refused, the
// first one in the new view.
func (s *transition) reroute() {
	run := s.entry.run
	run.ownerRank = 0
	if s.sendEnded.Reason == core.ReasonPeerUnreached {
		run.ownerRank = run.sendCount
	}
	s.entry.send = 0
	run.resendAt = s.now + s.ledger.limits.ReroutePause
	s.ledger.timers.add(timer{at: run.resendAt, entry: s.entry})
}

func (s *transition) join() { s.entry.run.waiters = append(s.entry.run.waiters, s.submitted.Waiter) }

func (s *transition) refuseReuse() {
	s.ledger.answer(s.submitted.Waiter, refusal(fault.CodeKeyReused, "the key was already used for a request with another customer, service or payload", 0))
}

func (s *transition) repeat() {
	stored := s.entry.reply
	stored.Repeated = true
	s.ledger.answer(s.submitted.Waiter, stored)
}

func (s *transition) finishLate() {
	s.complete(refusal(fault.CodePastDeadline, "the deadline passed before the request was sent", 0))
}

func (s *transition) finish() { s.complete(sendEndReply(s.sendEnded)) }

func (s *transition) giveUp() {
	s.ledger.actions = append(s.ledger.actions, CancelSend{Send: s.entry.send})
	s.complete(Reply{Outcome: core.Unknown, Code: fault.CodeLost, Message: "the owner did not reply in time: the request may have run"})
}

// amend replaces "unknown" by the outcome of a late reply. "Unknown" was correct when
// it was reported, and either outcome is consistent with it.
func (s *transition) amend() { s.storeReply(sendEndReply(s.sendEnded)) }

// complete sends the outcome to all waiters and stores it.
func (s *transition) complete(outcome Reply) {
	for _, waiter := range s.entry.run.waiters {
		s.ledger.answer(waiter, outcome)
	}
	s.entry.run = nil
	s.ledger.running--
	s.storeReply(outcome)
	s.ledger.timers.add(timer{at: max(s.entry.expiresAt, s.now), entry: s.entry})
}

func (s *transition) storeReply(outcome Reply) {
	if len(outcome.Payload) > s.ledger.limits.MaxReplyBytes {
		outcome.Payload = nil
		outcome.Message = "the reply payload was too large to store"
	}
	s.entry.reply = outcome
	s.ledger.charge(s.entry, entryOverheadBytes+len(s.entry.key)+len(outcome.Message)+len(outcome.Payload))
}

func (s *transition) forget() {
	l, e := s.ledger, s.entry
	l.charge(e, 0)
	delete(l.entries, e.key)
	l.usages[e.customer].entries--
	l.dropUnusedUsage(s.now, e.customer)
}
