package once

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Model of an ordinary day. Rates are per node and second, durations in seconds.
const (
	daySeconds           = 86_400.0
	nodeCount            = 780.0
	failureRate          = 16 / nodeCount / daySeconds
	restartRate          = 1600 / nodeCount / daySeconds
	maxPrefixAgeSeconds  = 10.0 // uniform; at most the time that callers cache /v1/entries
	meanRunSeconds       = 0.04 // mean of an exponential distribution
	lostReplyShare       = 0.01 // share of callers whose reply is lost; they retry
	maxRetryDelaySeconds = 30.0 // uniform
	submitSamples        = 5_000_000
	rateScale            = 100 // events are drawn this many times more often; the count is divided by it
	rateSubmits          = 100_000.0
	unknownSeed          = 7
	minReduction         = 100
)

// eventPhase is the phase of a submit in which an event happens.
type eventPhase int

const (
	beforeHome eventPhase = iota
	duringHome
	duringOwner
	beforeRetry
	phaseCount
)

// design selects the measures that are in use.
type design struct {
	name           string
	finish         bool // a planned stop waits for running requests
	handOver       bool // a planned stop hands outcomes over to the successor
	useThisAttempt bool // a caller relies on this_try "not_run"
}

var designs = []design{
	{name: "none"},
	{name: "finish in flight", finish: true},
	{name: "and hand over", finish: true, handOver: true},
	{name: "and rely on this_try", finish: true, handOver: true, useThisAttempt: true},
}

// endsUnknown simulates one event and reports whether the caller does not know the
// outcome after a retry.
func endsUnknown(d design, at eventPhase, planned bool) bool {
	sim := newSimulation(2)
	leave := func() {
		if planned && d.handOver {
			sim.successor.Inherit(sim.now, sim.home.Records(sim.now))
		}
		sim.restartHome()
	}
	switch at {
	case beforeHome:
		leave()
	case duringHome:
		sim.callerSubmits()
		sim.deliverRequest(0)
		if planned && d.finish {
			sim.deliverSend(0, "done")
			sim.deliverReply(0, sim.replies[0])
			return sim.last.Outcome == core.Unknown
		}
		leave()
	case duringOwner:
		sim.callerSubmits()
		sim.deliverRequest(0)
		if planned && d.finish {
			sim.deliverSend(0, "done")
		} else {
			sim.deliverSend(0, "ran, reply lost")
		}
		sim.deliverReply(0, sim.replies[0])
		return sim.last.Outcome == core.Unknown
	case beforeRetry:
		sim.callerSubmits()
		sim.deliverRequest(0)
		sim.deliverSend(0, "done")
		sim.deliverReply(0, sim.replies[0])
		leave()
	}
	sim.callerSubmits()
	for len(sim.pendingRequests) > 0 {
		sim.deliverRequest(0)
	}
	concluded := d.useThisAttempt && sim.callerSettled
	return sim.last.Outcome == core.Unknown && !concluded
}

// unknownRate samples submits and returns how many per 100,000 end with "unknown".
func unknownRate(d design) float64 {
	var table [phaseCount][2]bool
	for at := range phaseCount {
		table[at] = [2]bool{endsUnknown(d, at, false), endsUnknown(d, at, true)}
	}
	random := rand.New(rand.NewPCG(unknownSeed, unknownSeed))
	count := 0
	for range submitSamples {
		run := random.ExpFloat64() * meanRunSeconds
		exposure := [phaseCount]float64{random.Float64() * maxPrefixAgeSeconds, run, run, 0}
		if random.Float64() < lostReplyShare {
			exposure[beforeRetry] = random.Float64() * maxRetryDelaySeconds
		}
		if drawnEventEndsUnknown(random, exposure, table) {
			count++
		}
	}
	return float64(count) / rateScale / submitSamples * rateSubmits
}

// drawnEventEndsUnknown draws the events during one submit and reports whether one of
// them makes it end with "unknown".
func drawnEventEndsUnknown(random *rand.Rand, exposure [phaseCount]float64, table [phaseCount][2]bool) bool {
	for at, seconds := range exposure {
		chance := seconds * rateScale * (failureRate + restartRate)
		if random.Float64() >= chance {
			continue
		}
		planned := 0
		if random.Float64() < restartRate/(failureRate+restartRate) {
			planned = 1
		}
		if table[at][planned] {
			return true
		}
	}
	return false
}

// TestUnknownOnAnOrdinaryDay measures how often "unknown" is the final outcome.
func TestUnknownOnAnOrdinaryDay(t *testing.T) {
	var rates []float64
	for _, d := range designs {
		rates = append(rates, unknownRate(d))
		t.Logf("%-28s %.4f unknown per 100,000 submits", d.name, rates[len(rates)-1])
	}
	require.Less(t, rates[len(rates)-1]*minReduction, rates[0])
}
