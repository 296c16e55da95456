package query

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// adoptVersion makes the first part's version the target, unless a version was preferred from the
// start.
func (m *Machine) adoptVersion() {
	if m.target == 0 {
		m.target = m.firstVersion
		m.recount()
	}
}

// updateServes records the versions that a shard reports to serve.
func (m *Machine) updateServes(need *needState, serves []core.Version) {
	if serves == nil || slices.Equal(need.serves, serves) {
		return
	}
	need.serves = serves
	// While every shard serves the target, there is nothing to choose.
	if m.target == 0 || m.versionsDiffer || need.lacks(m.target) {
		m.versionsDiffer = true
		m.versionsChanged = true
	}
}

// noSwitchLeft prevents livelock: with several versions in flux the query would otherwise restart
// until its deadline. A switch right before the deadline would discard parts for which no
// replacement can arrive in time.
func (m *Machine) noSwitchLeft() bool {
	return m.switches >= m.options.MaxSwitches || m.options.Deadline-m.now <= m.options.SwitchReserve
}

// switchPays reports whether more shards can answer at another version than at the target. It
// compares only after a shard has reported a change of its versions.
func (m *Machine) switchPays() bool {
	return m.versionsChanged && m.betterVersion() != m.target
}

// keepVersion keeps the target until a shard reports a change of its versions.
func (m *Machine) keepVersion() { m.versionsChanged = false }

// betterVersion returns the version that most shards can answer at, the newest in case of a tie. It
// returns the target unless another version has more: an equal number does not justify asking all
// shards again.
func (m *Machine) betterVersion() core.Version {
	better := m.target
	best := m.countReachable(m.target)
	for _, version := range m.knownVersions() {
		reach := m.countReachable(version)
		if reach > best || reach == best && better != m.target && version > better {
			best = reach
			better = version
		}
	}
	return better
}

// countReachable counts the shards that have a part at the version or may return one.
func (m *Machine) countReachable(version core.Version) int {
	count := 0
	for service := range m.plan.Services {
		closed := m.dependentAsked(service, version)
		for _, index := range m.plan.Services[service].Shards {
			need := &m.needs[index]
			if _, ok := need.partAt(version); ok || !closed && !need.lacks(version) {
				count++
			}
		}
	}
	return count
}

func (m *Machine) knownVersions() []core.Version {
	var versions []core.Version
	for i := range m.needs {
		for _, version := range m.needs[i].serves {
			if !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
	}
	slices.Sort(versions)
	return versions
}

// dependentAsked reports whether a dependent of the service was already asked at the version and
// has answered or may still answer. A further part of the service would then stand in the answer
// beside a dependent's part that was computed without it. Therefore, no further part of the service
// is requested or merged at that version.
func (m *Machine) dependentAsked(service int, version core.Version) bool {
	for _, dependent := range m.plan.Services[service].dependents {
		for _, index := range m.plan.Services[dependent].Shards {
			if _, ok := m.needs[index].partAt(version); ok || m.inFlightAt(index, version) {
				return true
			}
		}
	}
	return false
}

func (m *Machine) inFlightAt(index int, version core.Version) bool {
	if m.needs[index].openSends == 0 {
		return false
	}
	for i := range m.sends {
		if m.sends[i].version == version && slices.Contains(m.sends[i].remaining, index) {
			return true
		}
	}
	return false
}

// switchVersion switches to the better version.
func (m *Machine) switchVersion() {
	better := m.betterVersion()
	m.versionsChanged = false
	m.switchTo(better)
}

// switchTo changes the target. Sends for the former version are withdrawn; parts of all versions
// are kept.
func (m *Machine) switchTo(version core.Version) {
	m.target = version
	m.switches++
	for i := range m.sends {
		if version := m.sends[i].version; version != m.target && version != 0 {
			m.withdrawSend(i)
		}
	}
	for i := range m.needs {
		m.needs[i].retryAt = 0
		m.needs[i].failures = 0
		m.needs[i].reroutes = 0
		m.needs[i].versionGone = 0
		m.needs[i].settled = false
	}
	m.settleWhereDependentAsked()
	m.recount()
}

// settleWhereDependentAsked settles, after a return to an earlier target, the shards whose
// dependents have already been asked at it.
func (m *Machine) settleWhereDependentAsked() {
	for service := range m.plan.Services {
		if !m.dependentAsked(service, m.target) {
			continue
		}
		for _, index := range m.plan.Services[service].Shards {
			if m.hasTarget(index) {
				continue
			}
			m.needs[index].settled = true
			if m.needs[index].failure.version != m.target {
				m.needs[index].failure = failure{core.ReasonStraggler, m.target}
			}
		}
	}
}

func (m *Machine) mayReplan() bool {
	return m.offered != nil && m.replans < m.options.MaxReplans && !m.offered.Equal(m.plan)
}

// takePlan switches to the plan of a newer configuration. Parts are kept only of services whose
// layout and direct and transitive dependencies are unchanged: in another layout, a shard number
// refers to other data.
func (m *Machine) takePlan() {
	m.replans++
	for i := range m.sends {
		m.withdrawSend(i)
	}
	former, formerNeeds := m.plan, m.needs
	m.options.Precautions = m.offeredPrecautions
	m.usePlan(m.offered)
	m.keepParts(former, formerNeeds)
	m.settleWhereDependentAsked()
	m.recount()
	m.versionsChanged = true
}

// keepParts copies the state of the shards whose service is unchanged. Dependencies precede their
// dependents in the plan.
func (m *Machine) keepParts(former *Plan, formerNeeds []needState) {
	kept := make([]bool, len(m.plan.Services))
	for i := range m.plan.Services {
		service := &m.plan.Services[i]
		j := slices.IndexFunc(former.Services, func(s ServicePlan) bool { return s.Name == service.Name })
		kept[i] = j >= 0 && sameService(m.plan, i, former, j) && allSet(kept, service.DependsOn)
		if !kept[i] {
			continue
		}
		for k, index := range service.Shards {
			m.needs[index].copyFrom(&formerNeeds[former.Services[j].Shards[k]])
		}
	}
}

// allSet reports whether the flags at all the indexes are set.
func allSet(flags []bool, indexes []int) bool {
	for _, index := range indexes {
		if !flags[index] {
			return false
		}
	}
	return true
}

// copyFrom copies the fields that remain valid under a new plan.
func (n *needState) copyFrom(former *needState) {
	n.parts = former.parts
	n.serves = former.serves
	n.asked = former.asked
}
