package scatter

import "time"

// refusedPause is the wait before a replica that had no room is asked again when
// there is no other: about one answer time of a fast route.
const refusedPause = 20 * time.Millisecond

// doubtfulAfter is how often a send must be found late before the hedge may go to a
// replica that is itself overdue or failing: at first the hedge would most likely
// be wasted, later it is the only chance left.
const doubtfulAfter = 2

// hedgeReach is how many hedge times another replica may be expected to take where extra arrivals
// are scarce. When all replicas are slow, hedges take the room of first sends and come too late
// themselves. Held to it always, calm days would give more incomplete answers: what is expected of a
// replica that is asked seldom is often too much.
const hedgeReach = 2

// afterFailure tries another replica, or gives the service up when there is none
// and nothing of it is on its way.
func (m *Machine) afterFailure(i int, verdict Verdict) {
	s := &m.services[i]
	if verdict == Failed && !m.plan.Idempotent {
		m.withhold(i, Retry, NotIdempotent)
		s.failed = true
		return
	}
	if m.oneAtATime() {
		s.held = s.live == 0
		return
	}
	if m.shardSuspect(i) && (s.live > 0 || s.gaveUp) {
		m.withhold(i, Retry, MayEndReplicas)
		s.failed = s.live == 0
		return
	}
	if m.again(i, Retry) || s.live > 0 {
		return
	}
	if verdict == Refused && s.sent <= m.plan.MaxReplicas && m.now+refusedPause < m.plan.Deadline {
		s.retryAt = m.now + refusedPause
		return
	}
	s.failed = true
}

// again sends to a further replica where the plan and the bound on extra arrivals
// allow it.
func (m *Machine) again(i int, cause Cause) bool {
	s := &m.services[i]
	if s.sent >= m.plan.MaxReplicas {
		return m.withhold(i, cause, AttemptsUsed)
	}
	choice, ok := m.chooser.Pick(m.plan.Services[i], s.tried, m.now)
	if !ok {
		return m.withhold(i, cause, NoOtherReplica)
	}
	if cause == Hedge && choice.ExpectedLatency > hedgeReach*m.plan.HedgeAfter && m.chooser.ExtraScarce(m.plan.Services[i], m.now) {
		return m.withhold(i, cause, OtherSlow)
	}
	if cause == Hedge && choice.Degraded && s.lates < doubtfulAfter {
		return m.withhold(i, cause, OtherDegraded)
	}
	if !m.spend(i) {
		return m.withhold(i, cause, BudgetSpent)
	}
	m.send(i, choice, cause)
	return true
}

// withhold tells why a further send is not made; it reports false.
func (m *Machine) withhold(i int, cause Cause, why Reason) bool {
	m.act(Withheld{Service: i, Cause: cause, Why: why})
	return false
}

// spend takes an extra arrival out of the bound, unless nothing has arrived yet.
func (m *Machine) spend(i int) bool {
	if m.services[i].sent == 0 {
		return true
	}
	if m.chooser.TakeExtra(m.plan.Services[i], m.now) {
		return true
	}
	m.result.BudgetSpent = true
	return false
}

// retryRefused asks a replica again that had no room; all of them were tried.
func (m *Machine) retryRefused(i int) {
	if m.oneAtATime() {
		m.services[i].held = true
		return
	}
	choice, ok := m.chooser.Pick(m.plan.Services[i], nil, m.now)
	if !ok || !m.spend(i) {
		why := BudgetSpent
		if !ok {
			why = NoOtherReplica
		}
		m.withhold(i, Retry, why)
		m.services[i].failed = true
		return
	}
	m.send(i, choice, Retry)
}

// late marks the replicas that keep a service waiting and hedges. Where the hedge
// is not possible now, it is looked at again after the same time.
func (m *Machine) late(i int) {
	s := &m.services[i]
	for id, one := range m.sends {
		if one.live && one.service == i {
			m.act(SendOverdue{Send: id})
		}
	}
	s.hedgeAt = m.now + m.plan.HedgeAfter
	s.lates++
	if !m.plan.Idempotent {
		m.withhold(i, Hedge, NotIdempotent)
		return
	}
	if m.oneAtATime() || m.mayEndAll() || m.shardSuspect(i) {
		m.withhold(i, Hedge, MayEndReplicas)
		return
	}
	m.again(i, Hedge)
}
