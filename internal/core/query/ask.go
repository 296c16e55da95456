package query

import (
	"cmp"
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// askFallbacks sends the open shards of a silent owner to the next node in the bundle's owner
// order. Silence is the only sign of a paused or partitioned owner. A second owner is safe because
// of the connections that owners leave unused.
func (m *Machine) askFallbacks() {
	if !m.alarmFired {
		return
	}
	m.alarmFired = false
	for position, count := 0, len(m.sends); position < count; position++ {
		send := &m.sends[position]
		if !send.open() || send.silentAt == 0 || m.now < send.silentAt {
			continue
		}
		send.silentAt = 0
		granted := m.grantFallbacks(send.remaining)
		if len(granted) < len(send.remaining) {
			send.silentAt = m.now + m.options.FallbackAfter
			m.wakeBy(send.silentAt)
		}
		if len(granted) > 0 {
			m.fallbacks += len(granted)
			m.send(Send{Bundle: send.bundle, Rank: send.rank + 1, Version: m.target, Needs: granted, Fallback: true})
		}
	}
}

// grantFallbacks returns the shards that have no second open send, are not on trial and get a token
// from the budget.
func (m *Machine) grantFallbacks(remaining []int) []int {
	var granted []int
	for _, index := range remaining {
		if m.needs[index].openSends == 1 && m.needs[index].trial == NoTrial && m.takeExtra(index) {
			granted = append(granted, index)
		}
	}
	return granted
}

// askDue sends all due shards. It loops because settling stragglers can make further services
// ready; each iteration settles or sends at least one shard.
func (m *Machine) askDue() {
	for m.dueChanged {
		m.dueChanged = false
		m.askReady()
	}
}

// askReady sends one request for each bundle and rank with due shards.
func (m *Machine) askReady() {
	m.dueNeeds = m.dueNeeds[:0]
	for service := range m.plan.Services {
		if m.ready(service) {
			m.collectDue(service)
		}
	}
	if m.oneAtATime(allServices) {
		m.dueNeeds = m.selectOne(allServices, m.dueNeeds)
	}
	slices.SortStableFunc(m.dueNeeds, m.compareSends)
	for start, end := 0, 0; start < len(m.dueNeeds); start = end {
		for end = start + 1; end < len(m.dueNeeds) && m.compareSends(m.dueNeeds[start], m.dueNeeds[end]) == 0; {
			end++
		}
		needs := m.dueNeeds[start:end]
		first := m.plan.Needs[needs[0]]
		m.countAttempts(needs)
		m.send(Send{Bundle: first.Bundle, Rank: m.needs[needs[0]].rank, Version: m.target, Needs: needs})
	}
}

// compareSends orders shards by the request that they belong to. Services with different
// dependencies never share a bundle.
func (m *Machine) compareSends(a, b int) int {
	return cmp.Or(
		cmp.Compare(m.plan.Needs[a].Bundle, m.plan.Needs[b].Bundle),
		cmp.Compare(m.needs[a].rank, m.needs[b].rank),
	)
}

// collectDue adds a service's due shards. A service is not asked if it has dependencies and none of
// them returned a part: it would have no input.
func (m *Machine) collectDue(service int) {
	s := &m.services[service]
	first := len(m.dueNeeds)
	for _, index := range m.plan.Services[service].Shards {
		need := &m.needs[index]
		if need.settled || need.openSends > 0 || need.retryAt > m.now || m.hasTarget(index) || m.settleExcluded(index) {
			continue
		}
		if s.depShards > 0 && s.depAnswered == 0 {
			m.settle(index, core.ReasonDependency)
			continue
		}
		m.dueNeeds = append(m.dueNeeds, index)
	}
	if m.oneAtATime(service) {
		m.dueNeeds = append(m.dueNeeds[:first], m.selectOne(service, m.dueNeeds[first:])...)
	}
}

// countAttempts counts first attempts and retries.
func (m *Machine) countAttempts(needs []int) {
	for _, index := range needs {
		need := &m.needs[index]
		if need.retryAt > 0 {
			m.retries++
		}
		need.retryAt = 0
		if !need.asked && m.options.Budget != nil {
			m.options.Budget.AddFirst(m.serviceOf(index).Name, 1)
		}
		need.asked = true
	}
}

// send records a send and adds its action.
func (m *Machine) send(action Send) {
	// One array holds the requested and the remaining shards.
	count := len(action.Needs)
	copies := append(append(make([]int, 0, 2*count), action.Needs...), action.Needs...)
	action.Needs = copies[:count:count]
	state := sendState{bundle: action.Bundle, rank: action.Rank, version: action.Version, remaining: copies[count:]}
	if m.options.FallbackAfter > 0 {
		state.silentAt = m.now + m.options.FallbackAfter
		m.wakeBy(state.silentAt)
	}
	m.sends = append(m.sends, state)
	for _, index := range action.Needs {
		m.needs[index].openSends++
		m.settleStragglers(index)
	}
	action.Trials = m.startTrials(action.Needs)
	action.ID = m.sendID(len(m.sends) - 1)
	action.TimeLeft = m.options.Deadline - m.now
	m.actions = append(m.actions, action)
}

// settleStragglers settles the unanswered dependencies of a shard that is asked before all of them
// have answered. This happens only for an early answer. The shard's part is then computed without
// them.
func (m *Machine) settleStragglers(index int) {
	s := &m.services[m.plan.Needs[index].Service]
	if s.depAnswered+s.depSettled == s.depShards {
		return
	}
	for _, dependency := range m.serviceOf(index).DependsOn {
		for _, straggler := range m.plan.Services[dependency].Shards {
			if m.needs[straggler].settled || m.hasTarget(straggler) {
				continue
			}
			m.settle(straggler, core.ReasonStraggler)
			m.withdrawNeed(straggler)
		}
	}
}

// withdrawNeed removes a shard from its open sends and cancels a send that has no shard left.
func (m *Machine) withdrawNeed(index int) {
	for position := range m.sends {
		send := &m.sends[position]
		at := slices.Index(send.remaining, index)
		if at < 0 {
			continue
		}
		m.needs[index].openSends--
		send.remaining = slices.Delete(send.remaining, at, at+1)
		if !send.open() {
			m.actions = append(m.actions, CancelSend{ID: m.sendID(position)})
		}
	}
}
