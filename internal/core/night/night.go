// Package night schedules probes of replicas without traffic, so that a dead service
// without requests is detected before the next request for it.
//
// Replicas that answer real requests are never probed. The others are probed once per
// sweep, evenly spread over it. A failed probe is confirmed by a second one before the
// replica is reported.
package night

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// State chart of a watched replica, in internal/chart/charts/idle_replica.yaml.
var (
	lifeCycle = chart.Must(chart.Source("idle_replica"), chart.Bindings[*transition]{
		Actions: map[string]func(*transition){
			"wait_sweep":   (*transition).waitSweep,
			"confirm_soon": (*transition).confirmSoon,
			"report":       (*transition).report,
			"take_back":    (*transition).takeBack,
		},
	})
	stateDown     = lifeCycle.State("down")
	eventAnswered = lifeCycle.Event("answered")
	eventFailed   = lifeCycle.Event("failed")
)

// Target is one replica of one shard.
type Target struct {
	Ref     core.ShardRef
	Address string
}

// Config sets the rate of the probes.
type Config struct {
	// SweepInterval is the time in which each idle replica is probed once.
	SweepInterval time.Duration
	// ConfirmDelay is the time from a first failed probe to the next probe of the same
	// replica.
	ConfirmDelay time.Duration
	// MinSpacing is the minimum time between the starts of two probes of this node.
	MinSpacing time.Duration
	// MaxInFlight is the maximum number of probes in flight.
	MaxInFlight int
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// TargetsAssigned lists the replicas that this node watches, in a stable order.
type TargetsAssigned struct{ Targets []Target }

// ProbeSkipped reports that a requested probe was not sent, because the replica
// answered real traffic at a given time.
type ProbeSkipped struct {
	Target Target
	At     core.Time
}

// ProbeEnded reports the result of a probe.
type ProbeEnded struct {
	Target Target
	Alive  bool
}

// Woken reports that the time requested by WakeAt has come.
type Woken struct{}

func (TargetsAssigned) isEvent() {}
func (ProbeSkipped) isEvent()    {}
func (ProbeEnded) isEvent()      {}
func (Woken) isEvent()           {}

// Action is an output of the machine for the caller to execute.
type Action interface{ isAction() }

// StartProbe requests one probe. ProbeEnded or ProbeSkipped must follow.
type StartProbe struct{ Target Target }

// ReplicaDown reports that a replica is down. It is repeated with each further failed
// probe, once per sweep.
type ReplicaDown struct{ Target Target }

// ReplicaUp withdraws the report of ReplicaDown.
type ReplicaUp struct{ Target Target }

// ShardStalled reports a shard of which all replicas are down.
type ShardStalled struct{ Ref core.ShardRef }

// ShardRecovered withdraws the report of ShardStalled.
type ShardRecovered struct{ Ref core.ShardRef }

// WakeAt requests Woken at a time. A step without WakeAt requests no wake-up.
type WakeAt struct{ At core.Time }

func (StartProbe) isAction()     {}
func (ReplicaDown) isAction()    {}
func (ReplicaUp) isAction()      {}
func (ShardStalled) isAction()   {}
func (ShardRecovered) isAction() {}
func (WakeAt) isAction()         {}

// replica is the state of one target.
type replica struct {
	target  Target
	dueAt   core.Time
	probing bool
	state   chart.State
}

func (r *replica) isDown() bool { return r.state == stateDown }

// transition is one event of one replica, the subject of its state chart. at is when
// the replica was probed or answered.
type transition struct {
	machine *Machine
	replica *replica
	at      core.Time
}

// waitSweep schedules the next probe one sweep later, for replicas that are down too:
// probing many of them at the interval of confirmations would delay the first probes of
// other replicas, and these would be reported late.
func (t *transition) waitSweep() { t.replica.dueAt = t.at + t.machine.config.SweepInterval }

func (t *transition) confirmSoon() { t.replica.dueAt = t.at + t.machine.config.ConfirmDelay }

func (t *transition) report() { t.machine.emit(ReplicaDown{Target: t.replica.target}) }

func (t *transition) takeBack() { t.machine.emit(ReplicaUp{Target: t.replica.target}) }

// Machine schedules the probes of the replicas that one node watches.
type Machine struct {
	config      Config
	replicas    map[Target]*replica
	order       []*replica
	stalled     map[core.ShardRef]bool
	nextProbeAt core.Time
	inFlight    int
	actions     []Action
}

// New returns a machine without targets.
func New(config Config) *Machine {
	return &Machine{config: config, replicas: map[Target]*replica{}, stalled: map[core.ShardRef]bool{}}
}

// Step handles one event and returns the resulting actions.
func (m *Machine) Step(now core.Time, e Event) []Action {
	m.actions = nil
	switch e := e.(type) {
	case TargetsAssigned:
		m.assign(now, e.Targets)
	case ProbeSkipped:
		m.clearInFlight(e.Target)
		m.fire(e.Target, eventAnswered, e.At)
	case ProbeEnded:
		m.clearInFlight(e.Target)
		m.handleProbeEnd(now, e)
	}
	m.startDueProbe(now)
	m.requestWake(now)
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// assign replaces the watched targets. The first probes of new targets are spread over
// a sweep; targets that another node watches now are removed.
func (m *Machine) assign(now core.Time, targets []Target) {
	kept := make(map[Target]*replica, len(targets))
	m.order = m.order[:0]
	for i, target := range targets {
		known := m.replicas[target]
		if known == nil {
			known = &replica{target: target, dueAt: now + m.config.SweepInterval*time.Duration(i)/time.Duration(len(targets))}
		}
		kept[target] = known
		m.order = append(m.order, known)
	}
	old := m.replicas
	m.replicas = kept
	for target, known := range old {
		if kept[target] != nil {
			continue
		}
		if known.probing {
			m.inFlight--
		}
		if known.isDown() {
			m.emit(ReplicaUp{Target: target})
		}
		m.updateShardReport(target.Ref)
	}
}

// clearInFlight records that a probe has ended, whatever its result.
func (m *Machine) clearInFlight(target Target) {
	if known := m.replicas[target]; known != nil && known.probing {
		known.probing = false
		m.inFlight--
	}
}

func (m *Machine) handleProbeEnd(now core.Time, e ProbeEnded) {
	if e.Alive {
		m.fire(e.Target, eventAnswered, now)
	} else {
		m.fire(e.Target, eventFailed, now)
	}
}

// fire applies an event to a replica's state chart and updates the report of its shard
// if the replica is or was down.
func (m *Machine) fire(target Target, event chart.Event, at core.Time) {
	known := m.replicas[target]
	if known == nil {
		return
	}
	wasDown := known.isDown()
	known.state = lifeCycle.Fire(known.state, event, &transition{machine: m, replica: known, at: at})
	if wasDown || known.isDown() {
		m.updateShardReport(target.Ref)
	}
}

// updateShardReport reports a shard as stalled if all its replicas are down, and
// withdraws the report otherwise.
func (m *Machine) updateShardReport(ref core.ShardRef) {
	total, down := 0, 0
	for _, known := range m.order {
		if known.target.Ref != ref {
			continue
		}
		total++
		if known.isDown() {
			down++
		}
	}
	stalled := total > 0 && down == total
	switch {
	case stalled:
		m.stalled[ref] = true
		m.emit(ShardStalled{Ref: ref})
	case m.stalled[ref]:
		delete(m.stalled, ref)
		m.emit(ShardRecovered{Ref: ref})
	}
}

// startDueProbe starts the most overdue probe if spacing and the limit in flight allow
// one.
func (m *Machine) startDueProbe(now core.Time) {
	if now < m.nextProbeAt || m.inFlight >= m.config.MaxInFlight {
		return
	}
	next := m.nextDue()
	if next == nil || next.dueAt > now {
		return
	}
	next.probing = true
	m.inFlight++
	m.nextProbeAt = now + m.config.MinSpacing
	m.emit(StartProbe{Target: next.target})
}

// nextDue returns the replica with the earliest due time that is not being probed, or
// nil.
func (m *Machine) nextDue() *replica {
	var best *replica
	for _, r := range m.order {
		if !r.probing && (best == nil || r.dueAt < best.dueAt) {
			best = r
		}
	}
	return best
}

// requestWake requests a wake-up for the next probe. With the maximum of probes in
// flight, the end of one of them triggers the next step instead.
func (m *Machine) requestWake(now core.Time) {
	next := m.nextDue()
	if next == nil || m.inFlight >= m.config.MaxInFlight {
		return
	}
	m.emit(WakeAt{At: max(next.dueAt, m.nextProbeAt, now)})
}

// Fractions of the time within which a dead replica must be reported: it is found
// within a sweep, its first probe fails, and a second one confirms the failure.
const (
	sweepNumerator     = 7
	sweepDenominator   = 12
	confirmDenominator = 12
	probeDenominator   = 20
	spacingDenominator = 1200
)

// ConfigFor derives the configuration from the time within which a dead replica must be
// reported. With 16 probes in flight this time is kept for up to 700 replicas per node,
// of which up to 130 stop responding at once. With more, the spacing makes a sweep
// longer, or all probes in flight wait for unresponsive replicas.
func ConfigFor(reportWithin time.Duration, inFlight int) Config {
	return Config{
		SweepInterval: reportWithin * sweepNumerator / sweepDenominator,
		ConfirmDelay:  reportWithin / confirmDenominator,
		MinSpacing:    reportWithin / spacingDenominator,
		MaxInFlight:   inFlight,
	}
}

// ProbeTimeout returns the time-out of one probe that ConfigFor assumes.
func ProbeTimeout(reportWithin time.Duration) time.Duration {
	return reportWithin / probeDenominator
}
