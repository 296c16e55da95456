package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// witnessesNeeded is how many nodes must have found another unreachable before nodes that did not
// check it themselves consider it dead.
const witnessesNeeded = 2

// receiveSuspicion adds the witnesses of a claim. The node is considered dead once there are enough
// of them and this node has no recent proof that it answers.
func (m *Machine) receiveSuspicion(p *peer, u Update) {
	if p.is(stateDead, stateLeaving, stateGone) {
		return
	}
	added := false
	for _, witness := range u.Witnesses {
		added = m.validWitness(witness) && p.addWitness(witness) || added
	}
	if !added {
		return
	}
	if m.now-p.answeredAt < 2*m.config.HeartbeatPeriod && p.answeredAt > 0 {
		// It answered recently: check it instead of accepting the claim.
		m.startCheck(p)
		return
	}
	if m.countWitnesses(p) >= min(witnessesNeeded, max(1, len(m.order)-1)) {
		m.fire(p, eventConfirmed)
		return
	}
	m.fire(p, eventDoubted)
	m.recordChange(p)
	if m.assignedToCheck(p) {
		m.startCheck(p)
	}
}

// assignedToCheck reports whether this node is one of the few that check a claim by one witness:
// the first nodes of each data centre in an order that all nodes agree on. When a whole data centre
// fails, its nodes are watched from elsewhere only in the cross-data-centre ring. Selecting a share
// of all nodes by hash left some without a second witness, and they stayed in every view
// permanently.
func (m *Machine) assignedToCheck(p *peer) bool {
	// Over all data centres at least as many nodes are assigned as there are rings.
	remaining := (m.config.Neighbours + m.dataCentres - 1) / max(1, m.dataCentres)
	own := pairHash(p.node.ID, uint64(nodeHash(m.config.Self.ID)))
	for _, other := range m.order {
		if other == p || other.node.DataCentre != m.config.Self.DataCentre || !other.is(stateLive) {
			continue
		}
		if pairHash(p.node.ID, uint64(nodeHash(other.node.ID))) >= own {
			continue
		}
		if remaining--; remaining == 0 {
			return false
		}
	}
	return true
}

// validWitness reports whether a witness counts here: it is considered live and has not been
// declared dead and come back since it made the claim. After a partition each side considers the
// other dead and has witnesses for it. Without this check the first heartbeat across would make
// each side consider its own nodes dead, one after another, and all owners would move twice.
func (m *Machine) validWitness(witness Witness) bool {
	if witness == m.ownWitness() {
		return true
	}
	p := m.byHash[witness.Node]
	return p != nil && p.is(stateLive, stateSuspect) && term(p.incarnation, p.version) == witness.Term
}

func (m *Machine) ownWitness() Witness {
	return Witness{Node: nodeHash(m.config.Self.ID), Term: term(m.config.Incarnation, m.version)}
}

func nodeHash(id core.NodeID) uint32 {
	const notZero = 1
	return uint32(xxhash.Sum64String(string(id))) | notZero
}

func term(incarnation uint64, version uint32) uint32 {
	return uint32(core.Mix64(incarnation + uint64(version)))
}

// addWitness keeps at most as many witnesses as are needed, one claim for each.
func (p *peer) addWitness(witness Witness) bool {
	at := slices.IndexFunc(p.witnesses[:], func(known Witness) bool { return known.Node == witness.Node })
	if at < 0 {
		at = slices.Index(p.witnesses[:], Witness{})
	}
	if at < 0 || p.witnesses[at] == witness {
		return false
	}
	p.witnesses[at] = witness
	return true
}

func (m *Machine) countWitnesses(p *peer) int {
	count := 0
	for i, witness := range p.witnesses {
		if witness.Node != 0 && m.validWitness(witness) {
			count++
			continue
		}
		p.witnesses[i] = Witness{}
	}
	return count
}
