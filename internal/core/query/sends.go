package query

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// sendState is a message to an owner.
type sendState struct {
	bundle  core.BundleID
	rank    int
	version core.Version
	// left lists the shards that have not answered.
	left []int
	// silentAt is when the owner counts as silent; 0 is never.
	silentAt core.Time
}

func (s *sendState) open() bool { return len(s.left) > 0 }

func (m *Machine) id(place int) SendID { return SendID(place + 1) }

// find returns a send by id, or nil when the id was never used.
func (m *Machine) find(id SendID) *sendState {
	if id == 0 || int(id) > len(m.sends) {
		return nil
	}
	return &m.sends[id-1]
}

// reply takes one shard off its send. It returns nil for a reply that no open
// send waits for: late, repeated, or for a shard that was not asked.
func (m *Machine) reply(id SendID, index int) *sendState {
	send := m.find(id)
	if send == nil {
		return nil
	}
	at := slices.Index(send.left, index)
	if at < 0 {
		return nil
	}
	send.left = slices.Delete(send.left, at, at+1)
	m.needs[index].open--
	if send.silentAt > 0 {
		send.silentAt = m.now + m.options.FallbackAfter
		m.wakeBy(send.silentAt)
	}
	return send
}

func (m *Machine) partArrived(e PartArrived) {
	m.merged(e)
	if e.Last {
		m.endSend(e.Send, core.Unknown, core.ReasonCutReply)
	}
}

// merged keeps a part, or drops and counts it.
func (m *Machine) merged(e PartArrived) {
	send := m.reply(e.Send, e.Need)
	if send == nil {
		m.dropped++
		return
	}
	// A part of a version that was not asked for is a crossed reply: merging
	// it would mix snapshots.
	if e.Version == 0 || send.version != 0 && send.version != e.Version {
		m.dropped++
		m.failed(e.Need, core.Unknown, core.ReasonCrossedReply, 0)
		return
	}
	need := &m.needs[e.Need]
	m.learn(need, e.Serves)
	// Whatever the send brought, the shard may still have none at the target.
	m.dueChanged = m.dueChanged || e.Version != m.target
	if _, ok := need.part(e.Version); ok || m.closed(m.plan.Needs[e.Need].Service, e.Version) {
		m.dropped++
		return
	}
	need.parts = append(need.parts, versionPart{version: e.Version, payload: e.Payload})
	if m.first == 0 {
		m.first = e.Version
	}
	if e.Version != m.target {
		return
	}
	if need.settled {
		need.settled = false
		m.recount()
		return
	}
	m.countAnswered(e.Need)
}

func (m *Machine) partFailed(e PartFailed) {
	if m.reply(e.Send, e.Need) == nil {
		m.dropped++
	} else {
		m.learn(&m.needs[e.Need], e.Serves)
		m.failed(e.Need, e.Outcome, e.Reason, e.RetryAfter)
	}
	if e.Last {
		m.endSend(e.Send, core.Unknown, core.ReasonCutReply)
	}
}

// endSend fails the shards that a send leaves unanswered.
func (m *Machine) endSend(id SendID, outcome core.Outcome, reason core.Reason) {
	send := m.find(id)
	if send == nil {
		return
	}
	left := send.left
	send.left = nil
	for _, index := range left {
		m.needs[index].open--
		m.failed(index, outcome, reason, 0)
	}
}

// withdraw cancels what is left of a send.
func (m *Machine) withdraw(place int) {
	send := &m.sends[place]
	if !send.open() {
		return
	}
	for _, index := range send.left {
		m.needs[index].open--
	}
	send.left = nil
	m.actions = append(m.actions, CancelSend{ID: m.id(place)})
}

// failed records a failed try and plans the next one, or settles the shard.
func (m *Machine) failed(index int, outcome core.Outcome, reason core.Reason, retryAfter time.Duration) {
	need := &m.needs[index]
	need.failure = failure{reason, m.target}
	if reason == core.ReasonLayout || reason == core.ReasonNotOwner {
		m.replan = m.replan || m.replans < m.options.MaxReplans
	}
	if need.open > 0 || need.settled || m.hasTarget(index) {
		return
	}
	pause := max(retryAfter, m.options.RetryPause<<need.reroutes)
	if m.now+pause >= m.options.Deadline || !m.mayRetry(index, outcome, reason) {
		need.settled = true
		m.countSettled(index)
		return
	}
	need.retryAt = m.now + pause
	m.wakeBy(need.retryAt)
}

