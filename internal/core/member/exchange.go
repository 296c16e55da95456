package member

import (
	"slices"
	"sort"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// A node keeps its changes of belief in an order of its own, and tells each neighbour, on every
// heartbeat and reply, those behind the place that the neighbour confirmed last. So a piece of
// news crosses each link once, and what was lost with a message goes with the next one.
//
// The failure that this guards against: hundreds of nodes start at once. If each let a number of its messages carry
// each piece of news, to whichever neighbours come next, some neighbours would have it several times and
// others never, and the fleet would not agree on its nodes for a minute (TestALargeFleetFindsItselfSoon).

// exchange is how far this node and a neighbour have told each other what changed.
type exchange struct {
	// acked is the place in this node's changes up to which the neighbour has them.
	acked uint64
	// heard is the place in the neighbour's changes up to which they were taken up here; they
	// are those of its incarnation heardOf.
	heard, heardOf uint64
	// same holds the places of states that the neighbour told just as this node believes them.
	// They need not be told back.
	same map[core.NodeID]uint64
}

// change is a place in a node's order of changes.
type change struct {
	at   uint64
	peer *peer
}

// tell notes that the state of a node changed, for all neighbours to hear.
func (m *Machine) tell(p *peer) {
	m.changedAt++
	p.changedAt = m.changedAt
	m.changes = append(m.changes, change{m.changedAt, p})
	const slack = 64
	if len(m.changes) > 2*len(m.peers)+slack {
		m.changes = slices.DeleteFunc(m.changes, func(c change) bool { return !m.current(c) })
	}
}

// current reports whether a change is the latest one of a node that is still known.
func (m *Machine) current(c change) bool {
	return c.at == c.peer.changedAt && m.peers[c.peer.node.ID] == c.peer
}

// updates lists what a neighbour has not confirmed, and the place up to which it has everything
// once it has taken the list up.
func (m *Machine) updates(to *peer) (list []Update, mark uint64) {
	x := &to.exchange
	mark = x.acked
	first := sort.Search(len(m.changes), func(i int) bool { return m.changes[i].at > x.acked })
	for _, c := range m.changes[first:] {
		if len(list) >= m.config.MaxUpdates {
			return list, mark
		}
		mark = c.at
		if m.current(c) && c.peer != to && x.same[c.peer.node.ID] != c.at {
			list = append(list, m.update(c.peer))
		}
	}
	return list, m.changedAt
}

// firstTold bounds what is told to a node of which it is not known what it knows. Its reply shows
// whether it believes the same already, as it does where rings close up behind a lost node, or brings
// what it believes, which then need not be told to it.
const firstTold = 8

// unmet reports whether nothing was exchanged with a node yet, and much would have to be told.
func (m *Machine) unmet(to *peer) bool {
	return to.exchange.acked == 0 && to.exchange.heard == 0 && len(m.changes) > firstTold
}

// heardFrom takes up how far the sender of a message has come, and what it told.
func (m *Machine) heardFrom(message *Message) {
	from := m.peers[message.From.ID]
	if from == nil || !message.Exchange || from.incarnation != message.Incarnation {
		return
	}
	x := &from.exchange
	if x.heardOf != message.Incarnation {
		x.heard, x.heardOf = 0, message.Incarnation
	}
	x.heard = max(x.heard, message.Mark)
	m.confirmed(x, message)
	for _, update := range message.Updates {
		m.noteSame(x, update)
	}
}

// confirmed takes up what the sender confirms. One that confirms nothing yet and routes by the
// same view has nothing to learn: rings close up behind every lost node, and each new
// neighbour would be told everything.
func (m *Machine) confirmed(x *exchange, message *Message) {
	x.acked = 0
	if message.SeenOf == m.config.Incarnation {
		x.acked = min(message.Seen, m.changedAt)
	}
	if x.acked == 0 && message.View == m.view.ID() {
		x.acked = m.changedAt
	}
	if x.acked == m.changedAt {
		x.same = nil
	}
}

// noteSame remembers a state that the sender told just as this node believes it.
func (m *Machine) noteSame(x *exchange, told Update) {
	p := m.peers[told.Node.ID]
	if p == nil || p.changedAt <= x.acked {
		return
	}
	mine := m.update(p)
	if mine.Incarnation != told.Incarnation || mine.Version != told.Version || mine.Standing != told.Standing || mine.Witnesses != told.Witnesses {
		return
	}
	if x.same == nil {
		x.same = map[core.NodeID]uint64{}
	}
	x.same[told.Node.ID] = p.changedAt
}
