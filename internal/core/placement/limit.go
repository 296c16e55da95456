package placement

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/concurrency"
)

const (
	// regrowAfter is the time without a refusal after which each answer raises a lowered limit again. The limiter's own
	// growth counts hundreds of answers, which a replica with a few places gets in a minute.
	regrowAfter = time.Second
	// refusalGain is the weight of a new outcome in the share of refused requests.
	refusalGain = 0.25
	// refusalsUntilPause is the share of refused requests from which a replica is paused.
	refusalsUntilPause = refusalGain
	// A replica that refuses at any load is tried again after each pause. The pause doubles with each refusal and halves with
	// each answer that brings the share below refusalsUntilPause.
	minPause = 100 * time.Millisecond
	maxPause = time.Second
)

// limit is how many requests a node sends to one replica at the same time: at most its part of the places, less where the
// replica refuses requests or is delayed by them. It starts at 1 and grows with the answers.
type limit struct {
	learned concurrency.Limiter
	part    int
	cold    bool
	// refusals is the moving average of the share of refused requests, refusedAt the time of the last refusal.
	refusals  float64
	refusedAt core.Time
	// pause is the length of the last pause.
	pause       time.Duration
	pausedUntil core.Time
	lastSentAt  core.Time
}

func newLimit(part int) limit {
	l := limit{cold: true}
	l.learned.SetBounds(part, part)
	l.learned.RestartRamp()
	l.part = part
	return l
}

// setPart sets this node's part of the places. A limit that nothing has lowered follows it at once.
func (l *limit) setPart(part int) {
	if part == l.part {
		return
	}
	atPart := !l.cold && l.learned.Slots() >= l.part
	l.part = part
	l.learned.SetBounds(part, part)
	for atPart && l.learned.Slots() < part {
		l.learned.RampUp()
	}
}

func (l *limit) places() int { return l.learned.Slots() }

func (l *limit) isPaused(now core.Time) bool { return now < l.pausedUntil }

func (l *limit) recordSent(inUse int, now core.Time) {
	l.learned.RecordSent(inUse)
	l.lastSentAt = now
}

func (l *limit) recordAnswer(held time.Duration, now core.Time) {
	l.refusals *= 1 - refusalGain
	if l.refusals < refusalsUntilPause {
		l.pause /= 2
	}
	l.learned.RecordAnswer(held)
	if l.cold || l.refusedAt == 0 || now-l.refusedAt >= regrowAfter {
		l.cold = l.cold && !l.learned.Ramped()
		l.learned.RampUp()
	}
}

// recordRefusal handles a refusal by the replica, with the places in use when the request was sent. A replica that refuses
// repeatedly is paused for a growing time.
func (l *limit) recordRefusal(inUse int, now core.Time) {
	l.refusals = l.refusals*(1-refusalGain) + refusalGain
	l.refusedAt = max(now, 1)
	l.learned.RecordShed(inUse)
	if l.refusals < refusalsUntilPause || l.isPaused(now) {
		return
	}
	l.pause = min(max(2*l.pause, minPause), maxPause)
	l.pausedUntil = now + l.pause
}

// tick gives one more place to a cold replica whose only requests get no answer.
func (l *limit) tick(inUse int, now core.Time) {
	if l.cold {
		l.learned.RampPastUnanswered(inUse, now-l.lastSentAt)
	}
}
