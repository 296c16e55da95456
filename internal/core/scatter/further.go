package scatter

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// refusedRetryDelay is the wait before resending to a replica that refused, when there is no other:
// about one answer time of a fast route.
const refusedRetryDelay = 20 * time.Millisecond

// degradedHedgeAfter is the number of times that a send must be found overdue before its hedge may go
// to a replica that is itself overdue or failing, and may wait for a place there. The first time such a hedge is most likely wasted;
// later it is the only chance left.
const degradedHedgeAfter = 2

// maxHedgeLatencyRatio bounds the expected latency of a hedge, in hedge delays, while extra sends are
// scarce. When all replicas are slow, hedges take capacity from first sends and are late themselves.
// Applied always, the bound would give more incomplete answers under normal load, since the latency
// estimate of a rarely used replica is often too high.
const maxHedgeLatencyRatio = 2

// afterFailure sends to another replica, or marks the service as failed when there is none and no
// send to it is in flight.
func (m *Machine) afterFailure(i int, verdict Verdict) {
	s := &m.services[i]
	if verdict == Failed && !m.plan.Idempotent {
		m.withhold(i, Retry, NotIdempotent)
		s.failed = true
		return
	}
	if m.oneAtATime() {
		s.held = s.inFlight == 0
		return
	}
	if m.shardSuspect(i) && (s.inFlight > 0 || s.brokenAlone) {
		m.withhold(i, Retry, MayEndReplicas)
		s.failed = s.inFlight == 0
		return
	}
	if m.sendAnother(i, m.causeAfter(i, verdict)) {
		return
	}
	if s.inFlight > 0 {
		if verdict == NoPlace {
			s.hedgeAgain(m.now)
		}
		return
	}
	if (verdict == Refused || verdict == NoPlace) && s.sent <= m.plan.MaxReplicas && m.now+refusedRetryDelay < m.plan.Deadline {
		s.retryAt = m.now + refusedRetryDelay
		return
	}
	s.failed = true
}

// hedgeAgain makes the replicas that had no place for a hedge eligible again, soon.
func (s *service) hedgeAgain(now core.Time) {
	s.tried = slices.DeleteFunc(s.tried, func(id string) bool { return slices.Contains(s.full, id) })
	s.full = nil
	if s.hedgeAt > 0 {
		s.hedgeAt = min(s.hedgeAt, now+refusedRetryDelay)
	}
}

// causeAfter returns the cause of the send that follows one with the verdict. After a send without a place nothing has
// arrived yet, so that the next one is still the first.
func (m *Machine) causeAfter(i int, verdict Verdict) Cause {
	if verdict == NoPlace && m.services[i].sent == 0 {
		return First
	}
	return Retry
}

// sendAnother sends to another replica if the plan and the budget for extra sends allow it, and
// reports whether it did.
func (m *Machine) sendAnother(i int, cause Cause) bool {
	s := &m.services[i]
	if s.sent >= m.plan.MaxReplicas {
		return m.withhold(i, cause, AttemptsUsed)
	}
	choice, ok := m.chooser.Pick(m.plan.Services[i], s.tried, m.now)
	if !ok {
		return m.withhold(i, cause, NoOtherReplica)
	}
	if cause == Hedge && choice.ExpectedLatency > maxHedgeLatencyRatio*m.plan.HedgeAfter && m.chooser.ExtraScarce(m.plan.Services[i], m.now) {
		return m.withhold(i, cause, OtherSlow)
	}
	if cause == Hedge && choice.Degraded && s.overdueCount < degradedHedgeAfter {
		return m.withhold(i, cause, OtherDegraded)
	}
	if !m.spendBudget(i) {
		return m.withhold(i, cause, BudgetSpent)
	}
	m.send(i, choice, cause)
	return true
}

// withhold reports why a send is not made. It always returns false.
func (m *Machine) withhold(i int, cause Cause, why Reason) bool {
	m.act(Withheld{Service: i, Cause: cause, Why: why})
	return false
}

// spendBudget takes an extra send out of the budget, unless no send of the service has arrived yet.
func (m *Machine) spendBudget(i int) bool {
	if m.services[i].sent == 0 {
		return true
	}
	if m.chooser.TakeExtra(m.plan.Services[i], m.now) {
		return true
	}
	m.result.BudgetSpent = true
	return false
}

// retryRefused resends to a replica that refused, after all replicas were tried.
func (m *Machine) retryRefused(i int) {
	if m.oneAtATime() {
		m.services[i].held = true
		return
	}
	choice, ok := m.chooser.Pick(m.plan.Services[i], nil, m.now)
	if !ok || !m.spendBudget(i) {
		why := BudgetSpent
		if !ok {
			why = NoOtherReplica
		}
		m.withhold(i, Retry, why)
		m.services[i].failed = true
		return
	}
	m.send(i, choice, Retry)
	m.markLast()
}

// markLast marks the send just made as the last resort of its service.
func (m *Machine) markLast() {
	if last, ok := m.actions[len(m.actions)-1].(Send); ok {
		last.Last = true
		m.actions[len(m.actions)-1] = last
	}
}

// overdue marks the replicas with sends in flight for the service as overdue and sends a hedge. If no
// hedge is possible now, it is reconsidered after another hedge delay.
func (m *Machine) overdue(i int) {
	s := &m.services[i]
	for id, send := range m.sends {
		if send.inFlight && send.service == i {
			m.act(SendOverdue{Send: id})
		}
	}
	s.hedgeAt = m.now + m.plan.HedgeAfter
	s.overdueCount++
	if !m.plan.Idempotent {
		m.withhold(i, Hedge, NotIdempotent)
		return
	}
	if m.oneAtATime() || m.mayEndAll() || m.shardSuspect(i) {
		m.withhold(i, Hedge, MayEndReplicas)
		return
	}
	m.sendAnother(i, Hedge)
}
