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

var healthChart = chart.Must(chart.Source("replica"), chart.Bindings[*incident]{
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
	eventProbed    = healthChart.Event("probed")
	eventRemoved   = healthChart.Event("removed")
	eventRestored  = healthChart.Event("restored")
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

// lowerShed lowers the limit, unless the refusal is the first in its window. At a limit of 1 there is nothing to lower, and a
// queue would be drained into refusals: the replica gets nothing for a growing
// time, at least the one it asked for itself.
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
	r.state = healthChart.Fire(from, event, &i)
	if r.state != from {
		s.actions = append(s.actions, HealthChanged{Address: r.Address, From: healthChart.Name(from), To: healthChart.Name(r.state)})
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

// observe learns from the end of a request. What requests did outweighs what
// the upstream says of its own load.
func (s *Shard) observe(now core.Time, t *try, e TryEnded) {
	r := t.replica
	elapsed := now - t.started
	i := incident{now: now, inFlight: t.inFlight, result: e}
	if e.Load >= 0 {
		r.load = min(e.Load, 1)
	}
	if e.Draining || e.Reason == core.ReasonDraining {
		s.fire(r, eventDrainSeen, i)
	}
	switch s.verdict(t, e, elapsed) {
	case verdictAnswered:
		r.learn(now, elapsed, false)
		s.learn(elapsed)
		if r.state == stateLive {
			r.answered(elapsed)
		}
		s.fire(r, eventSucceeded, i)
	case verdictAlive:
		s.fire(r, eventSucceeded, i)
	case verdictCut:
		r.learn(now, elapsed, true)
		s.service.Record(elapsed)
		if r.state == stateDown {
			// A hedge overtook the probe: without this a silent replica would
			// be probed by every request.
			s.fire(r, eventFailed, i)
		}
	case verdictRefused:
		s.fire(r, eventRefused, i)
	case verdictShed:
		s.fire(r, eventShed, i)
	case verdictFailed:
		s.fire(r, eventFailed, i)
	case verdictTimedOut:
		r.learn(now, elapsed, true)
		s.service.Record(elapsed)
		s.fire(r, eventFailed, i)
	}
}

// verdict is what the end of a request says about its replica.
type verdict uint8

const (
	verdictNothing verdict = iota
	verdictAnswered
	verdictAlive
	verdictCut
	verdictRefused
	verdictShed
	verdictFailed
	verdictTimedOut
)

func (s *Shard) verdict(t *try, e TryEnded, elapsed core.Time) verdict {
	switch {
	case e.Outcome == core.Done:
		return verdictAnswered
	case e.Refused:
		return verdictRefused
	case e.Outcome == core.NotRun && e.Reason == core.ReasonOverloaded:
		return verdictShed
	case e.Outcome == core.NotRun && e.Reason == core.ReasonVersionGone:
		return verdictAlive
	case e.Reason == core.ReasonDraining:
		return verdictNothing
	case t.aborted || e.Reason == core.ReasonCancelled:
		// The elapsed time is a lower bound. Leaving the losers of hedges out
		// would make the learnt quantile sink and hedges grow.
		return verdictCut
	case e.Reason == core.ReasonDeadline && elapsed < s.patience():
		// The caller left little time: that says nothing of the replica.
		return verdictCut
	case e.Reason == core.ReasonDeadline:
		return verdictTimedOut
	case byReplica(e):
		return verdictFailed
	default:
		return verdictNothing
	}
}

// patience is how long a silent replica is given before its silence counts as
// a failure.
func (s *Shard) patience() core.Time {
	usual, _ := s.service.Quantile(slowQuantile)
	return 2 * usual
}
