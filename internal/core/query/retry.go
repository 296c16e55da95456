package query

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// failedAttempt describes how an attempt of a shard ended without a part.
type failedAttempt struct {
	outcome    core.Outcome
	reason     core.Reason
	retryAfter time.Duration
	// closedConnection is set if a replica closed the connection instead of answering.
	closedConnection bool
}

// handleFailure records a failed attempt and schedules the next one, or settles the shard.
func (m *Machine) handleFailure(index int, attempt failedAttempt) {
	need := &m.needs[index]
	need.failure = failure{attempt.reason, m.target}
	if attempt.closedConnection {
		m.recordClosedConnection(index)
	}
	// Other shards of the service may be waiting for the end of this attempt.
	m.dueChanged = m.dueChanged || m.mayHoldBackShards(m.plan.Needs[index].Service)
	if attempt.reason == core.ReasonLayout || attempt.reason == core.ReasonNotOwner {
		m.replanNeeded = m.replanNeeded || m.replans < m.options.MaxReplans
	}
	if need.openSends > 0 || need.settled || m.hasTarget(index) {
		return
	}
	pause := max(attempt.retryAfter, m.options.RetryPause<<need.reroutes)
	if m.now+pause >= m.options.Deadline || need.trialFailed || !m.takeRetry(index, attempt) {
		m.settle(index, attempt.reason)
		return
	}
	need.retryAt = m.now + pause
	m.wakeBy(need.retryAt)
}

// maxVersionGone is the number of replies that the version is gone after which a shard is not asked
// again. A second attempt is made because another replica may serve the version while an index is being
// rolled out.
const maxVersionGone = 2

// takeRetry counts a failed attempt against its limit and the budget, and reports whether the shard
// is asked again. An attempt that reached no owner put no load on an upstream and is repeated
// without a token, up to its limit. An attempt that may have run, or was refused because of
// overload, is repeated only from the budget: otherwise a failing fleet would receive several times
// its load.
func (m *Machine) takeRetry(index int, attempt failedAttempt) bool {
	need := &m.needs[index]
	reason, notRun := attempt.reason, attempt.outcome == core.NotRun
	switch {
	case reason == core.ReasonDeadline, reason == core.ReasonSetAside:
		return false
	case reason == core.ReasonVersionGone && notRun:
		need.versionGone++
		return need.versionGone < maxVersionGone
	case notRun && notRouted(reason):
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
	return notRun && reason != core.ReasonOverloaded || m.takeExtra(index)
}

// notRouted reports whether the reason means that no owner accepted the request.
func notRouted(reason core.Reason) bool {
	return reason == core.ReasonNotOwner || reason == core.ReasonPeerUnreached || reason == core.ReasonLayout
}

// nextRank returns the position in the owner order to ask next. After "not owner" the same position
// is asked again, by the newest view. From the second time on the next node is asked, in case this
// node's own view lags.
func nextRank(rank int, reason core.Reason, reroutes int) int {
	if reason == core.ReasonPeerUnreached || reason == core.ReasonNotOwner && reroutes > 1 {
		return rank + 1
	}
	return rank
}

func (m *Machine) takeExtra(index int) bool {
	budget := m.options.Budget
	return budget == nil || budget.TakeExtra(m.serviceOf(index).Name)
}

func (m *Machine) serviceOf(index int) *ServicePlan {
	return &m.plan.Services[m.plan.Needs[index].Service]
}
