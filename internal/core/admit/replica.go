package admit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// The weights that choose between replicas.
const (
	// latencyGain is the weight of a new sample in a replica's latency.
	latencyGain = 0.2
	// failureGain is the weight of a new outcome in a replica's failure rate,
	// failurePenalty how much a rate of 1 lengthens its expected wait.
	failureGain    = 0.2
	failurePenalty = 8.0
	// loadPenalty is kept small: an upstream's own load figure lags or misleads,
	// so it only decides between replicas that their outcomes leave equal.
	loadPenalty = 0.1
	// remotePenalty is what another data centre counts beyond its measured
	// latency.
	remotePenalty = 0.1
	// shedPenalty puts the replica that shed a request behind all others for that
	// request, in nanoseconds.
	shedPenalty = float64(time.Hour)
	// forgetSlowAfter halves the latency held against a replica that got no
	// work, so that one that has recovered is tried again.
	forgetSlowAfter = 5 * time.Second
	// guessedLatency stands for a replica that has not answered yet.
	guessedLatency = time.Millisecond
)

// Times of a replica's way back.
const (
	failuresToDown = 3
	firstProbe     = 250 * time.Millisecond
	longestProbe   = 30 * time.Second
	firstPause     = 10 * time.Millisecond
	longestPause   = time.Second
	// drainHold is how long a drain that the text does not confirm keeps all
	// work away. Afterwards the replica counts as down: an upstream that was
	// restarted at its old address would stay unused for ever otherwise.
	drainHold = 30 * time.Second
)

// replica is one upstream as its owner sees it.
type replica struct {
	ReplicaConfig
	limiter
	state    chart.State
	inFlight int
	// written says that the text lists it.
	written bool
	remote  bool

	latency     float64 // ns, smoothed; 0 is not known
	sampledAt   core.Time
	failureRate float64
	failures    int
	load        float64

	pause       time.Duration
	pausedUntil core.Time
	probeWait   time.Duration
	probeAt     core.Time
	drainedAt   core.Time
}

// usable reports whether it may get ordinary work, now or after a pause.
func (r *replica) usable() bool {
	switch r.state {
	case stateCold, stateLive, stateSuspect:
		return r.max > 0
	}
	return false
}

// free reports whether ordinary work may be sent now.
func (r *replica) free(now core.Time) bool {
	return r.usable() && r.inFlight < r.slots() && now >= r.pausedUntil
}

// probeDue reports whether a down replica may get one request.
func (r *replica) probeDue(now core.Time) bool {
	return r.state == stateDown && r.max > 0 && r.inFlight == 0 && now >= r.probeAt
}

// expectedWait is the replica's latency as it counts for the next request, in
// nanoseconds: longer with work in flight, failures and distance.
func (r *replica) expectedWait(now core.Time) float64 {
	wait := float64(guessedLatency)
	if r.latency > 0 {
		wait = r.latency / (1 + float64(now-r.sampledAt)/float64(forgetSlowAfter))
	}
	wait *= 1 + float64(r.inFlight)/float64(r.slots())
	wait *= 1 + failurePenalty*r.failureRate
	wait *= 1 + loadPenalty*r.load
	if r.remote {
		wait *= 1 + remotePenalty
	}
	return wait
}

// learn takes a measured latency; with atLeast the request was ended before it
// answered and took that long or longer.
func (r *replica) learn(now core.Time, latency time.Duration, atLeast bool) {
	sample := float64(latency)
	switch {
	case r.latency == 0:
		r.latency = sample
	case !atLeast || sample > r.latency:
		r.latency += latencyGain * (sample - r.latency)
	}
	r.sampledAt = now
}

// rate takes an outcome: 1 is a failure, 0 an answer.
func (r *replica) rate(failure float64) {
	r.failureRate += failureGain * (failure - r.failureRate)
}

// lengthen doubles a wait between bounds and returns it with jitter: the
// replicas of a shard that fell together must not be probed together.
func lengthen(wait *time.Duration, first, longest time.Duration, jitter Jitter) time.Duration {
	*wait = min(max(2**wait, first), longest)
	if jitter == nil {
		return *wait
	}
	return *wait/2 + time.Duration(jitter.Float64()*float64(*wait))
}
