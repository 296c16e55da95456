package scatter

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// Bounds of the time to come back that goes with an early rejection: less than one answer
// time brings the caller into the same queue, and whether a replica can be reached is
// known anew after half a second.
const (
	leastRetryAfter = 50 * time.Millisecond
	mostRetryAfter  = 500 * time.Millisecond
)

// rejectEarly rejects the request before anything is sent when too few answers can come in time.
//
// The failure: of several shards only a slow or overloaded replica is left. Every question waits for
// them, most to its deadline, and then fails; and each fills the queues that the next one waits
// in, so that with too little room for all nearly everyone is late. It holds since what is not
// sent leaves its room to the others, and the caller learns at once what it would have learnt at its
// deadline.
//
// In time is within the aim, counted anew for each try of a caller. A replica with nothing in
// work always counts: only a request can tell that it is fast again.
func (m *Machine) rejectEarly(choices []*replica.Choice) bool {
	left := m.plan.Deadline - m.now
	if m.plan.TargetLatency > 0 {
		left = min(left, m.plan.TargetLatency)
	}
	expected := make([]time.Duration, 0, len(choices))
	for _, choice := range choices {
		if choice != nil {
			expected = append(expected, expectedWait(*choice))
		}
	}
	slices.Sort(expected)
	needed := expected[m.plan.MinParts-1]
	if needed <= left {
		return false
	}
	for i, choice := range choices {
		if choice != nil && expectedWait(*choice) > left {
			m.act(ServiceTooLate{Service: i, Replica: choice.Replica, ExpectedLatency: choice.ExpectedLatency, Unreachable: choice.Unreachable})
		}
	}
	m.result.Rejected = true
	m.result.RetryAfter = min(max(needed-left, leastRetryAfter), mostRetryAfter)
	return true
}

// expectedWait is how long an answer is waited for at least.
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
