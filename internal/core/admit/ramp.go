package admit

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/concurrency"
)

const coldPatience = concurrency.ColdPatience

// isHeldByUnanswered reports whether requests in flight keep a cold replica from getting another one below its slots.
func (r *replica) isHeldByUnanswered() bool {
	return r.state == stateCold && r.IsHeldByUnanswered(r.inFlight)
}

// rampPastUnanswered raises the limits of cold replicas that requests wait for in vain.
func (s *Shard) rampPastUnanswered(now core.Time) {
	if s.Waiting() == 0 {
		return
	}
	for _, r := range s.replicas {
		if r.isHeldByUnanswered() {
			r.RampPastUnanswered(r.inFlight, now-r.lastSentAt)
		}
	}
}
