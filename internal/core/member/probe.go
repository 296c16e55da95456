package member

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// probe is a sent heartbeat that awaits its reply.
type probe struct {
	target core.NodeID
	// indirectTarget is the suspected node that the target was asked to probe.
	indirectTarget core.NodeID
	// replyID identifies the heartbeat of another node on whose behalf this probe was sent.
	replyID ReplyID
	sentAt  core.Time
}

// sendHeartbeat sends the next neighbour its heartbeat when it is due.
func (m *Machine) sendHeartbeat() {
	m.updateNeighbours()
	if m.now < m.nextHeartbeat || len(m.neighbours) == 0 {
		return
	}
	m.nextHeartbeat = m.now + m.heartbeatInterval()
	m.heartbeatCount++
	p := m.neighbours[m.heartbeatCount%len(m.neighbours)]
	if m.checks[p.node.ID] == nil {
		m.send(p, probe{target: p.node.ID}, m.exchangeWith(p, true))
	}
}

const (
	// startTime is how long after its start a node sends heartbeats startRate times as often.
	startTime = time.Second
	startRate = 3
)

// heartbeatInterval returns the time until the next neighbour gets its heartbeat. It is shorter after the start.
//
// Failure that this prevents: all nodes restart together, and callers are sent to weak nodes until the strong ones are
// known. Each update crosses each link once, so that sooner heartbeats hardly cost more bytes.
func (m *Machine) heartbeatInterval() core.Time {
	interval := m.config.HeartbeatPeriod / core.Time(len(m.neighbours))
	if m.now-m.firstTickAt < startTime {
		return interval / startRate
	}
	return interval
}

// probeDead probes one listed dead or gone node per HeartbeatPeriod, so that the two sides of a healed
// partition find each other at a bounded cost.
func (m *Machine) probeDead() {
	if m.now < m.nextDeadProbe {
		return
	}
	m.nextDeadProbe = m.now + m.config.HeartbeatPeriod
	for range m.order {
		m.deadProbeIndex = (m.deadProbeIndex + 1) % len(m.order)
		p := m.order[m.deadProbeIndex]
		if p.is(stateDead, stateGone) && p.listed {
			m.probe(p, probe{target: p.node.ID})
			return
		}
	}
}

func (m *Machine) probe(p *peer, sent probe) {
	message := m.message(p)
	message.Probe = sent.indirectTarget
	m.send(p, sent, message)
}

func (m *Machine) send(p *peer, sent probe, message *Message) {
	m.sequence++
	sent.sentAt = m.now
	id := ProbeID(m.sequence)
	m.probes[id] = sent
	m.emit(Send{Probe: id, To: p.node, Message: message})
}

func (m *Machine) expireProbes() {
	var expired []ProbeID
	for id, sent := range m.probes {
		timeout := m.config.ReplyTimeout
		if sent.indirectTarget != "" {
			// The intermediate node waits up to its own ReplyTimeout before it answers.
			timeout *= 2
		}
		if m.now-sent.sentAt >= timeout {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		m.failed(id)
	}
}

func (m *Machine) failed(id ProbeID) {
	sent, ok := m.probes[id]
	if !ok {
		return
	}
	delete(m.probes, id)
	switch {
	case sent.replyID != 0:
		m.reply(sent.replyID, nil, sent.target, false)
	case sent.indirectTarget == "":
		m.startCheck(m.peers[sent.target])
	}
}

func (m *Machine) replied(e ReplyReceived) {
	sent, ok := m.probes[e.Probe]
	if !ok {
		return
	}
	delete(m.probes, e.Probe)
	m.receiveMessage(e.Message)
	m.pause.addReply(e.Message)
	m.join.receiveReply(e.Message)
	m.replyReceived(m.peers[sent.target], e.Message)
	if sent.replyID != 0 {
		m.reply(sent.replyID, nil, sent.target, true)
	}
	if sent.indirectTarget != "" && e.Message.Reached {
		m.answered(m.peers[sent.indirectTarget])
	}
}

// received answers a heartbeat. A heartbeat does not prove that its sender can be reached: with
// one-way loss its heartbeats arrive while it receives nothing. So a heartbeat from a dead node
// only causes a probe of it.
func (m *Machine) received(e HeartbeatReceived) {
	m.receiveMessage(e.Message)
	from := m.peers[e.Message.From.ID]
	if from != nil && !m.isHeldBack(e.Message) && from.is(stateUnknown, stateDead) && m.checks[from.node.ID] == nil {
		m.probe(from, probe{target: from.node.ID})
	}
	if e.Message.Exchange && from != nil {
		m.emit(Reply{ReplyID: e.ReplyID, Message: m.exchangeWith(from, false)})
		return
	}
	target := m.peers[e.Message.Probe]
	if target == nil {
		m.reply(e.ReplyID, from, "", false)
		return
	}
	m.probe(target, probe{target: target.node.ID, replyID: e.ReplyID})
}

func (m *Machine) reply(replyID ReplyID, to *peer, target core.NodeID, reached bool) {
	message := m.message(to)
	message.Probe = target
	message.Reached = reached
	m.emit(Reply{ReplyID: replyID, Message: message})
}

// answered records proof, direct or indirect, that a node answers.
func (m *Machine) answered(p *peer) {
	if p == nil {
		return
	}
	p.answeredAt = m.now
	delete(m.checks, p.node.ID)
	if p.is(stateSuspect) {
		// Other nodes may suspect it for a valid reason, but it answers: its witnesses are dropped
		// here, and the node refutes the claim elsewhere.
		p.witnesses = [witnessesNeeded]Witness{}
	}
	if p.is(stateDead) {
		// It becomes live again by its own refutation, which the reply carried.
		return
	}
	m.fire(p, eventAnswered)
}
