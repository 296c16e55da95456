package admit

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// incident is what a replica's chart works on.
type incident struct {
	now     core.Time
	replica *replica
	jitter  Jitter
	// inFlight is the number in flight when the request was sent. The number at
	// its end would be lower for the later of several refusals, and lower the
	// limit once for each.
	inFlight int
	result   TryEnded
	// spare says that enough other replicas are usable to do without this one.
	spare bool
}

var lifeCycle = chart.Must(chart.Source("replica"), chart.Bindings[*incident]{
	Guards: map[string]func(*incident) bool{
		"ramped":        func(i *incident) bool { return i.replica.ramped() },
		"many_failures": func(i *incident) bool { return i.spare && i.replica.failures+1 >= failuresToDown },
		"unconnected":   func(i *incident) bool { return i.replica.inFlight <= 1 },
	},
	Actions: map[string]func(*incident){
		"ramp_up":        func(i *incident) { i.replica.ramp() },
		"count_failure":  (*incident).countFailure,
		"clear_failures": (*incident).clearFailures,
		"lower_refused":  func(i *incident) { i.replica.lower(i.inFlight, refusedFactor) },
		"lower_shed":     (*incident).lowerShed,
		"plan_probe":     (*incident).planProbe,
		"probe_now":      func(i *incident) { i.replica.probeAt = i.now },
		"hold_drain":     func(i *incident) { i.replica.drainedAt = i.now },
		"restart":        func(i *incident) { i.replica.restart() },
	},
})

var (
	stateCold     = lifeCycle.State("cold")
	stateLive     = lifeCycle.State("live")
	stateSuspect  = lifeCycle.State("suspect")
	stateDown     = lifeCycle.State("down")
	stateDraining = lifeCycle.State("draining")
	stateGone     = lifeCycle.State("gone")

	eventSucceeded = lifeCycle.Event("succeeded")
	eventFailed    = lifeCycle.Event("failed")
	eventRefused   = lifeCycle.Event("refused")
	eventShed      = lifeCycle.Event("shed")
	eventDrainSeen = lifeCycle.Event("drain_seen")
	eventUndrained = lifeCycle.Event("undrained")
	eventHoldOver  = lifeCycle.Event("hold_over")
	eventRemoved   = lifeCycle.Event("removed")
	eventRestored  = lifeCycle.Event("restored")
)

func (i *incident) countFailure() {
	i.replica.failures++
	i.replica.rate(1)
}

func (i *incident) clearFailures() {
	i.replica.failures = 0
	i.replica.rate(0)
	i.replica.pause = 0
	i.replica.probeWait = 0
}

// lowerShed lowers the limit, unless the refusal is the first in its window. At a
// limit of 1 there is nothing to lower, and a queue would be drained into
// refusals: the replica gets nothing for a growing time, at least the one it asked
// for itself.
func (i *incident) lowerShed() {
	lowered := i.replica.shed(i.inFlight)
	if !lowered || i.inFlight > 1 {
		return
	}
	wait := lengthen(&i.replica.pause, firstPause, longestPause, i.jitter)
	i.replica.pausedUntil = i.now + max(wait, min(i.result.RetryAfter, longestPause))
}

func (i *incident) planProbe() {
	i.replica.probeAt = i.now + lengthen(&i.replica.probeWait, firstProbe, longestProbe, i.jitter)
	i.replica.rate(1)
}

// fire moves a replica's life cycle on and tells of a new state.
func (s *Shard) fire(r *replica, event chart.Event, i incident) {
	from := r.state
	i.replica, i.jitter, i.spare = r, s.config.Jitter, s.canSpare()
	r.state = lifeCycle.Fire(from, event, &i)
	if r.state != from {
		s.actions = append(s.actions, HealthChanged{Address: r.Address, From: lifeCycle.Name(from), To: lifeCycle.Name(r.state)})
	}
}

// canSpare reports whether half of the replicas stay usable without one more.
// When a shard's requests fail everywhere, the cause is not one replica: taking
// them all out would turn a share of errors into no answers at all.
func (s *Shard) canSpare() bool {
	usable := 0
	for _, r := range s.replicas {
		if r.usable() {
			usable++
		}
	}
	return 2*(usable-1) >= len(s.replicas)
}
