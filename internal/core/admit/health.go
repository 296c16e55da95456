package admit

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// chartInput is the input of the replica state chart.
type chartInput struct {
	now     core.Time
	replica *replica
	jitter  Jitter
	// inFlight is the number of requests in flight when the request was sent. The number at its end would
	// be lower for the later of several refusals, and would lower the limit once for each of them.
	inFlight int
	result   TryEnded
	// enoughOthers is set if enough other replicas are usable to take this one out.
	enoughOthers bool
}

var healthChart = chart.Must(chart.Source("replica"), chart.Bindings[*chartInput]{
	Guards: map[string]func(*chartInput) bool{
		"ramped":        func(i *chartInput) bool { return i.replica.Ramped() },
		"many_failures": func(i *chartInput) bool { return i.enoughOthers && i.replica.failures+1 >= failuresUntilDown },
		"unconnected":   func(i *chartInput) bool { return i.replica.inFlight <= 1 },
	},
	Actions: map[string]func(*chartInput){
		"ramp_up":        func(i *chartInput) { i.replica.RampUp() },
		"count_failure":  (*chartInput).countFailure,
		"clear_failures": (*chartInput).clearFailures,
		"lower_refused":  func(i *chartInput) { i.replica.RecordConnectionRefused(i.inFlight) },
		"lower_shed":     (*chartInput).lowerLimitAfterShed,
		"plan_probe":     (*chartInput).scheduleProbe,
		"probe_now":      func(i *chartInput) { i.replica.probeAt = i.now },
		"hold_drain":     func(i *chartInput) { i.replica.drainSeenAt = i.now },
		"restart":        func(i *chartInput) { i.replica.RestartRamp() },
	},
})

var (
	stateCold     = healthChart.State("cold")
	stateLive     = healthChart.State("live")
	stateSuspect  = healthChart.State("suspect")
	stateDown     = healthChart.State("down")
	stateDraining = healthChart.State("draining")
	stateGone     = healthChart.State("gone")

	eventSucceeded = healthChart.Event("succeeded")
	eventFailed    = healthChart.Event("failed")
	eventRefused   = healthChart.Event("refused")
	eventShed      = healthChart.Event("shed")
	eventDrainSeen = healthChart.Event("drain_seen")
	eventUndrained = healthChart.Event("undrained")
	eventHoldOver  = healthChart.Event("hold_over")
	eventRemoved   = healthChart.Event("removed")
	eventRestored  = healthChart.Event("restored")
)

func (i *chartInput) countFailure() {
	i.replica.failures++
	i.replica.recordOutcome(1)
}

func (i *chartInput) clearFailures() {
	i.replica.failures = 0
	i.replica.recordOutcome(0)
	i.replica.pause = 0
	i.replica.probeInterval = 0
}

// lowerLimitAfterShed lowers the limit, unless the refusal is the first one in its window. A limit of
// 1 cannot be lowered, and the queue would be drained into refusals. The replica is therefore paused
// for a growing time, at least for the time that it asked for.
func (i *chartInput) lowerLimitAfterShed() {
	lowered := i.replica.RecordShed(i.inFlight)
	if !lowered || i.inFlight > 1 {
		return
	}
	wait := nextBackoff(&i.replica.pause, minPause, maxPause, i.jitter)
	i.replica.pausedUntil = i.now + max(wait, min(i.result.RetryAfter, maxPause))
}

func (i *chartInput) scheduleProbe() {
	i.replica.probeAt = i.now + nextBackoff(&i.replica.probeInterval, minProbeInterval, maxProbeInterval, i.jitter)
	i.replica.recordOutcome(1)
}

// fire applies an event to the state chart of a replica and reports a state change.
func (s *Shard) fire(r *replica, event chart.Event, i chartInput) {
	from := r.state
	i.replica, i.jitter, i.enoughOthers = r, s.config.Jitter, s.enoughUsableWithoutOne()
	r.state = healthChart.Fire(from, event, &i)
	if r.state != from {
		s.actions = append(s.actions, HealthChanged{Address: r.Address, From: healthChart.Name(from), To: healthChart.Name(r.state)})
	}
}

// enoughUsableWithoutOne reports whether at least half of the replicas stay usable if one more is
// taken out. When the requests of a shard fail on all replicas, the cause is not a single replica:
// taking them all out would turn partial failure into total failure.
func (s *Shard) enoughUsableWithoutOne() bool {
	usable := 0
	for _, r := range s.replicas {
		if r.usable() {
			usable++
		}
	}
	return 2*(usable-1) >= len(s.replicas)
}
