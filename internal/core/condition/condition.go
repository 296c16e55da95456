// Package condition decides which observations of replicas a node tells the other nodes, and how it weighs what they
// tell against its own.
//
// A service of long requests has a few arrivals a second, so that a node may send to one of its replicas once in ten
// seconds, and each node would learn by late requests of its own that the replica has become slow. Only own
// observations are told, never those of others, so that a wrong one lasts no longer than at its source.
package condition

import (
	"math"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Condition is the state of one incarnation of a replica.
type Condition struct {
	// Slowness is the latency relative to the route's typical latency; 1 is typical.
	Slowness float64
	// Refused and Failed are the shares of requests that it refused or failed lately.
	Refused, Failed float64
	// Unreachable is set if it accepted no connection lately.
	Unreachable bool
}

// Usual is the condition of a replica of which nothing is known.
var Usual = Condition{Slowness: 1}

// The least deviations that are worth telling. Replicas that share their machine with other work are up to 2.5 times
// slower for half a second, which is over by the time that others would have heard of it.
const (
	notableSlowness = 2.5
	notableShare    = 0.25
)

// Notable reports whether the condition would change another node's choice.
func (c Condition) Notable() bool {
	return c.Unreachable || c.Slowness >= notableSlowness || c.Refused >= notableShare || c.Failed >= notableShare
}

// Changes that are told at once, without regard to renewInterval.
const (
	bigSlownessRatio = 1.6
	bigShareChange   = 0.25
)

// differsMuch reports whether a condition has changed so much that others should know at once.
func (c Condition) differsMuch(told Condition) bool {
	ratio := max(c.Slowness, 1) / max(told.Slowness, 1)
	return c.Unreachable != told.Unreachable || ratio >= bigSlownessRatio || ratio <= 1/bigSlownessRatio ||
		math.Abs(c.Refused-told.Refused) >= bigShareChange || math.Abs(c.Failed-told.Failed) >= bigShareChange
}

// Observation is a node's own observation of one incarnation of a replica.
type Observation[K comparable] struct {
	Replica K
	Condition
	// At is the time of the newest outcome that it rests on.
	At core.Time
}

func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
