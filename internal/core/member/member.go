// Package member is one node's belief about the others.
//
// Each node sends heartbeats to a few fixed neighbours: its successors in
// several rings, each ring ordering the nodes by another hash. A neighbour that
// does not answer is asked again, also through other nodes. Only when all of
// that fails does the node become a witness of the loss. The witness itself
// stops routing to the lost node; others do so once they hear of two witnesses,
// so that a node which merely cannot hear never talks the fleet into a loss.
// Suspicions, refutations, leaving marks and drains ride on heartbeats in
// bounded lists. docs/design/membership.md weighs this against other schemes.
package member

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Machine is one node's belief. It is not safe for concurrent use.
type Machine struct {
	config   Config
	now      core.Time
	tick     Tick
	lastTick core.Time
	version  uint32
	leaving  bool
	// listedLeaving is set while the VM list shows this node leaving.
	listedLeaving bool
	// started is set by the first VM list, published by the first view.
	started   bool
	published bool
	sequence  uint64

	peers  map[core.NodeID]*peer
	byHash map[uint32]*peer
	// order lists the peers by id; rotations walk it.
	order      []*peer
	neighbours []*peer
	// centres is the number of data centres with live nodes.
	centres int
	// changes are the changes of states in their order; changedAt is the place of the last one.
	changes   []change
	changedAt uint64
	// changed is set when order, neighbours and view are out of date.
	changed   bool
	view      *route.View
	beat      int
	nextBeat  core.Time
	nextRetry core.Time
	retryAt   int
	repairAt  int

	probes map[ProbeID]probe
	doubts map[core.NodeID]*doubt

	drains      map[string]*drain
	drainQueue  []string
	drainsDirty bool

	unreached []core.NodeID

	pause   pause
	split   split
	actions []Action
}

// peer is what the machine believes of one other node.
type peer struct {
	node          route.Node
	state         chart.State
	incarnation   uint64
	version       uint32
	listed        bool
	listedLeaving bool
	// bare is set when the list gives no more than the node's peer address.
	bare bool
	// presumed is set for nodes in the first reading of the VM list: they are
	// routed to before they have answered.
	presumed bool
	// witnesses are nodes that found it unreachable.
	witnesses [witnessesNeeded]Witness
	// answeredAt is the last proof that it answers, by whatever path.
	answeredAt core.Time
	deadAt     core.Time
	// changedAt is the place of the last change of its state in this node's changes, 0 for none.
	changedAt uint64
	exchange  exchange
}

// New makes a machine that knows nobody.
func New(config Config) *Machine {
	config.Fill()
	return &Machine{
		config: config,
		peers:  map[core.NodeID]*peer{},
		byHash: map[uint32]*peer{},
		probes: map[ProbeID]probe{},
		doubts: map[core.NodeID]*doubt{},
		drains: map[string]*drain{},
		view:   route.NewView([]route.Node{config.Self}),
	}
}

// Step takes one event and returns what to do. The slice is valid until the
// next Step.
func (m *Machine) Step(now core.Time, event Event) []Action {
	m.actions = m.actions[:0]
	m.now = now
	switch e := event.(type) {
	case Tick:
		m.ticked(e)
	case VMList:
		m.listed(e)
	case HeartbeatReceived:
		m.received(e)
	case ReplyReceived:
		m.replied(e)
	case ProbeFailed:
		m.failed(e.Probe)
	case RequestAnswered:
		m.answered(m.peers[e.Node])
	case RequestsFailed:
		m.unanswered(m.peers[e.Node])
	case DrainSeen:
		m.drainSeen(e)
	case Leave:
		m.leave()
	}
	m.publish()
	m.publishDrains()
	return m.actions
}

func (m *Machine) act(action Action) { m.actions = append(m.actions, action) }

// View is the routing view in force.
func (m *Machine) View() *route.View { return m.view }

func (m *Machine) ticked(e Tick) {
	m.tick = e
	m.checkPause()
	m.lastTick = m.now
	m.expireProbes()
	m.stepDoubts()
	m.volunteer()
	m.sendHeartbeat()
	m.retryLost()
	m.expireDrains()
	m.forget()
	m.checkSplit()
	m.confirm()
}

// peer finds a node or begins to know it.
func (m *Machine) peer(node route.Node) *peer {
	p := m.peers[node.ID]
	if p == nil {
		p = &peer{node: node}
		m.peers[node.ID] = p
		m.byHash[nodeHash(node.ID)] = p
		m.changed = true
	}
	return p
}

func (m *Machine) leave() {
	m.leaving = true
	m.changed = true
	m.refresh()
	for _, p := range m.neighbours {
		m.probe(p, probe{target: p.node.ID})
	}
}

// forget drops nodes that are dead or gone and no longer listed.
func (m *Machine) forget() {
	for id, p := range m.peers {
		if p.listed || !p.is(stateDead, stateGone) || m.now-p.deadAt < m.config.DeadRetention {
			continue
		}
		delete(m.peers, id)
		delete(m.byHash, nodeHash(id))
		delete(m.doubts, id)
		m.changed = true
	}
}
