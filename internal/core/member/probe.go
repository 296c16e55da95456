package member

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// probe is a heartbeat that awaits its reply.
type probe struct {
	target core.NodeID
	// about is the doubted node that the target was asked to reach.
	about core.NodeID
	// ticket is the heartbeat of another node on whose behalf this one was
	// sent.
	ticket ReplyID
	sentAt core.Time
}

// sendHeartbeat sends the next neighbour its heartbeat when that is due.
func (m *Machine) sendHeartbeat() {
	m.refresh()
	if m.now < m.nextBeat || len(m.neighbours) == 0 {
		return
	}
	m.nextBeat = m.now + m.config.HeartbeatPeriod/core.Time(len(m.neighbours))
	m.beat++
	p := m.neighbours[m.beat%len(m.neighbours)]
	if m.doubts[p.node.ID] == nil {
		m.send(p, probe{target: p.node.ID}, m.exchangeWith(p, true))
	}
}

// retryLost probes one dead or silent node a period, so that the two sides of a
// partition find each other again at a bounded cost.
func (m *Machine) retryLost() {
	if m.now < m.nextRetry {
		return
	}
	m.nextRetry = m.now + m.config.HeartbeatPeriod
	for range m.order {
		m.retryAt = (m.retryAt + 1) % len(m.order)
		p := m.order[m.retryAt]
		if p.is(stateDead, stateGone) && p.listed {
			m.probe(p, probe{target: p.node.ID})
			return
		}
	}
}

func (m *Machine) probe(p *peer, what probe) {
	message := m.message(p)
	message.Probe = what.about
	m.send(p, what, message)
}

func (m *Machine) send(p *peer, what probe, message *Message) {
	m.sequence++
	what.sentAt = m.now
	id := ProbeID(m.sequence)
	m.probes[id] = what
	m.act(Send{Probe: id, To: p.node, Message: message})
}

func (m *Machine) expireProbes() {
	var late []ProbeID
	for id, waiting := range m.probes {
		limit := m.config.ReplyTimeout
		if waiting.about != "" {
			// The helper needs its own ReplyWait before it can answer.
			limit *= 2
		}
		if m.now-waiting.sentAt >= limit {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		m.failed(id)
	}
}

func (m *Machine) failed(id ProbeID) {
	waiting, ok := m.probes[id]
	if !ok {
		return
	}
	delete(m.probes, id)
	switch {
	case waiting.ticket != 0:
		m.reply(waiting.ticket, nil, waiting.target, false)
	case waiting.about == "":
		m.unanswered(m.peers[waiting.target])
	}
}

func (m *Machine) replied(e ReplyReceived) {
	waiting, ok := m.probes[e.Probe]
	if !ok {
		return
	}
	delete(m.probes, e.Probe)
	m.learn(e.Message)
	m.pause.heard(e.Message)
	m.answered(m.peers[waiting.target])
	if waiting.ticket != 0 {
		m.reply(waiting.ticket, nil, waiting.target, true)
	}
	if waiting.about != "" && e.Message.Reached {
		m.answered(m.peers[waiting.about])
	}
}

// received answers a heartbeat. Hearing from a node does not prove that it can
// be reached: with one-way loss its heartbeats arrive while nothing reaches it.
// So a heartbeat from a lost node only leads to a probe of it.
func (m *Machine) received(e HeartbeatReceived) {
	m.learn(e.Message)
	from := m.peers[e.Message.From.ID]
	if from != nil && from.is(stateUnknown, stateDead) && m.doubts[from.node.ID] == nil {
		m.probe(from, probe{target: from.node.ID})
	}
	if e.Message.Exchange && from != nil {
		m.act(Reply{ReplyID: e.ReplyID, Message: m.exchangeWith(from, false)})
		return
	}
	about := m.peers[e.Message.Probe]
	if about == nil {
		m.reply(e.ReplyID, from, "", false)
		return
	}
	m.probe(about, probe{target: about.node.ID, ticket: e.ReplyID})
}

func (m *Machine) reply(ticket ReplyID, to *peer, about core.NodeID, reached bool) {
	message := m.message(to)
	message.Probe = about
	message.Reached = reached
	m.act(Reply{ReplyID: ticket, Message: message})
}

// answered takes up proof that a node answers, by whatever path.
func (m *Machine) answered(p *peer) {
	if p == nil {
		return
	}
	p.answeredAt = m.now
	delete(m.doubts, p.node.ID)
	if p.is(stateSuspect) {
		// Others may doubt it for good reason, but it answers: the claim of
		// one witness is dropped here, and the node refutes it elsewhere.
		p.witnesses = [witnessesNeeded]Witness{}
	}
	if p.is(stateDead) {
		// It returns by its own refutation, which the reply carried.
		return
	}
	m.fire(p, eventAnswered)
}
