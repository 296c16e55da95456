package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// transmissions is how many of its messages a node lets carry one piece of
// news. Each node talks to 2 x Neighbours others, so each edge carries it once
// and a little more; what is lost all the same is repaired by repair.
const transmissions = 10

// witnessesNeeded is how many nodes must have found another unreachable before
// those that did not check it themselves believe so.
const witnessesNeeded = 2

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
	return &Message{
		From:        m.config.Self,
		Incarnation: m.config.Incarnation,
		Version:     m.version,
		Revision:    m.tick.Revision,
		Digest:      m.tick.Digest,
		View:        m.view.ID(),
		Leaving:     m.leaving,
		Updates:     m.updates(to),
		Drains:      m.drainNews(),
	}
}

// tellLoss queues news that goes before that of returns: it moves owners away
// from where work is lost.
func (m *Machine) tellLoss(p *peer) { m.tell(&m.losses, p) }

// tell queues a node's state for the next messages.
func (m *Machine) tell(queue *[]*peer, p *peer) {
	if p.sends == 0 || !slices.Contains(*queue, p) {
		*queue = append(*queue, p)
	}
	p.sends = transmissions
}

// updates takes news off the queues, after a claim about the receiver itself,
// which it must be able to refute. Room that is left repairs differing views.
func (m *Machine) updates(to *peer) []Update {
	var list []Update
	if to != nil && to.is(suspect, dead) {
		list = append(list, m.update(to))
	}
	list = m.take(&m.losses, list)
	list = m.take(&m.returns, list)
	return m.repair(list)
}

func (m *Machine) take(queue *[]*peer, list []Update) []Update {
	for range len(*queue) {
		if len(list) >= m.config.MaxUpdates {
			return list
		}
		p := (*queue)[0]
		*queue = (*queue)[1:]
		if p.sends == 0 {
			continue
		}
		p.sends--
		if p.sends > 0 {
			*queue = append(*queue, p)
		}
		list = append(list, m.update(p))
	}
	return list
}

// repair fills a message with the states of all nodes in turn while views
// differ. News that was lost, or that came before a node was known, arrives so.
func (m *Machine) repair(list []Update) []Update {
	if m.split.differsSince == 0 {
		return list
	}
	for range min(len(m.order), m.config.MaxUpdates-len(list)) {
		m.repairAt = (m.repairAt + 1) % len(m.order)
		if p := m.order[m.repairAt]; !p.is(unknown) {
			list = append(list, m.update(p))
		}
	}
	return list
}

func (m *Machine) update(p *peer) Update {
	update := Update{
		Node:        route.Node{ID: p.node.ID},
		Incarnation: p.incarnation,
		Version:     p.version,
		Standing:    standing(p.state),
		Witnesses:   p.witnesses,
	}
	if !p.listed || p.is(unknown) {
		update.Node = p.node
	}
	return update
}

func standing(state chart.State) Standing {
	switch state {
	case suspect:
		return StandingSuspect
	case dead:
		return StandingDead
	case leaving, gone:
		return StandingLeaving
	default:
		return StandingLive
	}
}

// learn takes up what a message says.
func (m *Machine) learn(message *Message) {
	from := Update{Node: message.From, Incarnation: message.Incarnation, Version: message.Version}
	if message.Leaving {
		from.Standing = StandingLeaving
	}
	m.heardClaim(from)
	for _, update := range message.Updates {
		m.heardClaim(update)
	}
	for _, mark := range message.Drains {
		m.learnDrain(mark)
	}
	m.compareView(message)
}

func (m *Machine) heardClaim(u Update) {
	if u.Node.ID == m.config.Self.ID {
		m.refute(u)
		return
	}
	p := m.peers[u.Node.ID]
	if p == nil {
		if u.Node.PeerAddress == "" || u.Standing != StandingLive {
			return
		}
		p = m.peer(u.Node)
	}
	if !p.listed && u.Node.PeerAddress != "" && u.Incarnation >= p.incarnation {
		p.node = u.Node
	}
	m.apply(p, u)
}

// refute answers a claim that this node is lost: a higher version overrides it.
func (m *Machine) refute(u Update) {
	claimed := u.Standing == StandingSuspect || u.Standing == StandingDead
	if claimed && u.Incarnation == m.config.Incarnation && u.Version >= m.version {
		m.version = u.Version + 1
	}
}

// apply takes up a claim unless a newer one is known. An older incarnation is a
// process that no longer runs.
func (m *Machine) apply(p *peer, u Update) {
	switch {
	case u.Incarnation < p.incarnation:
		return
	case u.Incarnation > p.incarnation:
		first := p.incarnation == 0
		m.renewOrMeet(p, u, first)
	case u.Version < p.version:
		return
	case u.Version > p.version:
		p.version = u.Version
		p.witnesses = [witnessesNeeded]Witness{}
		if u.Standing == StandingLive && p.is(suspect, dead) {
			m.fire(p, eventAnswered)
		}
	}
	switch u.Standing {
	case StandingSuspect, StandingDead:
		m.doubted(p, u)
	case StandingLeaving:
		m.fire(p, eventLeft)
	}
}

// renewOrMeet takes up an incarnation. The first one that is heard of replaces
// nothing: a node known from the VM list alone keeps its state until it
// answers or is said to be live.
func (m *Machine) renewOrMeet(p *peer, u Update, first bool) {
	if !first {
		m.renew(p, u.Incarnation, u.Version)
		return
	}
	p.incarnation = u.Incarnation
	p.version = u.Version
	if u.Standing == StandingLive {
		m.fire(p, eventAnswered)
	}
}

// doubted adds the witnesses of a claim. The node is believed lost once there
// are enough of them and this node has no proof of its own against it.
func (m *Machine) doubted(p *peer, u Update) {
	if p.is(dead, leaving, gone) {
		return
	}
	added := false
	for _, witness := range u.Witnesses {
		added = m.valid(witness) && p.addWitness(witness) || added
	}
	if !added {
		return
	}
	if m.now-p.answeredAt < 2*m.config.Period && p.answeredAt > 0 {
		// It answered just now: check it instead of believing the claim.
		m.unanswered(p)
		return
	}
	if m.countWitnesses(p) >= min(witnessesNeeded, max(1, len(m.order)-1)) {
		m.fire(p, eventConfirmed)
		return
	}
	m.fire(p, eventDoubted)
	m.tellLoss(p)
	if m.volunteers(p) {
		m.unanswered(p)
	}
}

// volunteers reports whether this node is one of the few that check a claim by
// one witness: in a partition, most nodes watching a lost one may be beyond it.
func (m *Machine) volunteers(p *peer) bool {
	share := max(1, len(m.order)/m.config.Neighbours)
	return pairHash(p.node.ID, uint64(nodeHash(m.config.Self.ID)))%uint64(share) == 0
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
	return p != nil && p.is(live, suspect) && term(p.incarnation, p.version) == witness.Term
}

func (m *Machine) witness() Witness {
	return Witness{Node: nodeHash(m.config.Self.ID), Term: term(m.config.Incarnation, m.version)}
}

func nodeHash(id core.NodeID) uint32 {
	const notZero = 1
	return uint32(xxhash.Sum64String(string(id))) | notZero
}

func term(incarnation uint64, version uint32) uint32 {
	return uint32(mix(incarnation + uint64(version)))
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
