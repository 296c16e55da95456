package admit

import (
	"math"
	"time"
)

// The rule of the adaptive limit.
const (
	// limitWindow is the number of answers that one step rests on.
	limitWindow = 32
	// tolerance is how far the window's mean latency may exceed the baseline
	// before the limit falls: 32 exponential service times spread by 18%.
	tolerance    = 1.5
	baselineGain = 0.125
	steepest     = 0.5
	// shedFactor is the multiplicative decrease at an upstream's own refusal.
	shedFactor = 0.7
	// shedsToLower is how many refusals at or below the text's slots it takes
	// within one window before the limit falls.
	shedsToLower = 2
	// refusedFactor is the decrease at a refused connection.
	refusedFactor = 0.5
	// ceilingWindows is how many windows a concurrency that was refused is not
	// tried again. From the text's slots on, each further refusal doubles this up
	// to maxCeilingWindows: probing above an upstream's slots then costs about 1
	// request in 2,000. Below them it does not double, so that a replica which
	// was loaded by others for a while gets back to its slots soon.
	ceilingWindows    = 8
	maxCeilingWindows = 64
	// rampStep is how much each answer of a cold replica adds.
	rampStep = 0.25
)

// limiter is a replica's adaptive concurrency limit, between 1 and max.
//
// Every limitWindow answers, with short the window's mean latency:
//
//	gradient = clamp(tolerance x baseline / short, 0.5, 1)
//	gradient < 1:                    limit = limit x gradient
//	else, if the limit was reached:  limit = limit + 1, up to the ceiling
//
// The baseline follows the windows in which no more than the text's slots were
// in flight. Above the slots it may only fall: were it to follow there as well,
// it would take the queue that the limit itself causes for the normal latency
// and the limit would climb for ever.
//
// The gradient is used, not losses alone, since an upstream that queues instead
// of shedding shows too much work by latency only. The mean is taken, not a
// percentile: it needs two words a replica.
//
// An upstream's refusal for load sets limit = 0.7 x in flight, and one less than
// was in flight becomes the ceiling for a while. At or below the text's slots a
// single refusal in a window changes nothing: an upstream frees its slot a moment
// after its answer has left, or after a cancelled request has noticed, and sheds
// what comes in between. A limit that fell for it would serve at half the slots
// for hundreds of answers.
type limiter struct {
	limit    float64
	start    int
	max      int
	baseline float64

	count int
	sum   float64
	peak  int
	// sheds counts the window's refusals at or below the text's slots.
	sheds int

	ceiling     int
	ceilingLeft int
	ceilingWait int
}

// slots is the limit in whole requests.
func (l *limiter) slots() int { return max(1, min(int(l.limit), l.max)) }

// bounds takes over the text's slots and this node's connection share.
func (l *limiter) bounds(start, limit int) {
	l.start, l.max = min(start, limit), limit
	l.limit = min(l.limit, float64(max(1, limit)))
}

// began notes how much is in flight with a new request.
func (l *limiter) began(inFlight int) { l.peak = max(l.peak, inFlight) }

// answered takes an answer's latency and ends the window when it is full.
func (l *limiter) answered(latency time.Duration) {
	l.count++
	l.sum += float64(latency)
	if l.count >= limitWindow {
		l.adjust(l.sum / float64(l.count))
		l.count, l.sum, l.peak, l.sheds = 0, 0, 0, 0
	}
}

func (l *limiter) adjust(short float64) {
	switch {
	case l.baseline == 0:
		l.baseline = short
	case l.peak <= l.start || short < l.baseline:
		l.baseline += baselineGain * (short - l.baseline)
	}
	if l.ceilingLeft > 0 {
		l.ceilingLeft--
	}
	gradient := max(steepest, tolerance*l.baseline/math.Max(short, 1))
	switch {
	case gradient < 1:
		l.limit = max(1, l.limit*gradient)
	case l.peak >= l.slots():
		l.limit = min(l.limit+1, float64(l.top()))
	}
}

// top is the most that the limit may grow to.
func (l *limiter) top() int {
	if l.ceilingLeft > 0 {
		return max(1, min(l.ceiling, l.max))
	}
	return max(1, l.max)
}

// shed takes an upstream's refusal for load with the given number in flight and
// reports whether the limit was lowered for it.
func (l *limiter) shed(inFlight int) bool {
	if inFlight <= l.start {
		l.sheds++
	}
	if inFlight <= l.start && l.sheds < shedsToLower {
		return false
	}
	l.lower(inFlight, shedFactor)
	return true
}

// lower cuts the limit after a refusal with the given number in flight.
func (l *limiter) lower(inFlight int, factor float64) {
	l.limit = max(1, min(l.limit, factor*float64(inFlight)))
	l.ceiling = max(1, inFlight-1)
	switch {
	case l.ceiling < l.start:
		l.ceilingWait = ceilingWindows
	case l.ceilingLeft == 0:
		l.ceilingWait = min(max(2*l.ceilingWait, ceilingWindows), maxCeilingWindows)
	}
	l.ceilingLeft = l.ceilingWait
}

// ramp is one step of a cold replica; ramped reports its end.
func (l *limiter) ramp() { l.limit = min(l.limit+rampStep, float64(max(1, l.start))) }

func (l *limiter) ramped() bool { return l.limit+rampStep >= float64(l.start) }

// restart begins the ramp again and forgets what held before.
func (l *limiter) restart() {
	*l = limiter{limit: 1, start: l.start, max: l.max}
}
