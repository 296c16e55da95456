// Package night decides when a replica without traffic is probed, so that a
// service that dies while nobody asks is seen before somebody does.
//
// Replicas that answer real requests are never probed. The others are probed
// once a sweep, spread evenly; a failed probe is confirmed soon after before
// anything is reported.
package night

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// The life of a watched replica, in internal/chart/charts/idle_replica.yaml.
var (
	lifeCycle = chart.Must(chart.Source("idle_replica"), chart.Bindings[*turn]{
		Actions: map[string]func(*turn){
			"wait_sweep":   (*turn).waitSweep,
			"confirm_soon": (*turn).confirmSoon,
			"report":       (*turn).report,
			"take_back":    (*turn).takeBack,
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

// Config paces the probes.
type Config struct {
	// SweepInterval is the time in which each idle replica is probed once.
	SweepInterval time.Duration
	// ConfirmDelay is the time from a failed probe to the next of the same replica.
	ConfirmDelay time.Duration
	// MinSpacing is the least time between two probes of this node.
	MinSpacing time.Duration
	// MaxInFlight is how many probes run at once.
	MaxInFlight int
}

// Event is what happened.
type Event interface{ isEvent() }

// TargetsAssigned lists the replicas that this node is to watch, in a stable order.
type TargetsAssigned struct{ Targets []Target }

// ProbeSkipped says that a replica answered real traffic at a time, instead of the
// probe that was wanted.
type ProbeSkipped struct {
	Target Target
	At     core.Time
}

// ProbeEnded is the end of a probe.
type ProbeEnded struct {
	Target Target
	Alive  bool
}

// Woken says that the time asked for by WakeAt has come.
type Woken struct{}

func (TargetsAssigned) isEvent() {}
func (ProbeSkipped) isEvent()    {}
func (ProbeEnded) isEvent()      {}
func (Woken) isEvent()           {}

// Action is what is to be done.
type Action interface{ isAction() }

// StartProbe asks for one probe, to be answered by Probed or Answered.
type StartProbe struct{ Target Target }

// ReplicaDown reports a replica, again with each further failed probe, once a
// sweep.
type ReplicaDown struct{ Target Target }

// ReplicaUp takes the report back.
type ReplicaUp struct{ Target Target }

// ShardStalled reports a shard none of whose replicas answers.
type ShardStalled struct{ Ref core.ShardRef }

// ShardRecovered takes the report back.
type ShardRecovered struct{ Ref core.ShardRef }

// WakeAt asks for Woken at a time. A step without it asks for none.
type WakeAt struct{ At core.Time }

func (StartProbe) isAction()     {}
func (ReplicaDown) isAction()    {}
func (ReplicaUp) isAction()      {}
func (ShardStalled) isAction()   {}
func (ShardRecovered) isAction() {}
func (WakeAt) isAction()         {}

// replica is what is known of one target.
type replica struct {
	target  Target
	due     core.Time
	probing bool
	state   chart.State
}

func (r *replica) down() bool { return r.state == stateDown }

// turn is one event of one replica, the subject of its chart. at is when the
// replica was asked or answered.
type turn struct {
	machine *Machine
	replica *replica
	at      core.Time
}

// waitSweep sets the next probe. It holds for replicas that are down too: many
// of them probed again at the pace of confirmations would crowd out the first
// probes of the others, which would then be reported late.
func (t *turn) waitSweep() { t.replica.due = t.at + t.machine.config.SweepInterval }

func (t *turn) confirmSoon() { t.replica.due = t.at + t.machine.config.ConfirmDelay }

func (t *turn) report() { t.machine.act(ReplicaDown{Target: t.replica.target}) }

func (t *turn) takeBack() { t.machine.act(ReplicaUp{Target: t.replica.target}) }

// Machine watches the replicas of one node.
type Machine struct {
	config   Config
	replicas map[Target]*replica
	order    []*replica
	stalled  map[core.ShardRef]bool
	nextAt   core.Time
	inFlight int
	actions  []Action
}

// New makes a machine that watches nothing yet.
func New(config Config) *Machine {
	return &Machine{config: config, replicas: map[Target]*replica{}, stalled: map[core.ShardRef]bool{}}
}

// Step takes one event.
func (m *Machine) Step(now core.Time, e Event) []Action {
	m.actions = nil
	switch e := e.(type) {
	case TargetsAssigned:
		m.owned(now, e.Targets)
	case ProbeSkipped:
		m.ended(e.Target)
		m.fire(e.Target, eventAnswered, e.At)
	case ProbeEnded:
		m.ended(e.Target)
		m.probed(now, e)
	}
	m.start(now)
	m.wake(now)
	return m.actions
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

// owned takes up new targets, their first probes spread over a sweep, and
// forgets those that another node watches from now on.
func (m *Machine) owned(now core.Time, targets []Target) {
	kept := make(map[Target]*replica, len(targets))
	m.order = m.order[:0]
	for i, target := range targets {
		known := m.replicas[target]
		if known == nil {
			known = &replica{target: target, due: now + m.config.SweepInterval*time.Duration(i)/time.Duration(len(targets))}
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
		if known.down() {
			m.act(ReplicaUp{Target: target})
		}
		m.judge(target.Ref)
	}
}

// ended notes that a probe is over, whatever its result.
func (m *Machine) ended(target Target) {
	if known := m.replicas[target]; known != nil && known.probing {
		known.probing = false
		m.inFlight--
	}
}

func (m *Machine) probed(now core.Time, e ProbeEnded) {
	if e.Alive {
		m.fire(e.Target, eventAnswered, now)
	} else {
		m.fire(e.Target, eventFailed, now)
	}
}

// fire moves a replica's chart and, when its report changed, its shard's.
func (m *Machine) fire(target Target, event chart.Event, at core.Time) {
	known := m.replicas[target]
	if known == nil {
		return
	}
	wasDown := known.down()
	known.state = lifeCycle.Fire(known.state, event, &turn{machine: m, replica: known, at: at})
	if wasDown || known.down() {
		m.judge(target.Ref)
	}
}

// judge compares what is reported of a shard with what its replicas show.
func (m *Machine) judge(ref core.ShardRef) {
	total, down := 0, 0
	for _, known := range m.order {
		if known.target.Ref != ref {
			continue
		}
		total++
		if known.down() {
			down++
		}
	}
	stalled := total > 0 && down == total
	switch {
	case stalled:
		m.stalled[ref] = true
		m.act(ShardStalled{Ref: ref})
	case m.stalled[ref]:
		delete(m.stalled, ref)
		m.act(ShardRecovered{Ref: ref})
	}
}

// start begins the probe that is due for longest, when the pace allows one.
func (m *Machine) start(now core.Time) {
	if now < m.nextAt || m.inFlight >= m.config.MaxInFlight {
		return
	}
	next := m.earliest()
	if next == nil || next.due > now {
		return
	}
	next.probing = true
	m.inFlight++
	m.nextAt = now + m.config.MinSpacing
	m.act(StartProbe{Target: next.target})
}

// earliest is the replica due for longest, or next.
func (m *Machine) earliest() *replica {
	var best *replica
	for _, r := range m.order {
		if !r.probing && (best == nil || r.due < best.due) {
			best = r
		}
	}
	return best
}

// wake asks to be woken for the next probe. With all probes in flight, the end
// of one of them does it.
func (m *Machine) wake(now core.Time) {
	next := m.earliest()
	if next == nil || m.inFlight >= m.config.MaxInFlight {
		return
	}
	m.act(WakeAt{At: max(next.due, m.nextAt, now)})
}

// Parts of the time within which a dead replica is reported: a sweep finds it,
// one probe fails, and a second one confirms it.
const (
	sweepNumerator     = 7
	sweepDenominator   = 12
	confirmDenominator = 12
	probeDenominator   = 20
	spacingDenominator = 1200
)

// ConfigFor derives the pace from the time within which a dead replica is to be
// reported. With 16 probes in flight the promise holds for up to 700 replicas a
// node, of which up to 130 fall silent at once. With more, the spacing makes a
// sweep longer, or all probes in flight wait for silent replicas.
func ConfigFor(reportWithin time.Duration, inFlight int) Config {
	return Config{
		SweepInterval: reportWithin * sweepNumerator / sweepDenominator,
		ConfirmDelay:  reportWithin / confirmDenominator,
		MinSpacing:    reportWithin / spacingDenominator,
		MaxInFlight:   inFlight,
	}
}

// ProbeTimeout is the longest that one probe may take, of those that Paced
// counts on.
func ProbeTimeout(reportWithin time.Duration) time.Duration {
	return reportWithin / probeDenominator
}
