package scatter

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// Bounds of the Retry-After time of an early rejection. A caller that returns sooner than one
// answer time meets the same queue; a replica's reachability is re-evaluated every half second.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 500 * time.Millisecond
)

// rejectEarly rejects the request before sending anything when too few answers are expected in time.
//
// This guards against overload when several shards have only slow or overloaded replicas left: every
// query waits for them, mostly until its deadline, then fails, and its sends lengthen the queues for
// the next ones until nearly all queries are late. Rejecting early leaves the capacity to other
// requests, and the caller gets immediately the outcome that it would have got at its deadline.
//
// An answer is in time within the target latency, measured anew for each attempt of a caller. An idle
// replica always counts as in time: only a request can show that it is fast again.
func (m *Machine) rejectEarly(choices []*replica.Choice) bool {
	remaining := m.plan.Deadline - m.now
	if m.plan.TargetLatency > 0 {
		remaining = min(remaining, m.plan.TargetLatency)
	}
	expected := make([]time.Duration, 0, len(choices))
	for _, choice := range choices {
		if choice != nil {
			expected = append(expected, expectedWait(*choice))
		}
	}
	slices.Sort(expected)
	needed := expected[m.plan.MinParts-1]
	if needed <= remaining {
		return false
	}
	for i, choice := range choices {
		if choice != nil && expectedWait(*choice) > remaining {
			m.act(ServiceTooLate{Service: i, Replica: choice.Replica, ExpectedLatency: choice.ExpectedLatency, Unreachable: choice.Unreachable})
		}
	}
	m.result.Rejected = true
	m.result.RetryAfter = min(max(needed-remaining, minRetryAfter), maxRetryAfter)
	return true
}

// expectedWait returns the least time that an answer is expected to take.
func expectedWait(choice replica.Choice) time.Duration {
	switch {
	case choice.Unreachable:
		return time.Hour
	case !choice.Busy:
		return 0
	default:
		return choice.ExpectedLatency
	}
}
