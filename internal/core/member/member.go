// Package member decides which other nodes one node considers live, suspect, dead or leaving.
//
// Each node sends heartbeats to a few fixed neighbours: its successors in several rings, each ring
// ordering the nodes by another hash. A neighbour that does not answer is probed again, directly
// and through other nodes. Only when all of that fails does the node become a witness that the
// neighbour is unreachable. The witness itself stops routing to it; other nodes do so once they
// know two witnesses, so that a node that only fails to receive messages cannot get others declared
// dead. Suspicions, refutations, leaving marks and drain marks are carried by heartbeats in bounded
// lists. docs/design/membership.md compares this with other schemes.
package member

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Machine holds one node's state of the membership protocol. It is not safe for concurrent use.
type Machine struct {
	config     Config
	now        core.Time
	tick       Tick
	lastTickAt core.Time
	// firstTickAt is when this node started, 0 before.
	firstTickAt core.Time
	version     uint32
	leaving     bool
	// join is the progress of this node's start.
	join join
	// listedLeaving is set while the VM list shows this node leaving.
	listedLeaving bool
	// started is set by the first VM list, published by the first view.
	started   bool
	published bool
	sequence  uint64

	peers  map[core.NodeID]*peer
	byHash map[uint32]*peer
	// order lists the peers by id; rotations iterate over it.
	order      []*peer
	neighbours []*peer
	// dataCentres is the number of data centres with live nodes.
	dataCentres int
	// changes lists state changes by number; lastChangeSeq is the number of the latest one.
	changes       []change
	lastChangeSeq uint64
	// changed is set when order, neighbours and view are out of date.
	changed        bool
	view           *route.View
	heartbeatCount int
	nextHeartbeat  core.Time
	nextDeadProbe  core.Time
	deadProbeIndex int
	repairIndex    int

	probes map[ProbeID]probe
	checks map[core.NodeID]*suspicionCheck

	drains        map[string]*storedDrain
	drainQueue    []string
	drainsChanged bool

	unreached []core.NodeID

	pause   pause
	split   splitState
	actions []Action
}

// peer is the state of one other node as known here.
type peer struct {
	node          route.Node
	state         chart.State
	incarnation   uint64
	version       uint32
	listed        bool
	listedLeaving bool
	// addressOnly is set when the VM list gives only the node's peer address.
	addressOnly bool
	// presumedLive is set for nodes in the first reading of the VM list. They are routed to before
	// they have answered.
	presumedLive bool
	// witnesses are nodes that found this one unreachable.
	witnesses [witnessesNeeded]Witness
	// answeredAt is the time of the last proof, direct or indirect, that the node answers.
	answeredAt core.Time
	deadAt     core.Time
	// changeSeq is the number of the latest change of its state, 0 for none.
	changeSeq uint64
	exchange  exchange
}

// New returns a machine that knows no other node.
func New(config Config) *Machine {
	config.Fill()
	return &Machine{
		config: config,
		peers:  map[core.NodeID]*peer{},
		byHash: map[uint32]*peer{},
		probes: map[ProbeID]probe{},
		checks: map[core.NodeID]*suspicionCheck{},
		drains: map[string]*storedDrain{},
		view:   route.NewView([]route.Node{config.Self}),
	}
}

// Step handles one event and returns the actions to carry out. The slice is valid until the next
// Step.
func (m *Machine) Step(now core.Time, event Event) []Action {
	m.actions = m.actions[:0]
	m.now = now
	switch e := event.(type) {
	case Tick:
		m.ticked(e)
	case VMList:
		m.vmListRead(e)
	case HeartbeatReceived:
		m.received(e)
	case ReplyReceived:
		m.replied(e)
	case ProbeFailed:
		m.failed(e.Probe)
	case RequestAnswered:
		m.requestAnswered(m.peers[e.Node])
	case RequestsFailed:
		m.startCheck(m.peers[e.Node])
	case DrainSeen:
		m.drainSeen(e)
	case Leave:
		m.leave()
	}
	m.publish()
	m.publishDrains()
	return m.actions
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// View returns the routing view in force.
func (m *Machine) View() *route.View { return m.view }

func (m *Machine) ticked(e Tick) {
	m.tick = e
	if m.firstTickAt == 0 {
		m.firstTickAt = m.now
	}
	m.joinWhenReady()
	m.checkPause()
	m.lastTickAt = m.now
	m.expireProbes()
	m.advanceChecks()
	m.startAssignedChecks()
	m.sendHeartbeat()
	m.probeDead()
	m.expireDrains()
	m.forget()
	m.checkSplit()
	m.confirm()
}

// peer returns the peer with the node's id, adding it if it is unknown.
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
	m.updateNeighbours()
	for _, p := range m.neighbours {
		m.probe(p, probe{target: p.node.ID})
	}
}

// forget removes nodes that are dead or gone and no longer listed.
func (m *Machine) forget() {
	for id, p := range m.peers {
		if p.listed || !p.is(stateDead, stateGone) || m.now-p.deadAt < m.config.DeadRetention {
			continue
		}
		delete(m.peers, id)
		delete(m.byHash, nodeHash(id))
		delete(m.checks, id)
		m.changed = true
	}
}
