package query

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// sendState is the state of one request to an owner.
type sendState struct {
	bundle  core.BundleID
	rank    int
	version core.Version
	// remaining lists the shards that have not answered.
	remaining []int
	// silentAt is when the owner counts as silent; 0 means never.
	silentAt core.Time
}

func (s *sendState) open() bool { return len(s.remaining) > 0 }

func (m *Machine) sendID(position int) SendID { return SendID(position + 1) }

// findSend returns a send by ID, or nil if the ID was never used.
func (m *Machine) findSend(id SendID) *sendState {
	if id == 0 || int(id) > len(m.sends) {
		return nil
	}
	return &m.sends[id-1]
}

// takeOffSend removes one shard from its send. It returns nil for a reply that no open send waits
// for: late, repeated, or for a shard that was not asked.
func (m *Machine) takeOffSend(id SendID, index int) *sendState {
	send := m.findSend(id)
	if send == nil {
		return nil
	}
	at := slices.Index(send.remaining, index)
	if at < 0 {
		return nil
	}
	send.remaining = slices.Delete(send.remaining, at, at+1)
	m.needs[index].openSends--
	if send.silentAt > 0 {
		send.silentAt = m.now + m.options.FallbackAfter
		m.wakeBy(send.silentAt)
	}
	return send
}

func (m *Machine) handlePart(e PartArrived) {
	m.acceptPart(e)
	if e.Last {
		m.endSend(e.Send, failedAttempt{reason: core.ReasonCutReply})
	}
}

// acceptPart stores a part, or drops and counts it.
func (m *Machine) acceptPart(e PartArrived) {
	send := m.takeOffSend(e.Send, e.Need)
	if send == nil {
		m.dropped++
		return
	}
	// A part of a version other than the requested one is a crossed reply. Merging it would mix
	// versions.
	if e.Version == 0 || send.version != 0 && send.version != e.Version {
		m.dropped++
		m.handleFailure(e.Need, failedAttempt{reason: core.ReasonCrossedReply})
		return
	}
	need := &m.needs[e.Need]
	m.updateServes(need, e.Serves)
	// Whatever version the part has, the shard may still lack a part at the target.
	m.dueChanged = m.dueChanged || e.Version != m.target
	if _, ok := need.partAt(e.Version); ok || m.dependentAsked(m.plan.Needs[e.Need].Service, e.Version) {
		m.dropped++
		return
	}
	m.storePart(e)
}

// storePart stores the first part of a shard at a version.
func (m *Machine) storePart(e PartArrived) {
	need := &m.needs[e.Need]
	// Other shards of the service may be waiting for its first answer.
	m.dueChanged = m.dueChanged || m.mayHoldBackShards(m.plan.Needs[e.Need].Service)
	need.parts = append(need.parts, versionPart{version: e.Version, payload: e.Payload})
	if m.firstVersion == 0 {
		m.firstVersion = e.Version
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

func (m *Machine) handlePartFailure(e PartFailed) {
	if m.takeOffSend(e.Send, e.Need) == nil {
		m.dropped++
	} else {
		m.updateServes(&m.needs[e.Need], e.Serves)
		m.handleFailure(e.Need, failedAttempt{e.Outcome, e.Reason, e.RetryAfter, e.Broken})
	}
	if e.Last {
		m.endSend(e.Send, failedAttempt{reason: core.ReasonCutReply})
	}
}

// endSend fails the unanswered shards of a send.
func (m *Machine) endSend(id SendID, attempt failedAttempt) {
	send := m.findSend(id)
	if send == nil {
		return
	}
	unanswered := send.remaining
	send.remaining = nil
	for _, index := range unanswered {
		m.needs[index].openSends--
		m.handleFailure(index, attempt)
	}
}

// withdrawSend cancels the unanswered rest of a send.
func (m *Machine) withdrawSend(position int) {
	send := &m.sends[position]
	if !send.open() {
		return
	}
	for _, index := range send.remaining {
		m.needs[index].openSends--
	}
	send.remaining = nil
	m.actions = append(m.actions, CancelSend{ID: m.sendID(position)})
}
