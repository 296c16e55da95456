package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// witnessesNeeded is how many nodes must have found another unreachable before
// those that did not check it themselves believe so.
const witnessesNeeded = 2

// doubted adds the witnesses of a claim. The node is believed lost once there
// are enough of them and this node has no proof of its own against it.
func (m *Machine) doubted(p *peer, u Update) {
	if p.is(stateDead, stateLeaving, stateGone) {
		return
	}
	added := false
	for _, witness := range u.Witnesses {
		added = m.valid(witness) && p.addWitness(witness) || added
	}
	if !added {
		return
	}
	if m.now-p.answeredAt < 2*m.config.HeartbeatPeriod && p.answeredAt > 0 {
		// It answered just now: check it instead of believing the claim.
		m.unanswered(p)
		return
	}
	if m.countWitnesses(p) >= min(witnessesNeeded, max(1, len(m.order)-1)) {
		m.fire(p, eventConfirmed)
		return
	}
	m.fire(p, eventDoubted)
	m.tell(p)
	if m.volunteers(p) {
		m.unanswered(p)
	}
}

// volunteers reports whether this node is one of the few that check a claim by one witness: the
// first of each data centre in an order that all nodes agree on. Where a whole data centre is lost, its
// nodes have one watcher elsewhere, the one in the crossing ring, and a share of all nodes drawn by
// hash left some without a second witness: they stayed in every view for good.
func (m *Machine) volunteers(p *peer) bool {
	// All data centres together have at least as many as there are rings.
	each := (m.config.Neighbours + m.centres - 1) / max(1, m.centres)
	own := pairHash(p.node.ID, uint64(nodeHash(m.config.Self.ID)))
	for _, other := range m.order {
		if other == p || other.node.DataCentre != m.config.Self.DataCentre || !other.is(stateLive) {
			continue
		}
		if pairHash(p.node.ID, uint64(nodeHash(other.node.ID))) >= own {
			continue
		}
		if each--; each == 0 {
			return false
		}
	}
	return true
}

// valid reports whether a witness counts here: it is believed live, and it has
// not been lost and come back since it spoke. After a partition each side knows
// the other as lost, and has witnesses for it; without this check the first
// heartbeat across would make each side believe that it is itself lost, node
// after node, and all owners would move twice.
func (m *Machine) valid(witness Witness) bool {
	if witness == m.witness() {
		return true
	}
	p := m.byHash[witness.Node]
	return p != nil && p.is(stateLive, stateSuspect) && term(p.incarnation, p.version) == witness.Term
}

func (m *Machine) witness() Witness {
	return Witness{Node: nodeHash(m.config.Self.ID), Term: term(m.config.Incarnation, m.version)}
}

func nodeHash(id core.NodeID) uint32 {
	const notZero = 1
	return uint32(xxhash.Sum64String(string(id))) | notZero
}

func term(incarnation uint64, version uint32) uint32 {
	return uint32(core.Mix64(incarnation + uint64(version)))
}

// addWitness keeps at most as many witnesses as are needed, one claim each.
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
		if witness.Node != 0 && m.valid(witness) {
			count++
			continue
		}
		p.witnesses[i] = Witness{}
	}
	return count
}
