package query

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// failedTry says how a try of a shard ended without a part.
type failedTry struct {
	outcome    core.Outcome
	reason     core.Reason
	retryAfter time.Duration
	// broken is set when a replica closed the connection instead of answering.
	broken bool
}

// failed records a failed try and plans the next one, or settles the shard.
func (m *Machine) failed(index int, try failedTry) {
	need := &m.needs[index]
	need.failure = failure{try.reason, m.target}
	if try.broken {
		m.noteBroken(index)
	}
	// Other shards of the service may be waiting for this one to end.
	m.dueChanged = m.dueChanged || m.shardsMayWait(m.plan.Needs[index].Service)
	if try.reason == core.ReasonLayout || try.reason == core.ReasonNotOwner {
		m.replan = m.replan || m.replans < m.options.MaxReplans
	}
	if need.open > 0 || need.settled || m.hasTarget(index) {
		return
	}
	pause := max(try.retryAfter, m.options.RetryPause<<need.reroutes)
	if m.now+pause >= m.options.Deadline || need.gaveUp || !m.takeRetry(index, try) {
		m.settle(index, try.reason)
		return
	}
	need.retryAt = m.now + pause
	m.wakeBy(need.retryAt)
}

// maxGone is how often a shard may say that it lacks the version: another
// replica of it may have it, while an index is being rolled out.
const maxGone = 2

// takeRetry counts a failed try against its bound and the budget and reports
// whether the shard is asked again. A try that reached nobody put no load on an
// upstream and is repeated freely, up to its bound. Anything that may have run,
// and a refusal for load, is repeated only from the budget: otherwise a sick
// fleet would be asked several times over.
func (m *Machine) takeRetry(index int, try failedTry) bool {
	need := &m.needs[index]
	reason, notRun := try.reason, try.outcome == core.NotRun
	switch {
	case reason == core.ReasonDeadline:
		return false
	case reason == core.ReasonVersionGone && notRun:
		need.gone++
		return need.gone < maxGone
	case notRun && unrouted(reason):
		need.reroutes++
		need.rank = nextRank(need.rank, reason, need.reroutes)
		return need.reroutes <= m.options.MaxReroutes
	}
	if reason == core.ReasonPeerLost {
		need.rank++
	}
	need.failures++
	if need.failures >= m.options.MaxTries {
		return false
	}
	return notRun && reason != core.ReasonOverloaded || m.extra(index)
}

// unrouted reports whether the reason says that no owner took the request.
func unrouted(reason core.Reason) bool {
	return reason == core.ReasonNotOwner || reason == core.ReasonPeerUnreached || reason == core.ReasonLayout
}

// nextRank is the place to ask next. "Not owner" asks the same place again, by
// the newest view; only from the second time on the next node is asked, in case
// this node's own view lags.
func nextRank(rank int, reason core.Reason, reroutes int) int {
	if reason == core.ReasonPeerUnreached || reason == core.ReasonNotOwner && reroutes > 1 {
		return rank + 1
	}
	return rank
}

func (m *Machine) extra(index int) bool {
	budget := m.options.Budget
	return budget == nil || budget.TryExtra(m.service(index).Name)
}

func (m *Machine) service(index int) *ServicePlan {
	return &m.plan.Services[m.plan.Needs[index].Service]
}
