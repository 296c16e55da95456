package member

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// splitState records since when other nodes have had differing views.
type splitState struct {
	// differsSince is when heartbeats began to show another view, or 0.
	differsSince   core.Time
	lastDifferedAt core.Time
	reported       bool
	unreached      int
	unreachedSince core.Time
}

// updateNeighbours recomputes the order, the neighbours and the number of data centres.
func (m *Machine) updateNeighbours() {
	if !m.changed {
		return
	}
	m.order = m.order[:0]
	for _, p := range m.peers {
		m.order = append(m.order, p)
	}
	slices.SortFunc(m.order, func(a, b *peer) int { return strings.Compare(string(a.node.ID), string(b.node.ID)) })
	m.neighbours = m.neighbours[:0]
	for ring := range m.config.Neighbours {
		if next := m.nextNeighbour(ring); next != nil {
			m.neighbours = append(m.neighbours, next)
		}
	}
	dataCentres := map[string]bool{m.config.Self.DataCentre: true}
	for _, p := range m.order {
		if p.is(stateLive) {
			dataCentres[p.node.DataCentre] = true
		}
	}
	m.dataCentres = len(dataCentres)
}

// nextNeighbour returns the nearest successor in a ring that is not a neighbour yet, so that each
// node is watched by as many nodes as there are rings. The rings after the cross-data-centre ones
// stay within the data centre as long as it has enough nodes.
func (m *Machine) nextNeighbour(ring int) *peer {
	for _, sameDataCentre := range []bool{ring >= m.config.CrossDataCentreRings, false} {
		// The first few may be neighbours already.
		for _, next := range m.successors(ring, m.config.Neighbours, sameDataCentre) {
			if !slices.Contains(m.neighbours, next) {
				return next
			}
		}
	}
	return nil
}

// successors returns up to count nodes that follow this one in a ring, of all data centres or only
// of its own.
func (m *Machine) successors(ring, count int, sameDataCentre bool) []*peer {
	self := pairHash(m.config.Self.ID, uint64(ring))
	type candidate struct {
		distance uint64
		peer     *peer
	}
	var found []candidate
	for _, p := range m.order {
		if p.is(stateDead, stateGone, stateLeaving) || sameDataCentre && p.node.DataCentre != m.config.Self.DataCentre {
			continue
		}
		next := candidate{pairHash(p.node.ID, uint64(ring)) - self, p}
		at, _ := slices.BinarySearchFunc(found, next, func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) })
		if at >= count {
			continue
		}
		found = slices.Insert(found, at, next)
		found = found[:min(len(found), count)]
	}
	peers := make([]*peer, 0, len(found))
	for _, next := range found {
		peers = append(peers, next.peer)
	}
	return peers
}

// publish builds the routing view after a change and publishes it if the set of nodes differs.
func (m *Machine) publish() {
	if !m.changed {
		return
	}
	m.updateNeighbours()
	m.changed = false
	var nodes []route.Node
	if !m.leaving && !m.listedLeaving {
		nodes = append(nodes, m.config.Self)
	}
	for _, p := range m.order {
		if p.routable() {
			nodes = append(nodes, p.node)
		}
	}
	if len(nodes) == 0 {
		nodes = append(nodes, m.config.Self)
	}
	next := route.NewView(nodes)
	if m.started && (!m.published || !sameNodes(next.Nodes(), m.view.Nodes())) {
		if hasNewNode(next.Nodes(), m.view) {
			m.resendDrains()
		}
		m.published = true
		m.emit(Publish{View: next})
	}
	m.view = next
}

// sameNodes also detects a node that returned at another address.
func sameNodes(a, b []route.Node) bool { return slices.Equal(a, b) }

// routable reports whether work is routed to the node.
func (p *peer) routable() bool {
	if p.listedLeaving {
		return false
	}
	return p.is(stateLive, stateSuspect) || p.is(stateUnknown) && p.presumedLive
}

// compareView records whether the sender routes by another view.
func (m *Machine) compareView(message *Message) {
	if message.View == m.view.ID() {
		return
	}
	m.split.lastDifferedAt = m.now
	if m.split.differsSince == 0 {
		m.split.differsSince = m.now
	}
}

// checkSplit raises a problem when differing views persist, or when several nodes that the VM list
// shows live do not answer: from across a partition no heartbeat arrives that could show another
// view.
func (m *Machine) checkSplit() {
	if m.split.differsSince > 0 && m.now-m.split.lastDifferedAt > 2*m.config.HeartbeatPeriod {
		m.split.differsSince = 0
	}
	m.emitUnreached()
	unreached := len(m.unreached)
	switch {
	case unreached < 2:
		m.split.unreachedSince = 0
	case m.split.unreachedSince == 0:
		m.split.unreachedSince = m.now
	}
	present := m.splitDelayPassed(m.split.differsSince) || m.splitDelayPassed(m.split.unreachedSince)
	if present != m.split.reported || present && unreached != m.split.unreached {
		m.emit(SplitView{Present: present, Unreached: unreached})
	}
	m.split.reported = present
	m.split.unreached = unreached
}

func (m *Machine) splitDelayPassed(since core.Time) bool {
	return since > 0 && m.now-since >= m.config.SplitViewDelay
}

// emitUnreached emits the set of dead nodes that the VM list shows live when the set has changed.
func (m *Machine) emitUnreached() {
	var lost []core.NodeID
	for _, p := range m.order {
		if p.is(stateDead) && p.listed && !p.listedLeaving {
			lost = append(lost, p.node.ID)
		}
	}
	if slices.Equal(lost, m.unreached) {
		return
	}
	m.unreached = lost
	m.emit(Unreached{Nodes: lost})
}

func hasNewNode(nodes []route.Node, former *route.View) bool {
	return slices.ContainsFunc(nodes, func(node route.Node) bool {
		_, known := former.Node(node.ID)
		return !known
	})
}
