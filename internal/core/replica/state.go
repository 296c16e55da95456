package replica

import (
	"math"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
	"github.com/pistachiopier/pistachiopier/internal/core/pauses"
)

// Times after which what was seen of a replica no longer counts.
const (
	// slownessLife is the time in which half of a measured slowness is forgotten
	// while no answer comes: a replica that became fast again is then tried.
	slownessLife = 3 * time.Second
	// overdueLife bounds how long a request without an answer counts against a
	// replica.
	overdueLife = time.Second
	// refusedLife is how long a refusal says that there is no room just now.
	refusedLife = 100 * time.Millisecond
	// refusalLife halves the share of requests that a replica refused: one that refuses at
	// any load is tried again every few seconds.
	refusalLife = 1500 * time.Millisecond
	// unreachedLife is how long a replica that took no connection counts as away.
	unreachedLife = 500 * time.Millisecond
	// failureLife halves the rate of failures.
	failureLife = 1500 * time.Millisecond
)

// learning is the weight of a new answer in a replica's slowness and failures.
const learning = 0.25

// state is what was seen of one replica.
type state struct {
	Replica
	outstanding int
	// silentSince is since when requests are in work without an answer to any.
	silentSince core.Time
	// slowness is the mean of answer times over the usual one; 1 is usual.
	slowness   float64
	slownessAt core.Time
	// failures is the mean share of requests that failed.
	failures   float64
	failuresAt core.Time
	overdueAt  core.Time
	// unreachedAt is when it last took no connection, 0 once it answers.
	unreachedAt core.Time
	refusedAt   core.Time
	// refusals is the mean share of requests that the replica refused.
	refusals   float64
	refusalsAt core.Time
	// misdirected is set when another replica was found at its address.
	misdirected bool
	// lapsedAt is when the registry lost the entry, 0 while it is listed.
	lapsedAt core.Time
	// doubtedAt is since when the replica may have left although it is listed, 0 where it has not.
	doubtedAt core.Time
	// coldUntil is until when the replica is cold by its own report; cold counts what it gets.
	coldUntil core.Time
	cold      coldstart.Window
	// pauses is when the replica stands still.
	pauses pauses.Clock
}

func (s *state) slownessNow(now core.Time) float64 {
	return 1 + (s.slowness-1)*halved(now-s.slownessAt, slownessLife)
}

func (s *state) failuresNow(now core.Time) float64 {
	return s.failures * halved(now-s.failuresAt, failureLife)
}

func (s *state) refusalsNow(now core.Time) float64 {
	return s.refusals * halved(now-s.refusalsAt, refusalLife)
}

func halved(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

func (s *state) overdue(now core.Time) bool {
	return s.overdueAt > 0 && now-s.overdueAt < overdueLife
}

func (s *state) unreachable(now core.Time) bool {
	return s.unreachedAt > 0 && now-s.unreachedAt < unreachedLife
}

func (s *state) refused(now core.Time) bool {
	return s.refusedAt > 0 && now-s.refusedAt < refusedLife
}

func (s *state) doubtful(now core.Time) bool {
	const manyFailures = 0.5
	return s.overdue(now) || s.refused(now) || s.failuresNow(now) > manyFailures
}
