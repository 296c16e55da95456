package query

import (
	"cmp"
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// askFallbacks sends the shards of a silent owner to the next node in the
// bundle's order. A paused or cut-off owner shows only by its silence; the
// connections that owners leave unused make a second one safe.
func (m *Machine) askFallbacks() {
	if !m.alarmed {
		return
	}
	m.alarmed = false
	for place, count := 0, len(m.sends); place < count; place++ {
		send := &m.sends[place]
		if !send.open() || send.silentAt == 0 || m.now < send.silentAt {
			continue
		}
		send.silentAt = 0
		granted := m.granted(send.left)
		if len(granted) < len(send.left) {
			send.silentAt = m.now + m.options.FallbackAfter
			m.wakeBy(send.silentAt)
		}
		if len(granted) > 0 {
			m.fallbacks += len(granted)
			m.send(Send{Bundle: send.bundle, Rank: send.rank + 1, Version: m.target, Needs: granted, Fallback: true})
		}
	}
}

// granted returns the shards that no second node is asked for yet and that the
// budget has a token for.
func (m *Machine) granted(left []int) []int {
	var granted []int
	for _, index := range left {
		if m.needs[index].open == 1 && m.needs[index].trial == NoTrial && m.extra(index) {
			granted = append(granted, index)
		}
	}
	return granted
}

// askDue sends every shard that is due. Giving up on stragglers can make
// further services ready, hence the loop; each round settles or sends something.
func (m *Machine) askDue() {
	for m.dueChanged {
		m.dueChanged = false
		m.askReady()
	}
}

// askReady sends one message for each bundle with due shards.
func (m *Machine) askReady() {
	m.due = m.due[:0]
	for service := range m.plan.Services {
		if m.ready(service) {
			m.collect(service)
		}
	}
	if m.oneAtATime(allServices) {
		m.due = m.limitToOne(allServices, m.due)
	}
	slices.SortStableFunc(m.due, m.compareSends)
	for start, end := 0, 0; start < len(m.due); start = end {
		for end = start + 1; end < len(m.due) && m.compareSends(m.due[start], m.due[end]) == 0; {
			end++
		}
		needs := m.due[start:end]
		written := m.plan.Needs[needs[0]]
		m.noteTries(needs)
		m.send(Send{Bundle: written.Bundle, Rank: m.needs[needs[0]].rank, Version: m.target, Needs: needs})
	}
}

// compareSends orders shards by the message that they belong to. Services
// with different dependencies never share one.
func (m *Machine) compareSends(a, b int) int {
	return cmp.Or(
		cmp.Compare(m.plan.Needs[a].Bundle, m.plan.Needs[b].Bundle),
		cmp.Compare(m.needs[a].rank, m.needs[b].rank),
	)
}

// collect adds a service's due shards. A service none of whose dependencies
// has a part is not asked: it would compute from nothing.
func (m *Machine) collect(service int) {
	s := &m.services[service]
	first := len(m.due)
	for _, index := range m.plan.Services[service].Shards {
		need := &m.needs[index]
		if need.settled || need.open > 0 || need.retryAt > m.now || m.hasTarget(index) || m.settleExcluded(index) {
			continue
		}
		if s.depShards > 0 && s.depAnswered == 0 {
			m.settle(index, core.ReasonDependency)
			continue
		}
		m.due = append(m.due, index)
	}
	if m.oneAtATime(service) {
		m.due = append(m.due[:first], m.limitToOne(service, m.due[first:])...)
	}
}

// noteTries counts first tries and retries.
func (m *Machine) noteTries(needs []int) {
	for _, index := range needs {
		need := &m.needs[index]
		if need.retryAt > 0 {
			m.retries++
		}
		need.retryAt = 0
		if !need.asked && m.options.Budget != nil {
			m.options.Budget.FirstTry(m.service(index).Name, 1)
		}
		need.asked = true
	}
}

// send records a message and asks for it.
func (m *Machine) send(action Send) {
	// One array holds the shards as asked and those still left.
	count := len(action.Needs)
	both := append(append(make([]int, 0, 2*count), action.Needs...), action.Needs...)
	action.Needs = both[:count:count]
	state := sendState{bundle: action.Bundle, rank: action.Rank, version: action.Version, left: both[count:]}
	if m.options.FallbackAfter > 0 {
		state.silentAt = m.now + m.options.FallbackAfter
		m.wakeBy(state.silentAt)
	}
	m.sends = append(m.sends, state)
	for _, index := range action.Needs {
		m.needs[index].open++
		m.settleStragglers(index)
	}
	action.Trials = m.startTrials(action.Needs)
	action.ID = m.id(len(m.sends) - 1)
	action.TimeLeft = m.options.Deadline - m.now
	m.actions = append(m.actions, action)
}

// settleStragglers gives up on the dependencies of a shard that is asked
// before they all answered, which only an early answer does: the shard's part
// will have been computed without them.
func (m *Machine) settleStragglers(index int) {
	s := &m.services[m.plan.Needs[index].Service]
	if s.depAnswered+s.depSettled == s.depShards {
		return
	}
	for _, dependency := range m.service(index).DependsOn {
		for _, straggler := range m.plan.Services[dependency].Shards {
			if m.needs[straggler].settled || m.hasTarget(straggler) {
				continue
			}
			m.settle(straggler, core.ReasonStraggler)
			m.withdrawNeed(straggler)
		}
	}
}

// withdrawNeed takes a shard off its open sends; a send with no shard left is
// cancelled.
func (m *Machine) withdrawNeed(index int) {
	for place := range m.sends {
		send := &m.sends[place]
		at := slices.Index(send.left, index)
		if at < 0 {
			continue
		}
		m.needs[index].open--
		send.left = slices.Delete(send.left, at, at+1)
		if !send.open() {
			m.actions = append(m.actions, CancelSend{ID: m.id(place)})
		}
	}
}
