package admit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// coldPatience is how long requests wait behind unanswered ones at a cold replica before it gets one more.
const coldPatience = time.Second

// The limit of a cold replica grows with its answers. A request that is never answered, as after the loss of a reply, would
// hold its only place until that request's deadline, and a submit behind it would be refused as not run although the replica
// is idle. One more request each coldPatience shows whether the replica answers.

// isHeldByUnanswered reports whether requests in flight keep a cold replica from getting another one below its slots.
func (r *replica) isHeldByUnanswered() bool {
	return r.state == stateCold && r.inFlight >= r.slots() && r.slots() < r.configuredSlots
}

// rampPastUnanswered raises the limits of cold replicas that requests wait for in vain.
func (s *Shard) rampPastUnanswered(now core.Time) {
	if s.Waiting() == 0 {
		return
	}
	for _, r := range s.replicas {
		if r.isHeldByUnanswered() && now-r.lastSentAt >= coldPatience {
			r.limit = float64(r.slots() + 1)
		}
	}
}
