// Package comeback decides when refused callers return, so that they do not return in the same moment, and recognises
// those that do as they were told.
//
// The state is one node's own. A caller that returns to another node is recognised there by the time that it has
// spent already; no node holds anything for another one.
package comeback

import (
	"math"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// minRetryAfter is the least time that a caller is told. It is long enough to be recognised by the caller's
	// remaining time at a node that did not refuse it.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds the time where a patient caller would honour more.
	maxRetryAfter = time.Second
	// minWaited is the time spent from which a caller counts as one that waited. It is below minRetryAfter by the
	// difference between the transit times of two attempts.
	minWaited = 40 * time.Millisecond
	// honouredDivisor is the fraction, 1/n, of its remaining time that a caller waits at most.
	honouredDivisor = 3
	// spacing separates the returns of callers that are refused in one moment.
	spacing = 15 * time.Millisecond
	// shortageGap is the time without a request that lacks room after which a shortage has ended.
	shortageGap = 500 * time.Millisecond
	// priorities is the number of priorities with a schedule of their own; less urgent ones share the last.
	priorities = 4
)

// HasWaited reports whether a request that spent the time in this tier before has waited for a time that it was told.
func HasWaited(spent time.Duration) bool { return spent >= minWaited }

// Refusal is a refused request that asks when to return.
type Refusal struct {
	// FreeAfter is the expected time until there is room.
	FreeAfter time.Duration
	Priority  int
	// Waited is set when the request was refused before and returned when it was told to.
	Waited bool
	// Remaining is how long the caller will wait.
	Remaining time.Duration
}

// Schedule spreads the returns of refused callers over time. Its zero value is ready to use. It is not safe for
// concurrent use.
type Schedule struct {
	// lastReturn is the latest time given to callers of each priority, lastWaited that given to callers who had waited.
	lastReturn [priorities]core.Time
	lastWaited core.Time
	// shortSince is when the shortage began, shortUntil when it ends unless it is recorded again.
	shortSince, shortUntil core.Time
	// spreads counts the times drawn from the even sequence.
	spreads uint64
}

// RecordShortage records that a request lacks room.
func (s *Schedule) RecordShortage(now core.Time) {
	if !s.IsShort(now) {
		s.shortSince = now
	}
	s.shortUntil = now + shortageGap
}

// IsShort reports whether room is short.
func (s *Schedule) IsShort(now core.Time) bool { return now < s.shortUntil }

// shortFor returns how long room has been short.
func (s *Schedule) shortFor(now core.Time) time.Duration {
	if !s.IsShort(now) {
		return 0
	}
	return now - s.shortSince
}

// RetryAfter returns the time to tell a refused caller. A shortage is expected to last as long again as it has lasted.
// The more urgent are told to return before the less urgent, and those who waited before at the earliest time of all.
// Within one priority, returns are apart by spacing. Callers who do not wait until their turn would come are spread
// evenly over the second half of what they honour.
func (s *Schedule) RetryAfter(now core.Time, refusal Refusal) time.Duration {
	longest := honoured(refusal.Remaining)
	earliest := now + max(refusal.FreeAfter, minRetryAfter)
	last := &s.lastWaited
	if !refusal.Waited {
		rank := min(max(refusal.Priority, 0), priorities-1)
		last = &s.lastReturn[rank]
		earliest = max(earliest, now+s.shortFor(now), slices.Max(s.lastReturn[:rank+1])+spacing)
	}
	at := max(earliest, *last+spacing)
	if at > now+longest {
		return s.spread(longest)
	}
	*last = at
	return at - now
}

// honoured returns the longest time that a caller with the remaining time waits.
func honoured(remaining time.Duration) time.Duration {
	return min(max(remaining, 0)/honouredDivisor, maxRetryAfter)
}

// spread returns the next of a sequence of times that is even, over any stretch of it, between half of the longest
// time and all of it.
func (s *Schedule) spread(longest time.Duration) time.Duration {
	s.spreads++
	_, fraction := math.Modf(float64(s.spreads) * math.Phi)
	return longest/2 + time.Duration(fraction*float64(longest/2))
}

// Spread returns the time to tell a caller that is refused for a reason other than load: between half of the usual
// time and all of it, within what the caller honours.
func (s *Schedule) Spread(usual, remaining time.Duration) time.Duration {
	return s.spread(min(usual, honoured(remaining)))
}

// Expected estimates how many callers were told to return after now.
func (s *Schedule) Expected(now core.Time) int {
	count := 0
	for _, last := range s.lastReturn {
		if last > now {
			count += 1 + int((last-now)/spacing)
		}
	}
	return count
}
