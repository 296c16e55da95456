package member

import "github.com/pistachiopier/pistachiopier/internal/core"

// A node that starts exchanges heartbeats before it can serve. It says so in them, and other nodes do not route to it until
// it has a configuration in force and knows which upstreams are draining.
//
// Failure that this prevents: a node that was just started answers heartbeats, and other nodes send it callers, which it
// refuses, or requests for a bundle, which it sends to an upstream that has been draining for long.
//
// Nodes in the first reading of the VM list are routed to nevertheless, and nodes that start take each other for live: when
// all nodes start at once, none is known to serve.

// join is the progress of this node's start.
type join struct {
	startedAt core.Time
	// joined is set once the node can serve.
	joined bool
	// informed is set once a node that serves has sent its drain marks. replies counts the replies of all nodes.
	informed bool
	replies  int
}

func (j *join) receiveReply(message *Message) {
	j.informed = j.informed || !message.Starting
	j.replies++
}

func (m *Machine) isStarting() bool { return m.config.AnnounceStart && !m.join.joined }

// isHeldBack reports whether the sender of a message is not to be routed to yet.
func (m *Machine) isHeldBack(message *Message) bool { return message.Starting && !m.isStarting() }

// joinWhenReady ends the start of this node and announces that to its neighbours.
func (m *Machine) joinWhenReady() {
	if !m.isStarting() {
		return
	}
	if m.join.startedAt == 0 {
		m.join.startedAt = max(m.now, 1)
	}
	m.updateNeighbours()
	// Where all neighbours start too, none knows a mark.
	knowsDrains := m.join.informed || m.started && m.join.replies >= len(m.neighbours) || m.now-m.join.startedAt >= m.config.JoinTimeout
	if m.tick.Revision == 0 || !knowsDrains {
		return
	}
	m.join.joined = true
	for _, p := range m.neighbours {
		m.send(p, probe{target: p.node.ID}, m.exchangeWith(p, true))
	}
}

// replyReceived handles the reply of a node. One that was not live and is starting is not live yet.
func (m *Machine) replyReceived(p *peer, message *Message) {
	if p != nil && p.is(stateUnknown) && m.isHeldBack(message) {
		p.answeredAt = m.now
		delete(m.checks, p.node.ID)
		return
	}
	m.answered(p)
}

// requestAnswered handles evidence from data traffic. Where nodes announce their starts, only a heartbeat tells whether an
// unknown node can serve.
func (m *Machine) requestAnswered(p *peer) {
	if m.config.AnnounceStart && p != nil && p.is(stateUnknown) && !p.presumedLive {
		return
	}
	m.answered(p)
}
