package concurrency

import "time"

// ColdPatience is how long requests wait behind unanswered ones at a cold replica before it gets one more.
const ColdPatience = time.Second

// The limit of a cold replica grows with its answers. A request that is never answered, as after the loss of a reply, would
// hold its only place until that request's deadline, and a submit behind it would be refused as not run although the replica
// is idle. One more request each ColdPatience shows whether the replica answers.

// IsHeldByUnanswered reports whether requests in flight keep a cold replica from getting another one below its slots.
func (l *Limiter) IsHeldByUnanswered(inFlight int) bool {
	return inFlight >= l.Slots() && l.Slots() < l.configuredSlots
}

// RampPastUnanswered gives one more place to a cold replica that is held by unanswered requests, the last of which was sent
// the given time ago.
func (l *Limiter) RampPastUnanswered(inFlight int, sinceLastSent time.Duration) {
	if l.IsHeldByUnanswered(inFlight) && sinceLastSent >= ColdPatience {
		l.limit = float64(l.Slots() + 1)
	}
}
