package query

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// maxTime is the initial alarm time, later than any deadline.
const maxTime = core.Time(1<<63 - 1)

// nonSendActions is the capacity reserved for actions other than sends.
const nonSendActions = 4

// Machine is the state of one query. It is not safe for concurrent use.
type Machine struct {
	plan     *Plan
	options  Options
	state    chart.State
	now      core.Time
	needs    []needState
	services []serviceState
	// sends holds every send of the query. A send's ID is its index plus one.
	sends []sendState
	// target is the version that is requested. It is 0 until the first part determines it.
	target core.Version
	// firstVersion is the version of the first part.
	firstVersion core.Version
	// versionsChanged requires the choice of version to be re-evaluated, dueChanged the selection
	// of shards to ask. replanNeeded requires a newer configuration to be requested.
	versionsChanged bool
	// versionsDiffer is set once a shard lacks the target.
	versionsDiffer bool
	dueChanged     bool
	replanNeeded   bool
	// alarmFired is set when the alarm has fired. Only then can an owner have exceeded
	// FallbackAfter.
	alarmFired bool
	// offered is the plan of a newer configuration while its event is processed.
	offered *Plan
	// offeredPrecautions apply to offered.
	offeredPrecautions Precautions
	// closedServices holds the services of which a replica closed the connection instead of
	// answering. failedTrials holds those where this happened while the service was on trial.
	// allServices is a key of both. Both are nil until the first such failure.
	closedServices, failedTrials map[int]bool
	// answered and settled count the needs at the target.
	answered      int
	settled       int
	wakeAt        core.Time
	wakeRequested bool
	switches      int
	replans       int
	retries       int
	fallbacks     int
	dropped       int
	actions       []Action
	// dueNeeds is scratch space of askDue.
	dueNeeds []int
}

// needState is the state of one shard.
type needState struct {
	// parts holds the shard's part for each version that was returned.
	parts []versionPart
	// serves lists the versions that the shard reported to serve; nil if unknown.
	serves []core.Version
	// openSends counts the sends that may still bring a part.
	openSends int
	// rank is the position in the bundle's owner order to ask next.
	rank int
	// failures, reroutes and versionGone count, at the target, the attempts that failed, that
	// reached no owner that could run them, and that found the version gone.
	failures    int
	reroutes    int
	versionGone int
	// retryAt is when the shard may be asked again; 0 if no retry is scheduled.
	retryAt core.Time
	// asked is set once the shard's first attempt was counted.
	asked bool
	// settled is set if the shard gets no further attempt at the target.
	settled bool
	failure failure
	// closedConnection is set once a replica of the shard closed the connection instead of
	// answering, trialFailed once this happened during a trial. trial is the trial of the latest
	// send.
	closedConnection, trialFailed bool
	trial                         Trial
}

// failure is the reason why a shard returned no part, and the version that was requested.
type failure struct {
	reason  core.Reason
	version core.Version
}

type versionPart struct {
	version core.Version
	payload []byte
}

// serviceState counts a service's shards, and those of its direct dependencies, at the target.
type serviceState struct {
	answered    int
	settled     int
	depShards   int
	depAnswered int
	depSettled  int
}

// New creates a query; the Started event begins it.
func New(plan *Plan, options Options) *Machine {
	m := &Machine{options: options.withDefaults(), target: options.Preferred, wakeAt: maxTime}
	m.sends = make([]sendState, 0, plan.bundles)
	m.actions = make([]Action, 0, plan.bundles+nonSendActions)
	m.usePlan(plan)
	return m
}

// usePlan makes the plan current and resets the state of all shards.
func (m *Machine) usePlan(plan *Plan) {
	m.plan = plan
	m.closedServices, m.failedTrials = nil, nil
	m.needs = make([]needState, len(plan.Needs))
	m.services = make([]serviceState, len(plan.Services))
	// One array holds the first part of every shard, since most shards have only one.
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

// settle ends the attempts of a shard at the target.
func (m *Machine) settle(index int, reason core.Reason) {
	need := &m.needs[index]
	need.failure = failure{reason, m.target}
	need.settled = true
	m.countSettled(index)
}

// Plan returns the query's current plan.
func (m *Machine) Plan() *Plan { return m.plan }

// State returns the name of the query's state, for dumps and tests.
func (m *Machine) State() string { return lifeCycle.Name(m.state) }

// Parts returns a service's parts at the version, for its dependents.
func (m *Machine) Parts(service int, version core.Version) []Part {
	shards := m.plan.Services[service].Shards
	parts := make([]Part, 0, len(shards))
	for _, need := range shards {
		if payload, ok := m.needs[need].partAt(version); ok {
			parts = append(parts, Part{Ref: m.plan.Needs[need].Ref, Payload: payload})
		}
	}
	return parts
}

func (n *needState) partAt(version core.Version) ([]byte, bool) {
	for i := range n.parts {
		if n.parts[i].version == version {
			return n.parts[i].payload, true
		}
	}
	return nil, false
}

// lacks reports whether the shard reported that it does not serve the version.
func (n *needState) lacks(version core.Version) bool {
	return n.serves != nil && !slices.Contains(n.serves, version)
}

func (m *Machine) hasTarget(index int) bool {
	_, ok := m.needs[index].partAt(m.target)
	return ok && m.target != 0
}

// ready reports whether the service may be asked: all shards of its dependencies are answered or
// settled or, for an early answer, enough of them are answered.
func (m *Machine) ready(service int) bool {
	s := &m.services[service]
	if s.depAnswered+s.depSettled == s.depShards {
		return true
	}
	return m.options.Preference == PreferEarly && s.depAnswered >= m.options.minParts(s.depShards)
}

// complete reports whether the answer need not wait for further parts.
func (m *Machine) complete() bool {
	if m.answered+m.settled == len(m.needs) {
		return true
	}
	if m.options.Preference != PreferEarly || m.answered < m.options.minParts(len(m.needs)) {
		return false
	}
	last := len(m.services) - 1
	return m.services[last].answered > 0 || m.services[last].settled == len(m.plan.Services[last].Shards)
}

// setWake requests the alarm if its time has changed.
func (m *Machine) setWake() {
	if m.wakeRequested {
		return
	}
	m.wakeRequested = true
	m.actions = append(m.actions, WakeAt{At: m.wakeAt})
}

// wakeBy moves the alarm to an earlier time. It never moves it to a later one: an alarm that fires
// early is harmless, and handleAlarm computes the next time.
func (m *Machine) wakeBy(at core.Time) {
	if at < m.wakeAt {
		m.wakeAt = at
		m.wakeRequested = false
	}
}

// handleAlarm computes the next alarm after one has fired.
func (m *Machine) handleAlarm() {
	m.wakeAt = m.options.Deadline
	m.wakeRequested = false
	m.dueChanged = true
	m.alarmFired = true
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
