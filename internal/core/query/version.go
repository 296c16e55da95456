package query

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// adoptVersion makes the first part's version the target, unless one was
// preferred from the start.
func (m *Machine) adoptVersion() {
	if m.target == 0 {
		m.target = m.first
		m.recount()
	}
}

// learn takes a shard's own word on its versions.
func (m *Machine) learn(need *needState, serves []core.Version) {
	if serves == nil || slices.Equal(need.serves, serves) {
		return
	}
	need.serves = serves
	// While every shard has the target there is nothing to choose.
	if m.target == 0 || m.versionsDiffer || need.lacks(m.target) {
		m.versionsDiffer = true
		m.versionsChanged = true
	}
}

// noSwitchLeft guards against livelock: several versions in flux would
// otherwise make the question restart until its deadline, and a switch right
// before it would give up parts for which no others can arrive in time.
func (m *Machine) noSwitchLeft() bool {
	return m.switches >= m.options.MaxSwitches || m.options.Deadline-m.now <= m.options.SwitchReserve
}

// switchPays reports whether more shards can answer at another version than at
// the target. It looks only when a shard told something new of its versions.
func (m *Machine) switchPays() bool {
	return m.versionsChanged && m.betterVersion() != m.target
}

// keepVersion stays with the target until a shard tells something new.
func (m *Machine) keepVersion() { m.versionsChanged = false }

// betterVersion is the version that most shards can answer at, the newest of
// several, or the target: an equal number is no reason to ask all again.
func (m *Machine) betterVersion() core.Version {
	better := m.target
	best := m.reach(m.target)
	for _, version := range m.knownVersions() {
		reach := m.reach(version)
		if reach > best || reach == best && better != m.target && version > better {
			best = reach
			better = version
		}
	}
	return better
}

// reach counts the shards that have a part at the version or may give one.
func (m *Machine) reach(version core.Version) int {
	count := 0
	for service := range m.plan.Services {
		closed := m.closed(service, version)
		for _, index := range m.plan.Services[service].Shards {
			need := &m.needs[index]
			if _, ok := need.part(version); ok || !closed && !need.lacks(version) {
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

// closed reports whether a dependent of the service was already asked at the
// version and has answered or may still answer. A further part of the service
// would then stand in the answer beside a dependent's part that was computed
// without it, so it is neither asked for nor merged.
func (m *Machine) closed(service int, version core.Version) bool {
	for _, dependent := range m.plan.Services[service].dependents {
		for _, index := range m.plan.Services[dependent].Shards {
			if _, ok := m.needs[index].part(version); ok || m.askedAt(index, version) {
				return true
			}
		}
	}
	return false
}

func (m *Machine) askedAt(index int, version core.Version) bool {
	if m.needs[index].open == 0 {
		return false
	}
	for i := range m.sends {
		if m.sends[i].version == version && slices.Contains(m.sends[i].left, index) {
			return true
		}
	}
	return false
}

// switchVersion moves to the better version.
func (m *Machine) switchVersion() {
	better := m.betterVersion()
	m.versionsChanged = false
	m.switchTo(better)
}

// switchTo changes the target: sends for the former are withdrawn, parts are
// kept for each version.
func (m *Machine) switchTo(version core.Version) {
	m.target = version
	m.switches++
	for i := range m.sends {
		if version := m.sends[i].version; version != m.target && version != 0 {
			m.withdraw(i)
		}
	}
	for i := range m.needs {
		m.needs[i].retryAt = 0
		m.needs[i].failures = 0
		m.needs[i].reroutes = 0
		m.needs[i].gone = 0
		m.needs[i].settled = false
	}
	m.settleClosed()
	m.recount()
}

// settleClosed gives up, after a return to an earlier target, on the shards
// whose dependents have already answered at it.
func (m *Machine) settleClosed() {
	for service := range m.plan.Services {
		if !m.closed(service, m.target) {
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

// takePlan goes on by a newer text's plan. Parts are kept only of services
// whose layout and dependencies, direct or not, are as before: a shard number
// of another layout stands for other data.
func (m *Machine) takePlan() {
	m.replans++
	for i := range m.sends {
		m.withdraw(i)
	}
	former, formerNeeds := m.plan, m.needs
	m.options.Precautions = m.offeredPrecautions
	m.take(m.offered)
	m.keepParts(former, formerNeeds)
	m.settleClosed()
	m.recount()
	m.versionsChanged = true
}

// keepParts takes over what is known of the shards whose service is unchanged.
// Dependencies come before dependents in the plan.
func (m *Machine) keepParts(former *Plan, formerNeeds []needState) {
	kept := make([]bool, len(m.plan.Services))
	for i := range m.plan.Services {
		service := &m.plan.Services[i]
		j := slices.IndexFunc(former.Services, func(s ServicePlan) bool { return s.Name == service.Name })
		kept[i] = j >= 0 && sameService(m.plan, i, former, j) && all(kept, service.DependsOn)
		if !kept[i] {
			continue
		}
		for k, index := range service.Shards {
			m.needs[index].keep(&formerNeeds[former.Services[j].Shards[k]])
		}
	}
}

// all reports whether the flags at all the places are set.
func all(flags []bool, places []int) bool {
	for _, place := range places {
		if !flags[place] {
			return false
		}
	}
	return true
}

// keep takes over what outlives a plan.
func (n *needState) keep(former *needState) {
	n.parts = former.parts
	n.serves = former.serves
	n.asked = former.asked
}
