package scatter

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// unreachableWait is the expected wait for a replica that cannot be connected to: longer than any caller waits.
const unreachableWait = time.Hour

// rejectEarly rejects the request before sending anything unless the admission admits it. It reports the services
// whose answers are expected after the request's target, or after its deadline if it has none.
//
// An idle replica always counts as in time: only a request can show that it is fast again.
func (m *Machine) rejectEarly(choices []*replica.Choice) bool {
	waits := make([]time.Duration, 0, len(choices))
	for _, choice := range choices {
		if choice != nil {
			waits = append(waits, expectedWait(*choice))
		}
	}
	slices.Sort(waits)
	request := m.plan.Admission
	request.Deadline = m.plan.Deadline
	m.result.Admission = m.chooser.Admit(request, placement.Forecast{Waits: waits, MinParts: m.plan.MinParts}, m.now)
	if m.result.Admission.Verdict == placement.Send {
		return false
	}
	latest := request.Deadline
	if request.TargetAt > 0 {
		latest = min(latest, request.TargetAt)
	}
	for i, choice := range choices {
		if choice != nil && m.now+expectedWait(*choice) > latest {
			m.act(ServiceTooLate{Service: i, Replica: choice.Replica, ExpectedLatency: choice.ExpectedLatency, Unreachable: choice.Unreachable})
		}
	}
	m.result.Rejected = true
	return true
}

// expectedWait returns the least time that an answer is expected to take.
func expectedWait(choice replica.Choice) time.Duration {
	switch {
	case choice.Unreachable:
		return unreachableWait
	case !choice.Busy:
		return 0
	default:
		return choice.ExpectedLatency
	}
}
