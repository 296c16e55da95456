package query

import "github.com/pistachiopier/pistachiopier/internal/core"

// Precautions restrict how a query is asked if replicas have crashed while running it. The maps
// hold indexes into the slices of one Plan.
type Precautions struct {
	// Suspect means that one replica of the whole closure is asked at a time until one has answered.
	Suspect bool
	// SuspectServices holds indexes into Services. Of such a service, one replica is asked at a
	// time until one has answered.
	SuspectServices map[int]bool
	// SuspectNeeds holds indexes into Needs. Of such a shard, one replica is asked at a time.
	SuspectNeeds map[int]bool
	// SetAside holds indexes into Needs of shards that are not asked.
	SetAside map[int]bool
}

// Trial is the isolation with which a shard is asked, so that a replica's crash can be attributed
// to the query.
type Trial uint8

// The trials of a shard, by increasing isolation.
const (
	// NoTrial is a shard that is asked without restriction.
	NoTrial Trial = iota
	// ShardTrial means that only one replica of the shard runs the query.
	ShardTrial
	// ServiceTrial means that only one replica of the service runs the query.
	ServiceTrial
	// QueryTrial means that only one replica of the whole closure runs the query.
	QueryTrial
)

// allServices is used in place of a service index, also in Machine.closedServices and
// Machine.failedTrials, to refer to all services of the plan together.
const allServices = -1

// oneAtATime reports whether the query may crash all replicas of a service, or of all services:
// some have closed the connection instead of answering, in this query or in an earlier one, and
// none has answered. Further shards then wait for the first answer.
//
// This guards against a query that crashes every replica that runs it. If it were sent to all
// shards, and then to the other replica of each, it would crash them all. A harmless query is
// delayed by one answer time.
func (m *Machine) oneAtATime(service int) bool {
	precautions := &m.options.Precautions
	suspect := precautions.SuspectServices[service] || service == allServices && precautions.Suspect
	return (suspect || m.closedServices[service]) && !m.hasAnswer(service)
}

// mayHoldBackShards reports whether other shards may be waiting for a shard of the service that is
// being asked.
func (m *Machine) mayHoldBackShards(service int) bool {
	return m.oneAtATime(service) || m.oneAtATime(allServices)
}

// hasAnswer reports whether a shard of the service has answered.
func (m *Machine) hasAnswer(service int) bool {
	return m.anyNeed(service, func(need *needState) bool { return len(need.parts) > 0 })
}

// hasInFlight reports whether a shard of the service is being asked.
func (m *Machine) hasInFlight(service int) bool {
	return m.anyNeed(service, func(need *needState) bool { return need.openSends > 0 })
}

// anyNeed reports whether a shard of the service, or of any service for allServices, satisfies the
// predicate.
func (m *Machine) anyNeed(service int, matches func(*needState) bool) bool {
	if service == allServices {
		for index := range m.needs {
			if matches(&m.needs[index]) {
				return true
			}
		}
		return false
	}
	for _, index := range m.plan.Services[service].Shards {
		if matches(&m.needs[index]) {
			return true
		}
	}
	return false
}

// shardSuspect reports whether the query may crash the replicas of one shard, even if other shards
// have answered it.
func (m *Machine) shardSuspect(index int) bool {
	return m.options.Precautions.SuspectNeeds[index] || m.needs[index].closedConnection
}

// trial returns the isolation that the shard currently requires.
func (m *Machine) trial(index int) Trial {
	switch {
	case m.oneAtATime(allServices):
		return QueryTrial
	case m.oneAtATime(m.plan.Needs[index].Service):
		return ServiceTrial
	case m.shardSuspect(index):
		return ShardTrial
	default:
		return NoTrial
	}
}

// startTrials stores the trial of each shard of one send and returns them in the order of needs, or
// nil if no shard is on trial.
func (m *Machine) startTrials(needs []int) []Trial {
	var list []Trial
	for i, index := range needs {
		trial := m.trial(index)
		m.needs[index].trial = trial
		if trial == NoTrial {
			continue
		}
		if list == nil {
			list = make([]Trial, len(needs))
		}
		list[i] = trial
	}
	return list
}

// recordClosedConnection records that a replica closed the connection instead of answering. If the
// shard was on trial, it is not asked again. If its service or the whole query was on trial, the
// other shards of that service or of all services are not asked either, unless one has answered.
func (m *Machine) recordClosedConnection(index int) {
	need := &m.needs[index]
	service := m.plan.Needs[index].Service
	need.closedConnection = true
	need.trialFailed = need.trialFailed || need.trial != NoTrial
	if m.closedServices == nil {
		m.closedServices, m.failedTrials = map[int]bool{}, map[int]bool{}
	}
	m.closedServices[service], m.closedServices[allServices] = true, true
	m.failedTrials[service] = m.failedTrials[service] || need.trial >= ServiceTrial
	m.failedTrials[allServices] = m.failedTrials[allServices] || need.trial == QueryTrial
}

// settleExcluded settles a shard that must not be asked, and reports whether it did.
func (m *Machine) settleExcluded(index int) bool {
	need := &m.needs[index]
	service := m.plan.Needs[index].Service
	switch {
	case m.options.Precautions.SetAside[index]:
		m.settle(index, core.ReasonSetAside)
	case need.trialFailed:
		m.settle(index, core.ReasonUpstreamFailed)
	case m.failedTrials[service] && !m.hasAnswer(service), m.failedTrials[allServices] && !m.hasAnswer(allServices):
		m.settle(index, core.ReasonSetAside)
	default:
		return false
	}
	return true
}

// selectOne returns one of the due shards of a service, or of all services for allServices, and
// none while another of these shards is being asked. It prefers a shard that is not suspect and,
// for allServices, whose service is not suspect either.
func (m *Machine) selectOne(service int, due []int) []int {
	if m.hasInFlight(service) {
		return nil
	}
	for _, index := range due {
		if !m.shardSuspect(index) && (service != allServices || !m.oneAtATime(m.plan.Needs[index].Service)) {
			return []int{index}
		}
	}
	return due[:min(1, len(due))]
}
