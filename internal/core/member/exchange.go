package member

import (
	"slices"
	"sort"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// A node numbers its changes of state. Each heartbeat and reply to a neighbour carries the changes
// above the number that the neighbour acknowledged last. So each update crosses each link once, and
// updates of a lost message are sent again with the next one.
//
// Failure that this prevents: hundreds of nodes start at once. If each update were sent with a
// fixed number of messages, to whichever neighbours come next, some neighbours would get it several
// times and others never, and the fleet would take a minute to agree on its nodes
// (TestALargeFleetFindsItselfSoon).

// exchange is the progress of the exchange of changes with one neighbour.
type exchange struct {
	// ackedSeq is the number of this node's last change that the neighbour has acknowledged.
	ackedSeq uint64
	// receivedSeq is the number of the neighbour's last change applied here, as counted by the
	// neighbour's incarnation receivedFrom.
	receivedSeq, receivedFrom uint64
	// knownByPeer holds, per node, the number of the change that the neighbour already reported
	// identically. These changes need not be sent to it.
	knownByPeer map[core.NodeID]uint64
}

// change is a numbered change of a node's state.
type change struct {
	seq  uint64
	peer *peer
}

// recordChange numbers a change of a node's state, to be sent to all neighbours.
func (m *Machine) recordChange(p *peer) {
	m.lastChangeSeq++
	p.changeSeq = m.lastChangeSeq
	m.changes = append(m.changes, change{m.lastChangeSeq, p})
	const slack = 64
	if len(m.changes) > 2*len(m.peers)+slack {
		m.changes = slices.DeleteFunc(m.changes, func(c change) bool { return !m.isCurrent(c) })
	}
}

// isCurrent reports whether a change is the latest one of a node that is still known.
func (m *Machine) isCurrent(c change) bool {
	return c.seq == c.peer.changeSeq && m.peers[c.peer.node.ID] == c.peer
}

// unackedUpdates lists the changes that a neighbour has not acknowledged, and the change number
// that it has reached once it has applied the list.
func (m *Machine) unackedUpdates(to *peer) (list []Update, mark uint64) {
	x := &to.exchange
	mark = x.ackedSeq
	first := sort.Search(len(m.changes), func(i int) bool { return m.changes[i].seq > x.ackedSeq })
	for _, c := range m.changes[first:] {
		if len(list) >= m.config.MaxUpdates {
			return list, mark
		}
		mark = c.seq
		if m.isCurrent(c) && c.peer != to && x.knownByPeer[c.peer.node.ID] != c.seq {
			list = append(list, m.update(c.peer))
		}
	}
	return list, m.lastChangeSeq
}

// maxFirstUpdates bounds the updates sent to a neighbour whose state is unknown. Its reply either shows
// that its view is the same, as it is where rings close behind a dead node, or carries its own
// updates, which then need not be sent to it.
const maxFirstUpdates = 8

// deferUpdates reports whether nothing was exchanged with a node yet and the list would be long.
func (m *Machine) deferUpdates(to *peer) bool {
	return to.exchange.ackedSeq == 0 && to.exchange.receivedSeq == 0 && len(m.changes) > maxFirstUpdates
}

// receiveExchange records the sender's change number, its acknowledgement and the states it has.
func (m *Machine) receiveExchange(message *Message) {
	from := m.peers[message.From.ID]
	if from == nil || !message.Exchange || from.incarnation != message.Incarnation {
		return
	}
	x := &from.exchange
	if x.receivedFrom != message.Incarnation {
		x.receivedSeq, x.receivedFrom = 0, message.Incarnation
	}
	x.receivedSeq = max(x.receivedSeq, message.Mark)
	m.receiveAck(x, message)
	for _, update := range message.Updates {
		m.noteKnownByPeer(x, update)
	}
}

// receiveAck applies the sender's acknowledgement. A sender without one that routes by the same
// view needs no updates: rings close behind every dead node, and each new neighbour would otherwise
// be sent the full state.
func (m *Machine) receiveAck(x *exchange, message *Message) {
	x.ackedSeq = 0
	if message.SeenOf == m.config.Incarnation {
		x.ackedSeq = min(message.Seen, m.lastChangeSeq)
	}
	if x.ackedSeq == 0 && message.View == m.view.ID() {
		x.ackedSeq = m.lastChangeSeq
	}
	if x.ackedSeq == m.lastChangeSeq {
		x.knownByPeer = nil
	}
}

// noteKnownByPeer records a state that the sender reported identically to this node's.
func (m *Machine) noteKnownByPeer(x *exchange, update Update) {
	p := m.peers[update.Node.ID]
	if p == nil || p.changeSeq <= x.ackedSeq {
		return
	}
	own := m.update(p)
	if own.Incarnation != update.Incarnation || own.Version != update.Version || own.Standing != update.Standing || own.Witnesses != update.Witnesses {
		return
	}
	if x.knownByPeer == nil {
		x.knownByPeer = map[core.NodeID]uint64{}
	}
	x.knownByPeer[update.Node.ID] = p.changeSeq
}
