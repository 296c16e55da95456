package query

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// never is a time that does not come.
const never = core.Time(1<<63 - 1)

// spareActions is room for the actions that are not sends.
const spareActions = 4

// Machine is one question's state. It is not safe for concurrent use.
type Machine struct {
	plan     *Plan
	options  Options
	state    chart.State
	now      core.Time
	needs    []needState
	services []serviceState
	// sends holds every send of the question; the id is the place plus one.
	sends []sendState
	// target is the version asked for; 0 until a first part names one.
	target core.Version
	// first is the version that the first part named.
	first core.Version
	// versionsChanged asks for a new look at the versions, dueChanged for a
	// look at which shards to ask, replan for a newer text.
	versionsChanged bool
	// versionsDiffer is set once a shard lacked the target.
	versionsDiffer bool
	dueChanged     bool
	replan         bool
	// alarmed is set when the alarm has rung: only then can an owner have become
	// silent.
	alarmed bool
	// offered is the plan of a newer text, while its event is answered.
	offered *Plan
	// offeredPrecautions apply to offered.
	offeredPrecautions Precautions
	// broken holds the services of which a replica closed the connection instead of answering. gaveUp holds those where
	// this happened while the service was on trial. allServices is a key of both. Both are nil until the first such failure.
	broken, gaveUp map[int]bool
	// answered and settled count the needs at the target.
	answered  int
	settled   int
	wake      core.Time
	wakeSet   bool
	switches  int
	replans   int
	retries   int
	fallbacks int
	dropped   int
	actions   []Action
	// due is scratch space of askDue.
	due []int
}

// needState is what is known of one shard.
type needState struct {
	// parts holds the shard's part for each version that answered.
	parts []versionPart
	// serves lists the versions the shard said it has; nil is not known.
	serves []core.Version
	// open counts the sends that may still bring a part.
	open int
	// rank is the place in the bundle's order to ask next.
	rank int
	// failures, reroutes and gone count, at the target, the tries that failed,
	// that reached nobody who could run them, and that found the version gone.
	failures int
	reroutes int
	gone     int
	// retryAt is when the shard may be asked again; 0 when not waiting.
	retryAt core.Time
	// asked is set once the shard's first try was counted.
	asked bool
	// settled is set when the shard gets no further try at the target.
	settled bool
	failure failure
	// broken is set once a replica of the shard closed the connection instead of answering, gaveUp once this happened
	// during a trial. trial is that of the newest send.
	broken, gaveUp bool
	trial          Trial
}

// failure is why a shard gave no part, and at which version it was asked.
type failure struct {
	reason  core.Reason
	version core.Version
}

type versionPart struct {
	version core.Version
	payload []byte
}

// serviceState counts a service's shards, and those of its direct dependencies,
// at the target.
type serviceState struct {
	answered    int
	settled     int
	depShards   int
	depAnswered int
	depSettled  int
}

// New prepares a question; the Started event begins it.
func New(plan *Plan, options Options) *Machine {
	m := &Machine{options: options.withDefaults(), target: options.Preferred, wake: never}
	m.sends = make([]sendState, 0, plan.bundles)
	m.actions = make([]Action, 0, plan.bundles+spareActions)
	m.take(plan)
	return m
}

// take starts the plan with nothing known of its shards.
func (m *Machine) take(plan *Plan) {
	m.plan = plan
	m.broken, m.gaveUp = nil, nil
	m.needs = make([]needState, len(plan.Needs))
	m.services = make([]serviceState, len(plan.Services))
	// One array holds the first part of every shard: most have only one.
	parts := make([]versionPart, len(plan.Needs))
	for i := range m.needs {
		m.needs[i].parts = parts[i : i : i+1]
	}
	m.recount()
}

// recount computes the counts at the target from the shards' states.
func (m *Machine) recount() {
	m.answered, m.settled = 0, 0
	clear(m.services)
	for i := range m.services {
		for _, dependency := range m.plan.Services[i].DependsOn {
			m.services[i].depShards += len(m.plan.Services[dependency].Shards)
		}
	}
	for index := range m.needs {
		switch {
		case m.hasTarget(index):
			m.countAnswered(index)
		case m.needs[index].settled:
			m.countSettled(index)
		}
	}
	m.dueChanged = true
}

