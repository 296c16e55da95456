package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// Priorities is the number of priorities; claims beyond it count as the least urgent.
	Priorities = 10
	// LeastUrgent is the priority of a claim that states none.
	LeastUrgent = Priorities - 1
	// grantsPerTurn guarantees each priority that waits one grant in so many, plus one for each further priority that
	// is due as well.
	grantsPerTurn = 10
	// maxWaiting bounds the claims that wait for the places at one replica. Beyond it the last one in order is refused.
	maxWaiting = 64
	// holdGain is the weight of a new observation in the average time that a place is held. One observation counts for at
	// most maxHoldRatio times the average: a replica that paused once is not slow.
	holdGain     = 0.2
	maxHoldRatio = 2
)

// PlaceEnd is how the use of a place ended.
type PlaceEnd uint8

const (
	// Answered means that the replica answered.
	Answered PlaceEnd = iota
	// Refused means that the replica refused the request.
	Refused
	// Unanswered means anything else: failed, cancelled or not sent.
	Unanswered
)

// Place is a place in use.
type Place struct {
	grantedAt core.Time
	// inUse counts the places in use when this one was granted.
	inUse int
}

// Settled is the end of a claim's wait.
type Settled struct {
	ID uint64
	// Decision is Send with a place, or a refusal.
	Decision Decision
	Place    Place
}

// NoPlace is the error of a send that got no place. It was not sent.
type NoPlace struct {
	Decision Decision
	Priority int
	Waited   time.Duration
	// Cause is set when the wait was ended from outside.
	Cause error
}

// Unwrap returns the cause.
func (e *NoPlace) Unwrap() error { return e.Cause }

// Error implements error.
func (e *NoPlace) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("no place after %d ms: %s", e.Waited.Milliseconds(), e.Cause)
	}
	if e.Decision.Ahead == 0 {
		return fmt.Sprintf("no place: the replica refuses requests, again in %d ms", e.Decision.RetryAfter.Milliseconds())
	}
	return fmt.Sprintf("no place: %s short, %d ahead of priority %d after %d ms", e.Decision.Short, e.Decision.Ahead, e.Priority, e.Waited.Milliseconds())
}

// waiter is a claim that waits.
type waiter struct {
	id    uint64
	claim Claim
	until core.Time
}

// Queue grants a node's places at one replica. A claim without a free place waits here, in the order of Compare, until one is
// free; each priority that waits has a least share of the grants. It is not safe for concurrent use.
type Queue struct {
	limit   limit
	inUse   int
	waiting []waiter
	// passed counts, by priority, the grants to others since the last own one, while a claim of the priority waited.
	passed [Priorities]int
	// hold is the average time that a place is held, 0 if unknown.
	hold time.Duration
	// settled is reused between calls.
	settled []Settled
}

// NewQueue returns the queue of a replica of which this node may use the given part.
func NewQueue(part int) *Queue { return &Queue{limit: newLimit(max(part, 1))} }

// SetPart sets this node's part of the replica's places, and grants those that are new.
func (q *Queue) SetPart(part int, now core.Time) []Settled {
	q.limit.setPart(max(part, 1))
	return q.settle(now)
}

// Offer decides on a claim. With Send it has the place, with Wait it is among the waiting ones under its id. Others may be
// refused because of it, which the settled ones tell; they are valid until the next call.
func (q *Queue) Offer(id uint64, claim Claim, now core.Time) (Decision, Place, []Settled) {
	q.settled = q.settled[:0]
	claim.Priority = ClampPriority(claim.Priority)
	q.limit.tick(q.inUse, now)
	if q.limit.isPaused(now) && !claim.Last {
		return Decision{Verdict: Elsewhere, Short: Slots, RetryAfter: q.limit.pausedUntil - now}, Place{}, nil
	}
	if len(q.waiting) == 0 && q.inUse < q.limit.places() {
		return Decision{Verdict: Send}, q.grant(now), nil
	}
	// Waited then compares claims that were offered at different times.
	claim.Waited -= now
	q.sort(now)
	at := 0
	for at < len(q.waiting) && Compare(q.waiting[at].claim, claim, now) <= 0 {
		at++
	}
	decision := Decide(now, claim, q.room(at, claim.Priority), Slots)
	decision.Ahead += q.inUse
	if at >= maxWaiting {
		decision.Verdict = Reject
	}
	if decision.Verdict != Wait {
		return decision, Place{}, nil
	}
	q.waiting = slices.Insert(q.waiting, at, waiter{id: id, claim: claim, until: decision.Until})
	q.dropHopeless(at+1, now)
	return decision, Place{}, q.settled
}

// Release ends the use of a place and grants the free ones.
func (q *Queue) Release(place Place, outcome PlaceEnd, now core.Time) []Settled {
	q.inUse = max(q.inUse-1, 0)
	held := now - place.grantedAt
	if outcome == Answered || outcome == Unanswered && held > q.hold && q.hold > 0 {
		q.recordHold(held)
	}
	switch outcome {
	case Answered:
		q.limit.recordAnswer(held, now)
	case Refused:
		q.limit.recordRefusal(place.inUse, now)
	case Unanswered:
	}
	return q.settle(now)
}

