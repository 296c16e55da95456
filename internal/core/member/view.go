package member

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// split remembers since when other views are seen.
type split struct {
	// differsSince is when heartbeats began to show another view, or 0.
	differsSince core.Time
	lastDiffer   core.Time
	raised       bool
	unreached    int
	lostSince    core.Time
}

// refresh brings the order, the neighbours and the wanted view up to date.
func (m *Machine) refresh() {
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
		if next := m.neighbour(ring); next != nil {
			m.neighbours = append(m.neighbours, next)
		}
	}
	centres := map[string]bool{m.config.Self.DataCentre: true}
	for _, p := range m.order {
		if p.is(stateLive) {
			centres[p.node.DataCentre] = true
		}
	}
	m.centres = len(centres)
}

// neighbour is the next node in a ring that is not a neighbour yet. Each node then has as many
// watchers as there are rings. The rings behind the crossing ones run within the data centre, as far
// as that has nodes enough.
func (m *Machine) neighbour(ring int) *peer {
	for _, inside := range []bool{ring >= m.config.CrossDataCentreRings, false} {
		// The first few may be neighbours already.
		for _, next := range m.successors(ring, m.config.Neighbours, inside) {
			if !slices.Contains(m.neighbours, next) {
				return next
			}
		}
	}
	return nil
}

// successors are the next nodes after this one in a ring, at most so many, of all data centres or
// of its own.
func (m *Machine) successors(ring, count int, inside bool) []*peer {
	self := pairHash(m.config.Self.ID, uint64(ring))
	type place struct {
		distance uint64
		peer     *peer
	}
	var found []place
	for _, p := range m.order {
		if p.is(stateDead, stateGone, stateLeaving) || inside && p.node.DataCentre != m.config.Self.DataCentre {
			continue
		}
		one := place{pairHash(p.node.ID, uint64(ring)) - self, p}
		at, _ := slices.BinarySearchFunc(found, one, func(a, b place) int { return cmp.Compare(a.distance, b.distance) })
		if at >= count {
			continue
		}
		found = slices.Insert(found, at, one)
		found = found[:min(len(found), count)]
	}
	peers := make([]*peer, 0, len(found))
	for _, one := range found {
		peers = append(peers, one.peer)
	}
	return peers
}

// publish makes the routing view when something changed and the set of nodes
// is another.
func (m *Machine) publish() {
	if !m.changed {
		return
	}
	m.refresh()
	m.changed = false
	var nodes []route.Node
	if !m.leaving && !m.listedLeaving {
		nodes = append(nodes, m.config.Self)
	}
	for _, p := range m.order {
		if p.routed() {
			nodes = append(nodes, p.node)
		}
	}
	if len(nodes) == 0 {
		nodes = append(nodes, m.config.Self)
	}
	next := route.NewView(nodes)
	if m.started && (!m.published || !sameNodes(next.Nodes(), m.view.Nodes())) {
		if gained(next.Nodes(), m.view) {
			m.repeatDrains()
		}
		m.published = true
		m.act(Publish{View: next})
	}
	m.view = next
}

// sameNodes also tells a node that came back at another address.
func sameNodes(a, b []route.Node) bool { return slices.Equal(a, b) }

// routed reports whether work is routed to the node.
func (p *peer) routed() bool {
	if p.listedLeaving {
		return false
	}
	return p.is(stateLive, stateSuspect) || p.is(stateUnknown) && p.presumed
}

// compareView notes whether the sender routes by another view.
func (m *Machine) compareView(message *Message) {
	if message.View == m.view.ID() {
		return
	}
	m.split.lastDiffer = m.now
	if m.split.differsSince == 0 {
		m.split.differsSince = m.now
	}
}

// checkSplit raises a problem when other views are seen for long, or when the
// VM list shows several nodes live that do not answer: beyond a partition no
// heartbeat comes that could show another view.
func (m *Machine) checkSplit() {
	if m.split.differsSince > 0 && m.now-m.split.lastDiffer > 2*m.config.HeartbeatPeriod {
		m.split.differsSince = 0
	}
	m.tellUnreached()
	unreached := len(m.unreached)
	switch {
	case unreached < 2:
		m.split.lostSince = 0
	case m.split.lostSince == 0:
		m.split.lostSince = m.now
	}
	present := m.longSince(m.split.differsSince) || m.longSince(m.split.lostSince)
	if present != m.split.raised || present && unreached != m.split.unreached {
		m.act(SplitView{Present: present, Unreached: unreached})
	}
	m.split.raised = present
	m.split.unreached = unreached
}

func (m *Machine) longSince(at core.Time) bool {
	return at > 0 && m.now-at >= m.config.SplitViewDelay
}

// tellUnreached tells which nodes are lost though the VM list shows them live,
// when that has changed.
func (m *Machine) tellUnreached() {
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
	m.act(Unreached{Nodes: lost})
}

func gained(nodes []route.Node, former *route.View) bool {
	return slices.ContainsFunc(nodes, func(node route.Node) bool {
		_, known := former.Node(node.ID)
		return !known
	})
}