func (m *Machine) countAnswered(index int) {
	service := m.plan.Needs[index].Service
	m.answered++
	m.services[service].answered++
	for _, dependent := range m.plan.Services[service].dependents {
		m.services[dependent].depAnswered++
		m.dueChanged = m.dueChanged || m.ready(dependent)
	}
}

func (m *Machine) countSettled(index int) {
	service := m.plan.Needs[index].Service
	m.settled++
	m.services[service].settled++
	for _, dependent := range m.plan.Services[service].dependents {
		m.services[dependent].depSettled++
		m.dueChanged = m.dueChanged || m.ready(dependent)
	}
}

// settle ends the tries of a shard at the target.
func (m *Machine) settle(index int, reason core.Reason) {
	need := &m.needs[index]
	need.failure = failure{reason, m.target}
	need.settled = true
	m.countSettled(index)
}

// Plan returns the question's plan.
func (m *Machine) Plan() *Plan { return m.plan }

// State names the question's state, for dumps and tests.
func (m *Machine) State() string { return lifeCycle.Name(m.state) }

// Parts returns a service's parts at the version, for its dependents.
func (m *Machine) Parts(service int, version core.Version) []Part {
	shards := m.plan.Services[service].Shards
	parts := make([]Part, 0, len(shards))
	for _, need := range shards {
		if payload, ok := m.needs[need].part(version); ok {
			parts = append(parts, Part{Ref: m.plan.Needs[need].Ref, Payload: payload})
		}
	}
	return parts
}

func (n *needState) part(version core.Version) ([]byte, bool) {
	for i := range n.parts {
		if n.parts[i].version == version {
			return n.parts[i].payload, true
		}
	}
	return nil, false
}

// lacks reports whether the shard said that it does not have the version.
func (n *needState) lacks(version core.Version) bool {
	return n.serves != nil && !slices.Contains(n.serves, version)
}

func (m *Machine) hasTarget(index int) bool {
	_, ok := m.needs[index].part(m.target)
	return ok && m.target != 0
}

// ready reports whether the service may be asked: its dependencies' shards are
// all answered or settled, or, for an early answer, enough of them answered.
func (m *Machine) ready(service int) bool {
	s := &m.services[service]
	if s.depAnswered+s.depSettled == s.depShards {
		return true
	}
	return m.options.Preference == PreferEarly && s.depAnswered >= m.options.leastOf(s.depShards)
}

// complete reports whether nothing more can or need be waited for.
func (m *Machine) complete() bool {
	if m.answered+m.settled == len(m.needs) {
		return true
	}
	if m.options.Preference != PreferEarly || m.answered < m.options.leastOf(len(m.needs)) {
		return false
	}
	last := len(m.services) - 1
	return m.services[last].answered > 0 || m.services[last].settled == len(m.plan.Services[last].Shards)
}

// setWake asks for the next alarm when it changed.
func (m *Machine) setWake() {
	if m.wakeSet {
		return
	}
	m.wakeSet = true
	m.actions = append(m.actions, WakeAt{At: m.wake})
}

// wakeBy moves the alarm forward. An alarm that comes early does no harm, so
// it is only moved back when it has rung.
func (m *Machine) wakeBy(at core.Time) {
	if at < m.wake {
		m.wake = at
		m.wakeSet = false
	}
}

// rang computes the next alarm after one rang.
func (m *Machine) rang() {
	m.wake = m.options.Deadline
	m.wakeSet = false
	m.dueChanged = true
	m.alarmed = true
	for i := range m.needs {
		if at := m.needs[i].retryAt; at > m.now {
			m.wakeBy(at)
		}
	}
	for i := range m.sends {
		if at := m.sends[i].silentAt; m.sends[i].open() && at > m.now {
			m.wakeBy(at)
		}
	}
}
