package member

import "github.com/pistachiopier/pistachiopier/internal/core"

// confirmations is how many nodes must agree with this one after a pause.
const confirmations = 2

// newerTextWaits is how many times ConfirmWait the node stays paused while
// others are known to run by a newer text than this node.
const newerTextWaits = 5

// pause is the confirmation of beliefs after this process stood still.
type pause struct {
	confirming bool
	wokeAt     core.Time
	// replies are the latest words of the nodes heard since the wake.
	replies map[core.NodeID]*Message
}

func (p *pause) heard(message *Message) {
	if p.confirming {
		p.replies[message.From.ID] = message
	}
}

// checkPause finds that the process stood still: its tick came late. A process
// that was stopped goes on with what it believed before: it would send work to
// replicas that others own by now, by a text that was replaced. So the node
// counts as paused before anything else happens, and every open check is
// dropped, since it was this node that did not answer.
func (m *Machine) checkPause() {
	late := m.now - m.lastTick - TickInterval
	if m.lastTick == 0 || late < m.config.PauseLimit {
		return
	}
	m.probes = map[ProbeID]probe{}
	m.doubts = map[core.NodeID]*doubt{}
	for _, p := range m.peers {
		p.answeredAt = 0
	}
	m.pause = pause{confirming: true, wokeAt: m.now, replies: map[core.NodeID]*Message{}}
	m.act(SetPaused{Paused: true, Late: late})
	m.refresh()
	for _, p := range m.neighbours {
		m.probe(p, probe{target: p.node.ID})
	}
}

// confirm ends the pause once enough nodes show this node's view and no newer
// configuration, or when nobody can be reached for long.
func (m *Machine) confirm() {
	if !m.pause.confirming {
		return
	}
	agreeing := 0
	limit := m.config.ConfirmTimeout
	for _, reply := range m.pause.replies {
		switch {
		case reply.Revision > m.tick.Revision:
			limit = newerTextWaits * m.config.ConfirmTimeout
		case reply.View == m.view.ID():
			agreeing++
		}
	}
	older := limit > m.config.ConfirmTimeout
	confirmed := agreeing >= min(confirmations, len(m.neighbours)) && !older
	if !confirmed && m.now-m.pause.wokeAt < limit {
		return
	}
	m.pause = pause{}
	m.act(SetPaused{})
}
