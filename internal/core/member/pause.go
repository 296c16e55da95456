package member

import "github.com/pistachiopier/pistachiopier/internal/core"

// neededConfirmations is how many nodes must show the same view after a pause.
const neededConfirmations = 2

// newerConfigTimeouts is how many times ConfirmTimeout the node stays paused while other nodes are
// known to have a newer configuration.
const newerConfigTimeouts = 5

// pause is the state of the confirmation after this process was paused.
type pause struct {
	confirming bool
	resumedAt  core.Time
	// replies holds the latest reply of each node since the process resumed.
	replies map[core.NodeID]*Message
}

func (p *pause) addReply(message *Message) {
	if p.confirming {
		p.replies[message.From.ID] = message
	}
}

// checkPause detects from a late tick that this process was paused. Without this check, a resumed
// process would keep its outdated state and send work to replicas that other nodes own by now,
// under a configuration that was replaced. So the node counts as paused before it handles anything
// else. Every running check is dropped, since this node itself did not answer.
func (m *Machine) checkPause() {
	late := m.now - m.lastTickAt - TickInterval
	if m.lastTickAt == 0 || late < m.config.PauseLimit {
		return
	}
	m.probes = map[ProbeID]probe{}
	m.checks = map[core.NodeID]*suspicionCheck{}
	for _, p := range m.peers {
		p.answeredAt = 0
	}
	m.pause = pause{confirming: true, resumedAt: m.now, replies: map[core.NodeID]*Message{}}
	m.emit(SetPaused{Paused: true, Late: late})
	m.updateNeighbours()
	for _, p := range m.neighbours {
		m.probe(p, probe{target: p.node.ID})
	}
}

// confirm ends the pause once enough nodes show the same view and none a newer configuration, or
// when the timeout has passed.
func (m *Machine) confirm() {
	if !m.pause.confirming {
		return
	}
	agreeing := 0
	limit := m.config.ConfirmTimeout
	for _, reply := range m.pause.replies {
		switch {
		case reply.Revision > m.tick.Revision:
			limit = newerConfigTimeouts * m.config.ConfirmTimeout
		case reply.View == m.view.ID():
			agreeing++
		}
	}
	outdated := limit > m.config.ConfirmTimeout
	confirmed := agreeing >= min(neededConfirmations, len(m.neighbours)) && !outdated
	if !confirmed && m.now-m.pause.resumedAt < limit {
		return
	}
	m.pause = pause{}
	m.emit(SetPaused{})
}
