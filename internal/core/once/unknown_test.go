package once

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// The model of an ordinary day. Rates are per node and second.
const (
	day           = 86_400.0
	dayNodes      = 780.0
	failureRate   = 16 / dayNodes / day
	restartRate   = 1600 / dayNodes / day
	prefixAge     = 10.0 // uniform up to the time that callers keep /v1/entries, s
	meanRun       = 0.04 // exponential, s
	lostAnswers   = 0.01 // share of callers whose answer is lost, who retry
	retryAfter    = 30.0 // uniform, s
	sampled       = 5_000_000
	rateScale     = 100 // events are drawn this much more often and counted back
	per           = 100_000.0
	unknownSeed   = 7
	leastLowering = 100
)

// place is when an event meets a submit.
type place int

const (
	beforeHome place = iota
	duringHome
	duringOwner
	beforeRetry
	places
)

// policy is what of the design is in use.
type policy struct {
	name     string
	finish   bool // a planned stop finishes what runs
	handOver bool // a planned stop hands outcomes over
	conclude bool // a caller concludes from "this try did not run"
}

var policies = []policy{
	{name: "none"},
	{name: "finish in flight", finish: true},
	{name: "and hand over", finish: true, handOver: true},
	{name: "and conclude from this_try", finish: true, handOver: true, conclude: true},
}

// endsUnknown plays one event through the machines: is the caller left without
// knowing, after a retry?
func endsUnknown(p policy, at place, planned bool) bool {
	w := newWorld(2)
	leave := func() {
		if planned && p.handOver {
			w.successor.Inherit(w.now, w.home.Records(w.now))
		}
		w.restart()
	}
	switch at {
	case beforeHome:
		leave()
	case duringHome:
		w.callerTries()
		w.deliverAsk(0)
		if planned && p.finish {
			w.deliverSend(0, "done")
			w.deliverReply(0, w.replies[0])
			return w.last.Outcome == core.Unknown
		}
		leave()
	case duringOwner:
		w.callerTries()
		w.deliverAsk(0)
		if planned && p.finish {
			w.deliverSend(0, "done")
		} else {
			w.deliverSend(0, "ran, reply lost")
		}
		w.deliverReply(0, w.replies[0])
		return w.last.Outcome == core.Unknown
	case beforeRetry:
		w.callerTries()
		w.deliverAsk(0)
		w.deliverSend(0, "done")
		w.deliverReply(0, w.replies[0])
		leave()
	}
	w.callerTries()
	for len(w.asks) > 0 {
		w.deliverAsk(0)
	}
	concluded := p.conclude && w.settled
	return w.last.Outcome == core.Unknown && !concluded
}

// unknowns draws submits and returns how many per 100,000 end unknown.
func unknowns(p policy) float64 {
	var table [places][2]bool
	for at := range places {
		table[at] = [2]bool{endsUnknown(p, at, false), endsUnknown(p, at, true)}
	}
	random := rand.New(rand.NewPCG(unknownSeed, unknownSeed))
	count := 0
	for range sampled {
		run := random.ExpFloat64() * meanRun
		exposure := [places]float64{random.Float64() * prefixAge, run, run, 0}
		if random.Float64() < lostAnswers {
			exposure[beforeRetry] = random.Float64() * retryAfter
		}
		if drawn(random, exposure, table) {
			count++
		}
	}
	return float64(count) / rateScale / sampled * per
}

// drawn draws the events that meet one submit.
func drawn(random *rand.Rand, exposure [places]float64, table [places][2]bool) bool {
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

// TestUnknownOnAnOrdinaryDay measures how often "unknown" is the last word.
func TestUnknownOnAnOrdinaryDay(t *testing.T) {
	var rates []float64
	for _, p := range policies {
		rates = append(rates, unknowns(p))
		t.Logf("%-28s %.4f unknown per 100,000 submits", p.name, rates[len(rates)-1])
	}
	require.Less(t, rates[len(rates)-1]*leastLowering, rates[0])
}