// maxGone is how often a shard may say that it lacks the version: another
// replica of it may have it, while an index is being rolled out.
const maxGone = 2

// mayRetry decides whether the shard is asked again. A try that reached nobody
// put no load on an upstream and is repeated freely, up to its bound. Anything
// that may have run, and a refusal for load, is repeated only from the budget:
// otherwise a sick fleet would be asked several times over.
func (m *Machine) mayRetry(index int, outcome core.Outcome, reason core.Reason) bool {
	need := &m.needs[index]
	switch {
	case reason == core.ReasonDeadline:
		return false
	case reason == core.ReasonVersionGone && outcome == core.NotRun:
		need.gone++
		return need.gone < maxGone
	case outcome == core.NotRun && unrouted(reason):
		need.reroutes++
		need.rank = nextRank(need.rank, reason, need.reroutes)
		return need.reroutes <= m.options.MaxReroutes
	}
	if reason == core.ReasonPeerLost {
		need.rank++
	}
	need.failures++
	if need.failures >= m.options.MaxTries {
		return false
	}
	return outcome == core.NotRun && reason != core.ReasonOverloaded || m.extra(index)
}

// unrouted reports whether the reason says that no owner took the request.
func unrouted(reason core.Reason) bool {
	return reason == core.ReasonNotOwner || reason == core.ReasonPeerUnreached || reason == core.ReasonLayout
}

// nextRank is the place to ask next. "Not owner" asks the same place again, by
// the newest view; only from the second time on the next node is asked, in case
// this node's own view lags.
func nextRank(rank int, reason core.Reason, reroutes int) int {
	if reason == core.ReasonPeerUnreached || reason == core.ReasonNotOwner && reroutes > 1 {
		return rank + 1
	}
	return rank
}

func (m *Machine) extra(index int) bool {
	budget := m.options.Budget
	return budget == nil || budget.TryExtra(m.service(index).Name)
}

func (m *Machine) service(index int) *ServicePlan {
	return &m.plan.Services[m.plan.Needs[index].Service]
}

// askFallbacks sends the shards of a silent owner to the next node in the
// bundle's order. A paused or cut-off owner shows only by its silence; the
// connections that owners leave unused make a second one safe.
func (m *Machine) askFallbacks() {
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
		if m.needs[index].open == 1 && m.extra(index) {
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
	slices.SortStableFunc(m.due, m.compareSends)
	for start, end := 0, 0; start < len(m.due); start = end {
		for end = start + 1; end < len(m.due) && m.compareSends(m.due[start], m.due[end]) == 0; {
			end++
		}
		needs := slices.Clone(m.due[start:end])
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
	for _, index := range m.plan.Services[service].Shards {
		need := &m.needs[index]
		if need.settled || need.open > 0 || need.retryAt > m.now || m.hasTarget(index) {
			continue
		}
		if s.depShards > 0 && s.depAnswered == 0 {
			need.failure = failure{core.ReasonDependency, m.target}
			need.settled = true
			m.countSettled(index)
			continue
		}
		m.due = append(m.due, index)
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
	left := slices.Clone(action.Needs)
	state := sendState{bundle: action.Bundle, rank: action.Rank, version: action.Version, left: left}
	if m.options.FallbackAfter > 0 {
		state.silentAt = m.now + m.options.FallbackAfter
		m.wakeBy(state.silentAt)
	}
	m.sends = append(m.sends, state)
	for _, index := range action.Needs {
		m.needs[index].open++
		m.settleStragglers(index)
	}
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
			need := &m.needs[straggler]
			if need.settled || m.hasTarget(straggler) {
				continue
			}
			need.failure = failure{core.ReasonStraggler, m.target}
			need.settled = true
			m.countSettled(straggler)
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
