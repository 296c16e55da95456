package placement

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/comeback"
)

// Forecast is what an entry expects for a whole request.
type Forecast struct {
	// Waits are the expected times, in rising order, until the answer of each service that has a replica.
	Waits []time.Duration
	// MinParts is the number of answers that the request needs, at most the number of waits.
	MinParts int
}

// needed returns the time until enough answers are expected.
func (f Forecast) needed() time.Duration { return f.Waits[f.MinParts-1] }

// lateShare returns the share of the services whose answers are expected after a time.
func (f Forecast) lateShare(after time.Duration) float64 {
	inTime, _ := slices.BinarySearch(f.Waits, after+1)
	return 1 - float64(inTime)/float64(len(f.Waits))
}

// Request is a whole request that asks for admission.
type Request struct {
	Claim
	// Group names what the request competes for: the first of the services that it goes to.
	Group string
	// Caller is the address that the request came from, "" if unknown.
	Caller string
	// Key returns what identifies the request over the attempts of its caller; nil if that is unknown. It is called only
	// while room is short.
	Key func() comeback.Key
}

// target returns the time left within which an answer has its full value.
func (r Request) target(now core.Time) time.Duration {
	if r.TargetAt > 0 {
		return min(r.TargetAt, r.Deadline) - now
	}
	return r.Deadline - now
}

// Outcome is the decision on a whole request: Send or Reject.
type Outcome struct {
	Decision
	// Return is how the request stands to the time that it was told when it was rejected before.
	Return comeback.Standing
}

const (
	// slackDivisor is the fraction, 1/n, of the target within which an expected answer shows that no room is short: a
	// target holds two usual answer times, so that only queues exceed it.
	slackDivisor = 2
	// maxLate bounds the late requests that are admitted without slack in between. A late request counts with the share of
	// its services that are expected late, as it takes room from others only there, and with minLateCost at least.
	maxLate     = 0.5
	minLateCost = 0.05
	// latePerSlack is the room for late requests that one request with slack gives back.
	latePerSlack = 0.002
	// urgencyReserve is the part of maxLate that each step of priority leaves to the more urgent, down to minLateCost.
	urgencyReserve = 0.05
)

// Admission decides on whole requests at an entry. Its zero value is ready to use. It is not safe for concurrent use.
//
// A request whose answer is expected in time is admitted. One that is expected late, but by its deadline, lengthens the
// queues for those in time, so that it only gets room that was left over while queues were short. That room goes to
// requests that were rejected before and returned when they were told to: most of them would not try again.
type Admission struct {
	Returns comeback.Schedule
	told    comeback.Told
	// lateUsed is the used part of maxLate.
	lateUsed float64
}

// Decide decides on a whole request. The decision to reject it says when to return.
func (a *Admission) Decide(now core.Time, request Request, forecast Forecast) Outcome {
	needed, target := forecast.needed(), request.target(now)
	key, standing, early := a.standing(now, request)
	if a.admits(now, request, forecast, standing) {
		if needed <= target/slackDivisor {
			a.lateUsed = max(a.lateUsed-latePerSlack, 0)
		}
		a.told.Forget(key)
		return Outcome{Decision: Decision{Verdict: Send}, Return: standing}
	}
	rejected := Decision{Verdict: Reject, Short: Shards, Ahead: a.Returns.Expected(now), RetryAfter: early}
	if needed > target {
		a.Returns.RecordShortage(now)
	} else {
		rejected.Short = CallerShare
	}
	if early == 0 {
		rejected.RetryAfter = a.Returns.RetryAfter(now, comeback.Refusal{FreeAfter: needed - target, Priority: request.Priority, Waited: standing == comeback.InTime, Remaining: request.Deadline - now})
		a.remember(now, request, rejected.RetryAfter)
	}
	return Outcome{Decision: rejected, Return: standing}
}

// admits reports whether a request is admitted. A caller over its share, and one that returns before the time that it
// was told, gets no room that may be short.
func (a *Admission) admits(now core.Time, request Request, forecast Forecast, standing comeback.Standing) bool {
	needed, target := forecast.needed(), request.target(now)
	if request.OverShare || standing == comeback.Early {
		return needed <= target/slackDivisor && !a.Returns.IsShort(now)
	}
	return needed <= target || needed <= request.Deadline-now && standing == comeback.InTime && a.takeLateRoom(request.Priority, forecast.lateShare(target))
}

// standing returns how a request stands to the time that it was told, and for one that is early the time left. What this
// node told it counts; without that, the time that the request has spent.
func (a *Admission) standing(now core.Time, request Request) (comeback.Key, comeback.Standing, time.Duration) {
	if request.Key != nil && !a.told.IsEmpty(now) {
		key := request.Key()
		if standing, early := a.told.Lookup(now, key); standing != comeback.Unknown {
			return key, standing, early
		}
	}
	if comeback.HasWaited(request.Waited) {
		return 0, comeback.InTime, 0
	}
	return 0, comeback.Unknown, 0
}

func (a *Admission) remember(now core.Time, request Request, retryAfter time.Duration) {
	if request.Key != nil {
		a.told.Record(now, request.Key(), now+retryAfter)
	}
}

// takeLateRoom takes the room of one late request, unless what is left is kept for more urgent ones.
func (a *Admission) takeLateRoom(priority int, lateShare float64) bool {
	room := max(maxLate-urgencyReserve*float64(max(priority, 0)), minLateCost)
	cost := max(lateShare, minLateCost)
	if a.lateUsed+cost > room {
		return false
	}
	a.lateUsed += cost
	return true
}
