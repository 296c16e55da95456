package query

import "github.com/pistachiopier/pistachiopier/internal/core"

// Precautions restrict how a question is asked where replicas have ended while running it. The maps hold indexes into
// the slices of one Plan.
type Precautions struct {
	// SuspectServices holds indexes into Services. One replica of such a service is asked at a time until one has answered.
	SuspectServices map[int]bool
	// SuspectNeeds holds indexes into Needs. One replica of such a shard is asked at a time.
	SuspectNeeds map[int]bool
	// SetAside holds indexes into Needs of shards that are not asked.
	SetAside map[int]bool
}

// Trial is the isolation with which a shard is asked, so that a replica's end can be attributed to the question.
type Trial uint8

// The trials of a shard, by increasing isolation.
const (
	// NoTrial is a shard that is asked without restriction.
	NoTrial Trial = iota
	// ShardTrial means that only one replica of the shard runs the question.
	ShardTrial
	// ServiceTrial means that only one replica of the service runs the question.
	ServiceTrial
)

// oneAtATime reports whether the question may end all replicas of a service: some have closed the connection instead of
// answering, in this try or in an earlier one, and none has answered. Further shards then wait for the first answer.
//
// This guards against a question that ends every replica that runs it: asked of all shards, and then of the other
// replica of each, it would end them all. A harmless question is delayed by one answer time.
func (m *Machine) oneAtATime(service int) bool {
	return (m.options.Precautions.SuspectServices[service] || m.broken[service]) && !m.proven(service)
}

// proven reports whether a shard of the service has answered.
func (m *Machine) proven(service int) bool {
	for _, index := range m.plan.Services[service].Shards {
		if len(m.needs[index].parts) > 0 {
			return true
		}
	}
	return false
}

// shardSuspect reports whether the question may end the replicas of one shard, even if other shards have answered it.
func (m *Machine) shardSuspect(index int) bool {
	return m.options.Precautions.SuspectNeeds[index] || m.needs[index].broken
}

// trial returns the isolation that a shard is to be asked with now.
func (m *Machine) trial(index int) Trial {
	switch {
	case m.oneAtATime(m.plan.Needs[index].Service):
		return ServiceTrial
	case m.shardSuspect(index):
		return ShardTrial
	default:
		return NoTrial
	}
}

// startTrials stores the trial of each shard of one message and returns them in the order of needs, or nil if no shard
// is on trial.
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

// noteBroken records that a replica closed the connection instead of answering. If the shard was on trial it is not asked
// again. If its service was on trial, the other shards of the service are not asked either, unless one has answered.
func (m *Machine) noteBroken(index int) {
	need := &m.needs[index]
	service := m.plan.Needs[index].Service
	need.broken = true
	need.gaveUp = need.gaveUp || need.trial != NoTrial
	if m.broken == nil {
		m.broken, m.gaveUp = map[int]bool{}, map[int]bool{}
	}
	m.broken[service] = true
	m.gaveUp[service] = m.gaveUp[service] || need.trial == ServiceTrial
}

// settleExcluded settles a shard that must not be asked, and reports whether it did.
func (m *Machine) settleExcluded(index int) bool {
	need := &m.needs[index]
	service := m.plan.Needs[index].Service
	switch {
	case m.options.Precautions.SetAside[index]:
		m.settle(index, core.ReasonSetAside)
	case need.gaveUp:
		m.settle(index, core.ReasonUpstreamFailed)
	case m.gaveUp[service] && !m.proven(service):
		m.settle(index, core.ReasonSetAside)
	default:
		return false
	}
	return true
}

// limitToOne returns one of the due shards of a service, preferring one that is not suspect, or none while another shard
// of the service is being asked.
func (m *Machine) limitToOne(service int, due []int) []int {
	for _, index := range m.plan.Services[service].Shards {
		if m.needs[index].open > 0 {
			return nil
		}
	}
	for _, index := range due {
		if !m.shardSuspect(index) {
			return []int{index}
		}
	}
	return due[:min(1, len(due))]
}
