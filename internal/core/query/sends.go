package query

import (
	"slices"

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
		m.endSend(e.Send, failedTry{reason: core.ReasonCutReply})
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
		m.failed(e.Need, failedTry{reason: core.ReasonCrossedReply})
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
	m.keep(e)
}

// keep stores the first part of a shard at a version.
func (m *Machine) keep(e PartArrived) {
	need := &m.needs[e.Need]
	// Other shards of the service may be waiting for its first answer.
	m.dueChanged = m.dueChanged || m.shardsMayWait(m.plan.Needs[e.Need].Service)
	need.parts = append(need.parts, versionPart{version: e.Version, payload: e.Payload})
	if m.first == 0 {
		m.first = e.Version
	}
	switch {
	case e.Version != m.target:
	case need.settled:
		need.settled = false
		m.recount()
	default:
		m.countAnswered(e.Need)
	}
}

func (m *Machine) partFailed(e PartFailed) {
	if m.reply(e.Send, e.Need) == nil {
		m.dropped++
	} else {
		m.learn(&m.needs[e.Need], e.Serves)
		m.failed(e.Need, failedTry{e.Outcome, e.Reason, e.RetryAfter, e.Broken})
	}
	if e.Last {
		m.endSend(e.Send, failedTry{reason: core.ReasonCutReply})
	}
}

// endSend fails the shards that a send leaves unanswered.
func (m *Machine) endSend(id SendID, try failedTry) {
	send := m.find(id)
	if send == nil {
		return
	}
	left := send.left
	send.left = nil
	for _, index := range left {
		m.needs[index].open--
		m.failed(index, try)
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
