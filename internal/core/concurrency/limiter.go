// Package concurrency learns how many requests a replica serves at the same time, from the latency of its answers and
// from its refusals. Each node learns for itself, within the part of the replica that it may use.
package concurrency

import (
	"math"
	"time"
)

// Parameters of the adaptive limit.
const (
	// limitWindow is the number of answers per adjustment of the limit.
	limitWindow = 32
	// latencyTolerance is the ratio of a window's mean latency to the baseline above which the limit is
	// lowered. The mean of 32 exponentially distributed service times has a standard deviation of 18%.
	latencyTolerance = 1.5
	baselineGain     = 0.125
	minGradient      = 0.5
	// shedFactor is the multiplicative decrease after a refusal by an overloaded upstream.
	shedFactor = 0.7
	// shedsUntilLowered is the number of refusals within a window, at or below the configured slots, after
	// which the limit is lowered.
	shedsUntilLowered = 2
	// refusedFactor is the decrease after a refused connection.
	refusedFactor = 0.5
	// ceilingWindows is the number of windows during which a refused concurrency is not tried again. With
	// the ceiling at or above the configured slots, each refusal after it has expired doubles its duration,
	// up to maxCeilingWindows: probing above the slots of an upstream then costs about 1 request in 2,000.
	// Below the slots it is not doubled, so that a replica that was loaded by other nodes for a while soon
	// returns to its slots.
	ceilingWindows    = 8
	maxCeilingWindows = 64
	// rampStep is the increase of the limit of a cold replica per answer.
	rampStep = 0.25
)

// Limiter is the adaptive concurrency limit of a replica, between 1 and maxLimit.
//
// After every limitWindow answers, with windowMean as the mean latency of the window:
//
//	gradient = clamp(latencyTolerance x baseline / windowMean, 0.5, 1)
//	gradient < 1:                    limit = limit x gradient
//	else, if the limit was reached:  limit = limit + 1, up to the ceiling
//
// The baseline follows the windows in which at most the configured slots were in flight. Above the
// slots it may only fall: if it rose there as well, it would take the queueing caused by the limit
// itself for the normal latency, and the limit would grow without bound.
//
// The gradient is needed in addition to refusals because an upstream that queues instead of shedding
// shows overload by latency only. The mean is used instead of a percentile because it needs only two
// words per replica.
//
// A refusal by an overloaded upstream sets limit = 0.7 x in flight, and one less than the number in
// flight becomes the ceiling for a while. At or below the configured slots a single refusal in a
// window is ignored: an upstream frees its slot shortly after it has sent its answer, or after it has
// noticed a cancellation, and sheds requests that arrive before that. Lowering the limit for it would
// leave the replica at half its slots for hundreds of answers.
type Limiter struct {
	limit           float64
	configuredSlots int
	maxLimit        int
	baseline        float64

	windowAnswers    int
	windowLatencySum float64
	windowPeak       int
	// windowSheds is the number of refusals in the window at or below the configured slots.
	windowSheds int

	ceiling              int
	ceilingWindowsLeft   int
	ceilingPeriodWindows int
}

// Slots returns the limit as a whole number of requests.
func (l *Limiter) Slots() int { return max(1, min(int(l.limit), l.maxLimit)) }

// Limit returns the limit with its fraction.
func (l *Limiter) Limit() float64 { return l.limit }

// ConfiguredSlots and MaxLimit return the bounds that SetBounds set.
func (l *Limiter) ConfiguredSlots() int { return l.configuredSlots }

// MaxLimit returns the highest value of the limit.
func (l *Limiter) MaxLimit() int { return l.maxLimit }

// SetBounds sets the configured slots and this node's connection share.
func (l *Limiter) SetBounds(configuredSlots, maxLimit int) {
	l.configuredSlots, l.maxLimit = min(configuredSlots, maxLimit), maxLimit
	l.limit = min(l.limit, float64(max(1, maxLimit)))
}

// RecordSent records the number of requests in flight after sending one.
func (l *Limiter) RecordSent(inFlight int) { l.windowPeak = max(l.windowPeak, inFlight) }

// RecordAnswer records the latency of an answer and adjusts the limit at the end of a window.
func (l *Limiter) RecordAnswer(latency time.Duration) {
	l.windowAnswers++
	l.windowLatencySum += float64(latency)
	if l.windowAnswers >= limitWindow {
		l.adjust(l.windowLatencySum / float64(l.windowAnswers))
		l.windowAnswers, l.windowLatencySum, l.windowPeak, l.windowSheds = 0, 0, 0, 0
	}
}

func (l *Limiter) adjust(windowMean float64) {
	switch {
	case l.baseline == 0:
		l.baseline = windowMean
	case l.windowPeak <= l.configuredSlots || windowMean < l.baseline:
		l.baseline += baselineGain * (windowMean - l.baseline)
	}
	if l.ceilingWindowsLeft > 0 {
		l.ceilingWindowsLeft--
	}
	gradient := max(minGradient, latencyTolerance*l.baseline/math.Max(windowMean, 1))
	switch {
	case gradient < 1:
		l.limit = max(1, l.limit*gradient)
	case l.windowPeak >= l.Slots():
		l.limit = min(l.limit+1, float64(l.growthLimit()))
	}
}

// growthLimit returns the highest value that the limit may grow to.
func (l *Limiter) growthLimit() int {
	if l.ceilingWindowsLeft > 0 {
		return max(1, min(l.ceiling, l.maxLimit))
	}
	return max(1, l.maxLimit)
}

// RecordShed handles a refusal by an overloaded upstream, with the number of requests in flight at the
// time of sending. It reports whether the limit was lowered.
func (l *Limiter) RecordShed(inFlight int) bool {
	if inFlight <= l.configuredSlots {
		l.windowSheds++
	}
	if inFlight <= l.configuredSlots && l.windowSheds < shedsUntilLowered {
		return false
	}
	l.lowerAfterRefusal(inFlight, shedFactor)
	return true
}

// RecordConnectionRefused handles a refused connection, with the number of requests in flight at the time.
func (l *Limiter) RecordConnectionRefused(inFlight int) {
	l.lowerAfterRefusal(inFlight, refusedFactor)
}

// lowerAfterRefusal lowers the limit after a refusal with the given number of requests in flight.
func (l *Limiter) lowerAfterRefusal(inFlight int, factor float64) {
	l.limit = max(1, min(l.limit, factor*float64(inFlight)))
	l.ceiling = max(1, inFlight-1)
	switch {
	case l.ceiling < l.configuredSlots:
		l.ceilingPeriodWindows = ceilingWindows
	case l.ceilingWindowsLeft == 0:
		l.ceilingPeriodWindows = min(max(2*l.ceilingPeriodWindows, ceilingWindows), maxCeilingWindows)
	}
	l.ceilingWindowsLeft = l.ceilingPeriodWindows
}

// RampUp raises the limit of a cold replica by one step.
func (l *Limiter) RampUp() { l.limit = min(l.limit+rampStep, float64(max(1, l.configuredSlots))) }

// Ramped reports whether the next step completes the ramp.
func (l *Limiter) Ramped() bool { return l.limit+rampStep >= float64(l.configuredSlots) }

// RestartRamp resets the Limiter to the start of the ramp.
func (l *Limiter) RestartRamp() {
	*l = Limiter{limit: 1, configuredSlots: l.configuredSlots, maxLimit: l.maxLimit}
}
