package member

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Standing is a state as it is told to others.
type Standing uint8

// The standings, by rising precedence within one incarnation and version.
const (
	StandingLive Standing = iota
	StandingSuspect
	StandingDead
	StandingLeaving
)

// Message is a heartbeat or its reply.
type Message struct {
	From        route.Node
	Incarnation uint64
	// Version rises each time the sender refutes a claim about itself.
	Version  uint32
	Revision uint64
	Digest   uint64
	View     uint64
	Leaving  bool
	Updates  []Update
	Drains   []Drain
	// Probe is the node to be reached on the sender's behalf, or in a reply
	// the one that was tried; Reached says whether it answered.
	Probe   core.NodeID
	Reached bool
	// Exchange is set between neighbours, which tell each other every change. Mark is then the
	// place in the sender's changes up to which the receiver has them all once it has taken the
	// updates up; Seen is the place in the receiver's that the sender has reached, as counted by the
	// receiver's incarnation SeenOf.
	Exchange     bool
	Mark         uint64
	Seen, SeenOf uint64
}

// Update is a claim about a node.
type Update struct {
	// Node has addresses only when the VM list may lack it.
	Node        route.Node
	Incarnation uint64
	Version     uint32
	Standing    Standing
	Witnesses   [witnessesNeeded]Witness
}

// Witness names a node that found another unreachable, as it was at the time.
type Witness struct {
	// Node is a hash of the witness's id, never 0.
	Node uint32
	// Term is a hash of its incarnation and version.
	Term uint32
}

// message makes a heartbeat for a node; to may be nil.
func (m *Machine) message(to *peer) *Message {
	message := &Message{
		From:        m.config.Self,
		Incarnation: m.config.Incarnation,
		Version:     m.version,
		Revision:    m.tick.Revision,
		Digest:      m.tick.Digest,
		View:        m.view.ID(),
		Leaving:     m.leaving,
		Drains:      m.drainNews(),
	}
	if to != nil && to.is(stateSuspect, stateDead) {
		// A claim about the receiver itself, which it must be able to refute.
		message.Updates = append(message.Updates, m.update(to))
	}
	return message
}

// exchangeWith makes a heartbeat that also tells a neighbour what changed. An opening one is the
// first word of two; the other answers it.
func (m *Machine) exchangeWith(to *peer, opening bool) *Message {
	message := m.message(to)
	message.Exchange = true
	message.Seen, message.SeenOf = to.exchange.heard, to.exchange.heardOf
	if opening && m.unmet(to) {
		return message
	}
	updates, mark := m.updates(to)
	message.Mark = mark
	if len(updates) == 0 {
		updates = m.repair()
	}
	message.Updates = append(message.Updates, updates...)
	return message
}

func (m *Machine) update(p *peer) Update {
	update := Update{
		Node:        route.Node{ID: p.node.ID},
		Incarnation: p.incarnation,
		Version:     p.version,
		Standing:    standing(p.state),
		Witnesses:   p.witnesses,
	}
	if !p.listed || p.bare || p.is(stateUnknown) {
		update.Node = p.node
	}
	return update
}

func standing(state chart.State) Standing {
	switch state {
	case stateSuspect:
		return StandingSuspect
	case stateDead:
		return StandingDead
	case stateLeaving, stateGone:
		return StandingLeaving
	default:
		return StandingLive
	}
}
