package replica

import (
	"math"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
	"github.com/pistachiopier/pistachiopier/internal/core/condition"
	"github.com/pistachiopier/pistachiopier/internal/core/pauses"
)

// Half-lives and expiry times of observations of a replica.
const (
	// slownessHalfLife halves the measured slowness while no answer arrives, so that a replica
	// that has become fast again gets requests.
	slownessHalfLife = 3 * time.Second
	// overdueTTL bounds how long an overdue answer counts against a replica.
	overdueTTL = time.Second
	// refusedTTL is how long a replica counts as at capacity after a refusal.
	refusedTTL = 100 * time.Millisecond
	// refusalHalfLife halves the refusal rate, so that a replica that refuses at any load is
	// retried every few seconds.
	refusalHalfLife = 4 * time.Second
	// unreachedTTL is how long a replica that accepted no connection counts as unreachable, and
	// avoidUnreachedTTL how long any reachable replica is preferred to it.
	unreachedTTL      = 500 * time.Millisecond
	avoidUnreachedTTL = 2 * time.Second
	// failureHalfLife halves the failure rate.
	failureHalfLife = 1500 * time.Millisecond
)

// ewmaWeight is the weight of a new observation in the moving averages of slowness, failures and refusals.
const ewmaWeight = 0.25

// Single answers of long requests differ by their own work, by noise and by the queue that they met, and few come: they
// change the average by longAnswerWeight only, unless they take faultyRatio times the typical latency.
const (
	longAnswerWeight = 0.1
	faultyRatio      = 3.5
)

// Answers at long intervals weigh more in the moving average of slowness, at most maxEwmaWeight.
const (
	averageHalfLife = time.Second
	maxEwmaWeight   = 0.6
)

// state holds the registry data and the observations of one replica.
type state struct {
	Replica
	inFlight int
	// noAnswerSince is since when requests have been in flight without any answer.
	noAnswerSince core.Time
	// slowness is the moving average of latency relative to the typical latency; 1 is typical.
	slowness   float64
	slownessAt core.Time
	// failures is the moving average of the share of requests that failed.
	failures   float64
	failuresAt core.Time
	overdueAt  core.Time
	// unreachedAt is when it last accepted no connection, 0 once it answers.
	unreachedAt core.Time
	refusedAt   core.Time
	// ahead is the number of requests that went before the last one without a place, at noPlaceAt.
	ahead     int
	noPlaceAt core.Time
	// refusals is the moving average of the share of requests that the replica refused.
	refusals   float64
	refusalsAt core.Time
	// misdirected is set when another replica answered at its address.
	misdirected bool
	// lapsedAt is when the registry ceased to list the replica, 0 while it is listed.
	lapsedAt core.Time
	// suspectedAt is since when a listed replica is suspected to have left, 0 if it is not suspected.
	suspectedAt core.Time
	// coldUntil is until when the replica is cold by its own report; cold counts its requests while it is cold.
	coldUntil core.Time
	cold      coldstart.Window
	// pauses records the phase of the replica's regular pauses.
	pauses pauses.Phase
	// typical is the typical latency of the routes whose requests it got last.
	typical time.Duration
	// observedAt is the time of the last outcome of a request, answeredAt that of the last answer. slowSince is when the
	// first of the latest requests was sent that were all slow, 0 if the last answer was not.
	observedAt, answeredAt, slowSince core.Time
	// word holds what other nodes have told of it.
	word condition.Word
}

func (s *state) slownessNow(now core.Time) float64 {
	return 1 + (s.slowness-1)*decay(now-s.slownessAt, slownessHalfLife)
}

func (s *state) failuresNow(now core.Time) float64 {
	return s.failures * decay(now-s.failuresAt, failureHalfLife)
}

func (s *state) refusalsNow(now core.Time) float64 {
	return s.refusals * decay(now-s.refusalsAt, refusalHalfLife)
}

func decay(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

func (s *state) overdue(now core.Time) bool {
	return s.overdueAt > 0 && now-s.overdueAt < overdueTTL
}

func (s *state) unreached(within time.Duration, now core.Time) bool {
	return s.unreachedAt > 0 && now-s.unreachedAt < within
}

func (s *state) refused(now core.Time) bool {
	return s.refusedAt > 0 && now-s.refusedAt < refusedTTL
}

// isFull reports whether a request found no place there a moment ago.
func (s *state) isFull(now core.Time) bool {
	return s.noPlaceAt > 0 && now-s.noPlaceAt < refusedTTL
}

func (s *state) degraded(believed condition.Condition, now core.Time) bool {
	const manyFailures = 0.5
	return s.overdue(now) || s.refused(now) || believed.Failed > manyFailures
}
