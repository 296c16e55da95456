package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// suspicionCheck is the running check of a node that does not answer.
type suspicionCheck struct {
	roundAt core.Time
	rounds  int
}

// maxChecks bounds the concurrent checks, and so their traffic, when many nodes fail at once. Nodes
// left unchecked are reported again.
const maxChecks = 8

// startCheck starts checking an unresponsive node.
//
// A node that has announced that it leaves is checked by its assigned nodes only, to learn when it is gone. Every node
// with a link to it sees that link end. If each of them checked it, their indirect probes would end links of further nodes,
// which would check it too, until the whole fleet had opened links to a node that is stopping.
func (m *Machine) startCheck(p *peer) {
	if p == nil || p.is(stateDead, stateGone) || m.checks[p.node.ID] != nil || m.pause.confirming {
		return
	}
	if p.is(stateLeaving) && !m.assignedToCheck(p) {
		return
	}
	if len(m.checks) >= maxChecks {
		return
	}
	m.checks[p.node.ID] = &suspicionCheck{roundAt: m.now}
	m.probeRound(p)
}

// advanceChecks starts the next round of each running check. After the last failed round this node
// becomes a witness.
func (m *Machine) advanceChecks() {
	if len(m.checks) == 0 {
		return
	}
	for _, p := range m.order {
		d := m.checks[p.node.ID]
		if d == nil || m.now < d.roundAt+m.config.CheckInterval {
			continue
		}
		d.rounds++
		d.roundAt = m.now
		if d.rounds < m.config.CheckRounds {
			m.probeRound(p)
			continue
		}
		delete(m.checks, p.node.ID)
		m.becomeWitness(p)
	}
}

// startAssignedChecks checks suspected nodes that this node is assigned to, as far as maxChecks
// allows. A claim may have arrived while all checks were in use, as happens when many nodes fail at
// once.
func (m *Machine) startAssignedChecks() {
	for _, p := range m.order {
		if len(m.checks) >= maxChecks {
			return
		}
		if p.is(stateSuspect) && m.checks[p.node.ID] == nil && m.assignedToCheck(p) {
			m.startCheck(p)
		}
	}
}

// probeRound probes a node directly and through other nodes.
func (m *Machine) probeRound(p *peer) {
	m.probe(p, probe{target: p.node.ID})
	for _, prober := range m.indirectProbers(p) {
		m.probe(prober, probe{target: prober.node.ID, indirectTarget: p.node.ID})
	}
}

// indirectProbers selects live nodes to probe through; the selection varies from round to round.
func (m *Machine) indirectProbers(p *peer) []*peer {
	var chosen []*peer
	if len(m.order) == 0 {
		return nil
	}
	start := int(pairHash(p.node.ID, m.sequence) % uint64(len(m.order)))
	for i := range m.order {
		candidate := m.order[(start+i)%len(m.order)]
		if candidate != p && candidate.is(stateLive) && m.checks[candidate.node.ID] == nil {
			chosen = append(chosen, candidate)
		}
		if len(chosen) == m.config.IndirectProbes {
			break
		}
	}
	return chosen
}

// becomeWitness makes this node a witness that p is unreachable. Routing to p stops here at once,
// since indirect probes failed as well.
func (m *Machine) becomeWitness(p *peer) {
	ring := slices.Index(m.neighbours, p)
	p.witnesses[0] = m.ownWitness()
	m.fire(p, eventConfirmed)
	if ring >= 0 {
		m.probeSuccessors(ring)
	}
}

// lossSuccessors is how many successors of a failed neighbour are probed at once. Failures are
// often correlated: if each successor were probed only after its predecessor was confirmed dead,
// detecting the loss of half of a fleet would take as many checks as there are consecutive dead
// nodes.
const lossSuccessors = 3

// probeSuccessors probes the successors of a failed neighbour.
func (m *Machine) probeSuccessors(ring int) {
	m.updateNeighbours()
	for _, p := range m.successors(ring, lossSuccessors, ring >= m.config.CrossDataCentreRings) {
		if m.now-p.answeredAt > m.config.HeartbeatPeriod && m.checks[p.node.ID] == nil {
			m.probe(p, probe{target: p.node.ID})
		}
	}
}

func pairHash(id core.NodeID, number uint64) uint64 {
	return core.Mix64(xxhash.Sum64String(string(id)) + number)
}
