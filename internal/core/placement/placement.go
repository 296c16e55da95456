// Package placement decides whether a request gets a place now, after a wait, elsewhere or not at all.
//
// A place is whatever can be short: a slot of a replica, a send beyond the first one of a request, a connection, memory
// of the node. Each decision is made from a Claim, which says who asks, and a Room, which says what is free as far as this
// node knows. The same order of claims holds for every kind of place, so that a request that goes first at a replica's slots
// is not last at the node's connections.
package placement

import (
	"cmp"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Claim is what a request, or one send of it, asks a place with.
type Claim struct {
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Route is the name of the route, which has a bound of its own on what its requests hold of a node's memory; "" has none.
	Route string
	// OverShare is set when the caller has more requests in progress than its share while others wait.
	OverShare bool
	// Waited is the time that the request has spent in this tier before now, its earlier attempts included as far as they
	// are known.
	Waited time.Duration
	// TargetAt is until when the answer has its full value, 0 if the route states none. Deadline is until when the caller
	// waits.
	TargetAt, Deadline core.Time
	// Extra is set for a hedge: a send that another one of the same request may make unnecessary. It does not wait.
	Extra bool
	// Last is set when the request has no other replica left: it is sent to a replica that refuses others, too.
	Last bool
}

// Compare orders claims: a negative result means that a goes before b. Callers over their share come last, then the
// priority decides, then whether the answer can still be on time, then the time already waited.
func Compare(a, b Claim, now core.Time) int {
	return cmp.Or(
		compareBool(a.OverShare, b.OverShare),
		cmp.Compare(a.Priority, b.Priority),
		compareBool(a.isLate(now), b.isLate(now)),
		cmp.Compare(b.Waited, a.Waited),
		cmp.Compare(a.usefulUntil(now), b.usefulUntil(now)),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (c Claim) isLate(now core.Time) bool { return c.TargetAt > 0 && now >= c.TargetAt }

// usefulUntil returns until when a place is worth having: the target, or the deadline once the target has passed.
func (c Claim) usefulUntil(now core.Time) core.Time {
	if c.TargetAt > 0 && !c.isLate(now) {
		return min(c.TargetAt, c.Deadline)
	}
	return c.Deadline
}

// Room is what a node knows of the places of one kind, for example the slots of one replica.
type Room struct {
	// Limit is this node's part of the places, InUse how many of them it uses.
	Limit, InUse int
	// Ahead counts the waiting claims that go before this one.
	Ahead int
	// HoldTime is how long a place is held, as far as known; 0 is unknown.
	HoldTime time.Duration
}

// expectedWait estimates the time until a place is free for a claim behind Ahead others.
func (r Room) expectedWait() time.Duration {
	if r.InUse < r.Limit && r.Ahead == 0 {
		return 0
	}
	return time.Duration(float64(r.HoldTime) * float64(r.Ahead+1) / float64(max(r.Limit, 1)))
}

// Verdict is the outcome of a decision.
type Verdict uint8

const (
	// Send gives the place now.
	Send Verdict = iota
	// Wait keeps the claim until a place is free, at the latest until Decision.Until.
	Wait
	// Elsewhere refuses a place here; the request may take one at another replica.
	Elsewhere
	// Reject refuses the request: no place will be free while its answer is of use.
	Reject
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	switch v {
	case Send:
		return "send"
	case Wait:
		return "wait"
	case Elsewhere:
		return "elsewhere"
	default:
		return "reject"
	}
}

// Shortage names what is short. Its values are values of a log field and of a metric label.
type Shortage string

// The shortages.
const (
	Nothing     Shortage = ""
	Slots       Shortage = "slots"
	ExtraSends  Shortage = "extra sends"
	Connections Shortage = "connections"
	Memory      Shortage = "memory"
	CallerShare Shortage = "share of the caller"
	Shards      Shortage = "shards that answer in time"
)

// Decision is what becomes of a claim.
type Decision struct {
	Verdict Verdict
	// Until is the latest time at which a waiting claim is given up.
	Until core.Time
	// RetryAfter is the time after which a place is expected to be free.
	RetryAfter time.Duration
	// Short is what kept the claim from a place at once, Ahead the number of claims before it.
	Short Shortage
	Ahead int
}

// Decide decides on a claim for one of the places of a room.
func Decide(now core.Time, claim Claim, room Room, kind Shortage) Decision {
	if room.InUse < room.Limit && room.Ahead == 0 {
		return Decision{Verdict: Send}
	}
	wait := room.expectedWait()
	refused := Decision{Verdict: Elsewhere, RetryAfter: wait, Short: kind, Ahead: room.Ahead}
	if claim.Extra {
		return refused
	}
	latest := claim.usefulUntil(now) - room.HoldTime
	if now+wait > latest {
		refused.Verdict = Reject
		return refused
	}
	return Decision{Verdict: Wait, Until: latest, RetryAfter: wait, Short: kind, Ahead: room.Ahead}
}
