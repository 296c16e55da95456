package admit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/concurrency"
)

// Weights of the choice between replicas.
const (
	// latencyGain is the weight of a new sample in the latency of a replica.
	latencyGain = 0.2
	// failureGain is the weight of a new outcome in the failure rate of a replica. failurePenalty is the
	// relative increase of its expected wait at a failure rate of 1.
	failureGain    = 0.2
	failurePenalty = 8.0
	// loadPenalty is small because the load reported by an upstream lags or misleads: it only decides
	// between replicas with equal outcomes.
	loadPenalty = 0.1
	// remotePenalty is the relative increase of the expected wait for a replica in another data centre, in
	// addition to its measured latency.
	remotePenalty = 0.1
	// shedPenalty, in nanoseconds, ranks the replica that shed a request behind all others for that
	// request.
	shedPenalty = float64(time.Hour)
	// idleLatencyHalvedAfter is the time without requests after which the recorded latency of a replica
	// counts half, so that a recovered replica is used again.
	idleLatencyHalvedAfter = 5 * time.Second
	// initialLatency is the assumed latency of a replica that has not answered yet.
	initialLatency = time.Millisecond
)

// Thresholds and intervals of the recovery of a replica.
const (
	failuresUntilDown = 3
	minProbeInterval  = 250 * time.Millisecond
	maxProbeInterval  = 30 * time.Second
	minPause          = 10 * time.Millisecond
	maxPause          = time.Second
	// drainHold is how long a drain that the configuration does not confirm keeps requests away. After it
	// the replica counts as down: an upstream that was restarted at its old address would otherwise stay
	// unused forever.
	drainHold = 30 * time.Second
)

// replica is the state of one upstream replica as seen by its owner.
type replica struct {
	ReplicaConfig
	concurrency.Limiter
	state    chart.State
	inFlight int
	// configured is set while the configuration contains the replica.
	configured bool
	remote     bool

	latencyNs   float64 // smoothed; 0 if unknown
	sampledAt   core.Time
	failureRate float64
	failures    int
	load        float64

	pause         time.Duration
	pausedUntil   core.Time
	probeInterval time.Duration
	probeAt       core.Time
	drainSeenAt   core.Time
	// lastSentAt is when a request was last sent to the replica.
	lastSentAt core.Time
}

// usable reports whether the replica may get ordinary requests, now or after a pause.
func (r *replica) usable() bool {
	switch r.state {
	case stateCold, stateLive, stateSuspect:
		return r.MaxLimit() > 0
	}
	return false
}

// available reports whether an ordinary request may be sent now.
func (r *replica) available(now core.Time) bool {
	return r.usable() && r.inFlight < r.Slots() && now >= r.pausedUntil
}

// probeDue reports whether a down replica may get a probe request.
func (r *replica) probeDue(now core.Time) bool {
	return r.state == stateDown && r.MaxLimit() > 0 && r.inFlight == 0 && now >= r.probeAt
}

// expectedWait returns the latency of the replica in nanoseconds, weighted for the choice between
// replicas: it is increased by requests in flight, failures, reported load and a remote data centre.
func (r *replica) expectedWait(now core.Time) float64 {
	wait := float64(initialLatency)
	if r.latencyNs > 0 {
		wait = r.latencyNs / (1 + float64(now-r.sampledAt)/float64(idleLatencyHalvedAfter))
	}
	wait *= 1 + float64(r.inFlight)/float64(r.Slots())
	wait *= 1 + failurePenalty*r.failureRate
	wait *= 1 + loadPenalty*r.load
	if r.remote {
		wait *= 1 + remotePenalty
	}
	return wait
}

// recordLatency records a latency. With lowerBound the request was ended before its answer and would
// have taken at least that long.
func (r *replica) recordLatency(now core.Time, latency time.Duration, lowerBound bool) {
	sample := float64(latency)
	switch {
	case r.latencyNs == 0:
		r.latencyNs = sample
	case !lowerBound || sample > r.latencyNs:
		r.latencyNs += latencyGain * (sample - r.latencyNs)
	}
	r.sampledAt = now
}

// recordOutcome updates the failure rate: 1 is a failure, 0 an answer.
func (r *replica) recordOutcome(failure float64) {
	r.failureRate += failureGain * (failure - r.failureRate)
}

// nextBackoff doubles a wait within bounds and returns it with jitter, so that replicas of a shard
// that failed together are not probed together.
func nextBackoff(wait *time.Duration, shortest, longest time.Duration, jitter Jitter) time.Duration {
	*wait = min(max(2**wait, shortest), longest)
	if jitter == nil {
		return *wait
	}
	return *wait/2 + time.Duration(jitter.Float64()*float64(*wait))
}
