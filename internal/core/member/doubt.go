package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// doubt is a node that does not answer and is being checked.
type doubt struct {
	roundAt core.Time
	rounds  int
}

// maxDoubts bounds the checks at one time, and so their bytes, when many nodes
// are lost at once. Those not checked are reported again.
const maxDoubts = 8

// unanswered begins to check a node.
func (m *Machine) unanswered(p *peer) {
	if p == nil || p.is(stateDead, stateGone) || m.doubts[p.node.ID] != nil || m.pause.confirming {
		return
	}
	if len(m.doubts) >= maxDoubts {
		return
	}
	m.doubts[p.node.ID] = &doubt{roundAt: m.now}
	m.round(p)
}

// stepDoubts begins the next round for each doubted node, and after the last
// one becomes a witness of its loss.
func (m *Machine) stepDoubts() {
	if len(m.doubts) == 0 {
		return
	}
	for _, p := range m.order {
		d := m.doubts[p.node.ID]
		if d == nil || m.now < d.roundAt+m.config.CheckInterval {
			continue
		}
		d.rounds++
		d.roundAt = m.now
		if d.rounds < m.config.CheckRounds {
			m.round(p)
			continue
		}
		delete(m.doubts, p.node.ID)
		m.testify(p)
	}
}

// volunteer checks a node that has one witness, where this node is to and has room for it. While
// many are lost at once their claims come when all checks are taken.
func (m *Machine) volunteer() {
	for _, p := range m.order {
		if len(m.doubts) >= maxDoubts {
			return
		}
		if p.is(stateSuspect) && m.doubts[p.node.ID] == nil && m.volunteers(p) {
			m.unanswered(p)
		}
	}
}

// round tries to reach a node directly and through helpers.
func (m *Machine) round(p *peer) {
	m.probe(p, probe{target: p.node.ID})
	for _, helper := range m.helpers(p) {
		m.probe(helper, probe{target: helper.node.ID, about: p.node.ID})
	}
}

// helpers chooses other live nodes, other ones in each round.
func (m *Machine) helpers(p *peer) []*peer {
	var chosen []*peer
	if len(m.order) == 0 {
		return nil
	}
	start := int(pairHash(p.node.ID, m.sequence) % uint64(len(m.order)))
	for i := range m.order {
		candidate := m.order[(start+i)%len(m.order)]
		if candidate != p && candidate.is(stateLive) && m.doubts[candidate.node.ID] == nil {
			chosen = append(chosen, candidate)
		}
		if len(chosen) == m.config.IndirectProbes {
			break
		}
	}
	return chosen
}

// testify makes this node a witness. It stops routing to the lost node at once:
// it asked others to reach it and they could not either.
func (m *Machine) testify(p *peer) {
	ring := slices.Index(m.neighbours, p)
	p.witnesses[0] = m.witness()
	m.fire(p, eventConfirmed)
	if ring >= 0 {
		m.lookAhead(ring)
	}
}

// aheadOfLoss is how many nodes behind a lost neighbour are tried at once. Losses come together:
// if a node turned to the next one only after the former was found lost, the loss of half of a fleet would be
// seen by all after as many checks as nodes are lost in a row.
const aheadOfLoss = 3

// lookAhead tries the nodes behind a lost neighbour.
func (m *Machine) lookAhead(ring int) {
	m.refresh()
	for _, p := range m.successors(ring, aheadOfLoss, ring >= m.config.CrossDataCentreRings) {
		if m.now-p.answeredAt > m.config.HeartbeatPeriod && m.doubts[p.node.ID] == nil {
			m.probe(p, probe{target: p.node.ID})
		}
	}
}

func pairHash(id core.NodeID, number uint64) uint64 {
	return core.Mix64(xxhash.Sum64String(string(id)) + number)
}
