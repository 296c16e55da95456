package query

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// lifeCycle is the query's state chart. It defines in which state a version may be chosen, shards
// may be asked and the answer is returned.
var lifeCycle = chart.Must(chart.Source("query"), chart.Bindings[*Machine]{
	Guards: map[string]func(*Machine) bool{
		"may_replan":     (*Machine).mayReplan,
		"version_known":  func(m *Machine) bool { return m.target != 0 || m.firstVersion != 0 },
		"no_switch_left": (*Machine).noSwitchLeft,
		"switch_pays":    (*Machine).switchPays,
		"complete":       (*Machine).complete,
	},
	Actions: map[string]func(*Machine){
		"take_plan":          (*Machine).takePlan,
		"adopt_version":      (*Machine).adoptVersion,
		"switch_version":     (*Machine).switchVersion,
		"keep_version":       (*Machine).keepVersion,
		"ask_fallbacks":      (*Machine).askFallbacks,
		"ask_due":            (*Machine).askDue,
		"set_wake":           (*Machine).setWake,
		"answer":             func(m *Machine) { m.finish(core.ReasonNone) },
		"answer_at_deadline": func(m *Machine) { m.finish(core.ReasonDeadline) },
		"answer_cancelled":   func(m *Machine) { m.finish(core.ReasonCancelled) },
	},
})

var (
	stateFinished  = lifeCycle.State("finished")
	eventReplanned = lifeCycle.Event("replanned")
	eventDecide    = lifeCycle.Event("decide")
	eventAsk       = lifeCycle.Event("ask")
	eventCheck     = lifeCycle.Event("check")
	eventDeadline  = lifeCycle.Event("deadline")
	eventCancelled = lifeCycle.Event("cancelled")
)

func (m *Machine) fire(event chart.Event) { m.state = lifeCycle.Fire(m.state, event, m) }

// Step processes one event at the given time and returns the resulting actions. The slice is valid
// until the next Step. After Finish, Step returns nothing.
func (m *Machine) Step(now core.Time, event Event) []Action {
	m.actions = m.actions[:0]
	if m.state == stateFinished {
		return nil
	}
	m.now = now
	m.handle(event)
	m.advance()
	return m.actions
}

// handle updates the state by the content of the event.
func (m *Machine) handle(event Event) {
	switch e := event.(type) {
	case Started:
		m.wakeBy(m.options.Deadline)
	case PartArrived:
		m.handlePart(e)
	case PartFailed:
		m.handlePartFailure(e)
	case SendFailed:
		m.endSend(e.Send, failedAttempt{outcome: e.Outcome, reason: e.Reason, retryAfter: e.RetryAfter})
	case Woken:
		m.handleAlarm()
	case Replanned:
		m.offered, m.offeredPrecautions = e.Plan, e.Precautions
		m.fire(eventReplanned)
		m.offered = nil
	case Cancelled:
		m.fire(eventCancelled)
	}
}

// advance fires the chart events that can apply after any input.
func (m *Machine) advance() {
	if m.now >= m.options.Deadline {
		m.fire(eventDeadline)
		return
	}
	m.fire(eventDecide)
	m.fire(eventAsk)
	if m.replanNeeded {
		m.replanNeeded = false
		m.actions = append(m.actions, Replan{})
	}
	m.fire(eventCheck)
}
