package member

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Standing is a node's state as sent to other nodes.
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
	// Starting is set until the sender can serve: see join.go.
	Starting bool
	Updates  []Update
	Drains   []Drain
	// Probe is the node to be probed on the sender's behalf or, in a reply, the node that was
	// probed. Reached reports whether it answered.
	Probe   core.NodeID
	Reached bool
	// Exchange is set between neighbours, which send each other every change. Mark is the number of
	// the sender's last change that the receiver has once it has applied the updates. Seen is the
	// number of the receiver's last change that the sender has, as counted by the receiver's
	// incarnation SeenOf.
	Exchange     bool
	Mark         uint64
	Seen, SeenOf uint64
}

// Update is a claim about a node's state.
type Update struct {
	// Node has addresses only when the VM list may lack it.
	Node        route.Node
	Incarnation uint64
	Version     uint32
	Standing    Standing
	Witnesses   [witnessesNeeded]Witness
}

// Witness identifies a node that found another unreachable, with its incarnation and version at
// that time.
type Witness struct {
	// Node is a hash of the witness's id, never 0.
	Node uint32
	// Term is a hash of its incarnation and version.
	Term uint32
}

// message returns a heartbeat for a node; to may be nil.
func (m *Machine) message(to *peer) *Message {
	message := &Message{
		From:        m.config.Self,
		Incarnation: m.config.Incarnation,
		Version:     m.version,
		Revision:    m.tick.Revision,
		Digest:      m.tick.Digest,
		View:        m.view.ID(),
		Leaving:     m.leaving,
		Starting:    m.isStarting(),
		Drains:      m.nextDrains(),
	}
	if to == nil || to.is(stateUnknown) {
		message.Drains = m.activeDrains()
	}
	if to != nil && to.is(stateSuspect, stateDead) {
		// Send the claim about the receiver itself, so that it can refute it.
		message.Updates = append(message.Updates, m.update(to))
	}
	return message
}

// exchangeWith returns a heartbeat with the changes that a neighbour lacks. request is set for a
// heartbeat and unset for its reply.
func (m *Machine) exchangeWith(to *peer, request bool) *Message {
	message := m.message(to)
	message.Exchange = true
	message.Seen, message.SeenOf = to.exchange.receivedSeq, to.exchange.receivedFrom
	if request && m.deferUpdates(to) {
		return message
	}
	updates, mark := m.unackedUpdates(to)
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
	if !p.listed || p.addressOnly || p.is(stateUnknown) {
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