func (q *Queue) recordHold(held time.Duration) {
	if q.hold == 0 {
		q.hold = held
		return
	}
	q.hold += time.Duration(holdGain * float64(min(held, maxHoldRatio*q.hold)-q.hold))
}

// Cancel removes a claim that need no longer wait, and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiter) bool { return w.id == id })
	return len(q.waiting) < before
}

// Tick refuses the claims whose time has passed and grants places that time has added.
func (q *Queue) Tick(now core.Time) []Settled {
	q.limit.tick(q.inUse, now)
	return q.settle(now)
}

// IsIdle reports whether no place is in use and no claim waits.
func (q *Queue) IsIdle() bool { return q.inUse == 0 && len(q.waiting) == 0 }

// State describes a queue for operators.
type State struct {
	Part    int           `json:"part"`
	Limit   int           `json:"limit"`
	InUse   int           `json:"in_use"`
	Waiting int           `json:"waiting"`
	Paused  time.Duration `json:"-"`
	Hold    time.Duration `json:"-"`
}

// State returns the state of the queue.
func (q *Queue) State(now core.Time) State {
	return State{Part: q.limit.part, Limit: q.limit.places(), InUse: q.inUse, Waiting: len(q.waiting), Paused: max(q.limit.pausedUntil-now, 0), Hold: q.hold}
}

// ClampPriority returns a valid priority: out of range counts as the least urgent.
func ClampPriority(priority int) int {
	if priority < 0 || priority > LeastUrgent {
		return LeastUrgent
	}
	return priority
}

func (q *Queue) grant(now core.Time) Place {
	q.inUse++
	q.limit.recordSent(q.inUse, now)
	return Place{grantedAt: now, inUse: q.inUse}
}

// settle refuses the claims that cannot wait any longer and grants the free places to the others.
func (q *Queue) settle(now core.Time) []Settled {
	q.settled = q.settled[:0]
	if len(q.waiting) == 0 {
		return nil
	}
	q.refuseExpired(now)
	q.sort(now)
	for len(q.waiting) > 0 && q.inUse < q.limit.places() {
		granted := q.takeNext()
		q.settled = append(q.settled, Settled{ID: granted.id, Decision: Decision{Verdict: Send}, Place: q.grant(now)})
	}
	return q.settled
}

// refuseExpired refuses the claims whose time has passed and, while the replica is paused, those that can go elsewhere.
func (q *Queue) refuseExpired(now core.Time) {
	paused := q.limit.isPaused(now)
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiter) bool {
		switch {
		case now >= w.until:
			q.refuse(w, Decision{Verdict: Reject, RetryAfter: q.hold, Short: Slots, Ahead: q.inUse})
		case paused && !w.claim.Last:
			q.refuse(w, Decision{Verdict: Elsewhere, RetryAfter: q.limit.pausedUntil - now, Short: Slots})
		default:
			return false
		}
		return true
	})
}

func (q *Queue) refuse(w waiter, decision Decision) {
	q.settled = append(q.settled, Settled{ID: w.id, Decision: decision})
}

// dropHopeless refuses the claims from an index on that will not get a place in time any more, and those beyond maxWaiting.
func (q *Queue) dropHopeless(from int, now core.Time) {
	for i := from; i < len(q.waiting); {
		w := q.waiting[i]
		room := q.room(i, w.claim.Priority)
		wait := room.expectedWait()
		if now+wait <= w.until && i < maxWaiting {
			i++
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.refuse(w, Decision{Verdict: Reject, RetryAfter: wait, Short: Slots, Ahead: q.inUse + room.Ahead})
	}
}

// room returns what is known for a claim of a priority with the first ahead waiting ones before it. The least share of its
// priority bounds how many of them go first.
func (q *Queue) room(ahead, priority int) Room {
	same := 0
	for _, w := range q.waiting[:ahead] {
		if w.claim.Priority == priority {
			same++
		}
	}
	byShare := (same+1)*grantsPerTurn - 1 - q.passed[priority]
	return Room{Limit: q.limit.places(), InUse: q.inUse, Ahead: min(ahead, max(byShare, same)), HoldTime: q.hold}
}

func (q *Queue) sort(now core.Time) {
	slices.SortStableFunc(q.waiting, func(a, b waiter) int { return Compare(a.claim, b.claim, now) })
}

// takeNext removes the claim that gets the next place: the first in order, unless another priority is due.
func (q *Queue) takeNext() waiter {
	next, due := 0, 0
	var waits [Priorities]bool
	for i, w := range q.waiting {
		priority := w.claim.Priority
		if waits[priority] {
			continue
		}
		waits[priority] = true
		if passed := q.passed[priority]; passed >= grantsPerTurn-1 && passed > due {
			next, due = i, passed
		}
	}
	taken := q.waiting[next]
	q.waiting = slices.Delete(q.waiting, next, next+1)
	for priority, waiting := range waits {
		if waiting {
			q.passed[priority]++
		}
	}
	q.passed[taken.claim.Priority] = 0
	return taken
}
