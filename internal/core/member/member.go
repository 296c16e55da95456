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
	"time"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Config is a machine's identity and its times. Fill gives the defaults.
type Config struct {
	Self        route.Node
	Incarnation uint64
	// Neighbours is the number of rings; each neighbour gets one heartbeat a
	// Period.
	Neighbours int
	Period     time.Duration
	// ReplyWait is the time after which a heartbeat counts as unanswered.
	ReplyWait time.Duration
	// Round is the time between two tries to reach a doubted node, and Rounds
	// the number of failed ones that make this node a witness of its loss.
	Round  time.Duration
	Rounds int
	// Helpers is how many other nodes are asked in each round.
	Helpers int
	// MaxUpdates and MaxDrains bound the lists in one heartbeat.
	MaxUpdates int
	MaxDrains  int
	// PauseLimit is how late a tick may come before beliefs count as expired.
	PauseLimit time.Duration
	// ConfirmWait bounds the confirmation after a pause: a node that reaches
	// nobody serves on with what it has.
	ConfirmWait time.Duration
	// SplitWait is how long other views are seen before a problem is raised.
	SplitWait time.Duration
	// DrainLife is how long a drain mark holds without being seen again.
	DrainLife time.Duration
	// ForgetWait is how long a dead node that is not listed is remembered.
	ForgetWait time.Duration
}

// Fill sets the default of every field that is zero.
func (c *Config) Fill() {
	fill(&c.Neighbours, 4)
	fill(&c.Period, time.Second)
	fill(&c.ReplyWait, 500*time.Millisecond)
	fill(&c.Round, 500*time.Millisecond)
	fill(&c.Rounds, 4)
	fill(&c.Helpers, 3)
	fill(&c.MaxUpdates, 24)
	fill(&c.MaxDrains, 16)
	fill(&c.PauseLimit, time.Second)
	fill(&c.ConfirmWait, 2*time.Second)
	fill(&c.SplitWait, 10*time.Second)
	fill(&c.DrainLife, 5*time.Minute)
	fill(&c.ForgetWait, 2*time.Minute)
}

func fill[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// TickEvery is how often a machine wants a Tick.
const TickEvery = 100 * time.Millisecond

// ProbeID names a heartbeat of this node that awaits its reply.
type ProbeID uint64

// Ticket names a received heartbeat that awaits this node's reply.
type Ticket uint64

// Event is something that the machine is told.
type Event interface{ isEvent() }

// Tick passes the time and the configuration in force.
type Tick struct {
	Revision uint64
	Digest   uint64
}

// Listed is a reading of the VM list. It is a hint only.
type Listed struct{ Nodes []ListedNode }

// ListedNode is one node of the VM list.
type ListedNode struct {
	route.Node
	Leaving bool
}

// Received is a peer's heartbeat, to be answered by a Reply with the ticket.
type Received struct {
	Ticket  Ticket
	Message *Message
}

// Replied is the reply to a Send.
type Replied struct {
	Probe   ProbeID
	Message *Message
}

// Failed says that a Send will have no reply.
type Failed struct{ Probe ProbeID }

// Answered is evidence from data traffic: the node answered a request.
type Answered struct{ Node core.NodeID }

// Unanswered is evidence from data traffic: requests to the node fail.
type Unanswered struct{ Node core.NodeID }

// DrainSeen says that an upstream was seen draining, or no longer draining.
type DrainSeen struct {
	Address  string
	Draining bool
}

// Leave says that this node will stop.
type Leave struct{}

func (Tick) isEvent()       {}
func (Listed) isEvent()     {}
func (Received) isEvent()   {}
func (Replied) isEvent()    {}
func (Failed) isEvent()     {}
func (Answered) isEvent()   {}
func (Unanswered) isEvent() {}
func (DrainSeen) isEvent()  {}
func (Leave) isEvent()      {}

// Action is something that the machine wants done.
type Action interface{ isAction() }

// Send sends a heartbeat and awaits the reply.
type Send struct {
	Probe   ProbeID
	To      route.Node
	Message *Message
}

// Reply answers a received heartbeat.
type Reply struct {
	Ticket  Ticket
	Message *Message
}

// Publish puts a routing view in force.
type Publish struct{ View *route.View }

// PublishDrains replaces the set of upstreams seen draining.
type PublishDrains struct{ Addresses []string }

// Gate closes or opens the node for new work.
type Gate struct {
	Closed bool
	// Late is how late the tick came that closed the gate.
	Late time.Duration
}

// Split says whether other nodes are seen to route by another view for long.
type Split struct {
	Present bool
	// Unreached counts the nodes that the VM list shows live and that do not
	// answer.
	Unreached int
}

// Unreached replaces the set of nodes that are lost though the VM list shows them
// live.
type Unreached struct{ Nodes []core.NodeID }

func (Unreached) isAction()     {}
func (Send) isAction()          {}
func (Reply) isAction()         {}
func (Publish) isAction()       {}
func (PublishDrains) isAction() {}
func (Gate) isAction()          {}
func (Split) isAction()         {}

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
	// losses and returns are queues of peers whose state is still to be told.
	losses  []*peer
	returns []*peer
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
	// presumed is set for nodes in the first reading of the VM list: they are
	// routed to before they have answered.
	presumed bool
	// witnesses are nodes that found it unreachable.
	witnesses [witnessesNeeded]Witness
	// answeredAt is the last proof that it answers, by whatever path.
	answeredAt core.Time
	deadAt     core.Time
	// sends is how many more messages are to carry its state.
	sends int
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
	case Listed:
		m.listed(e)
	case Received:
		m.received(e)
	case Replied:
		m.replied(e)
	case Failed:
		m.failed(e.Probe)
	case Answered:
		m.answered(m.peers[e.Node])
	case Unanswered:
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
	m.sendHeartbeat()
	m.retryLost()
	m.expireDrains()
	m.forget()
	m.checkSplit()
	m.confirm()
}

// listed takes over the VM list. A node that it no longer shows stays as long
// as it answers.
func (m *Machine) listed(e Listed) {
	first := !m.started
	m.started = true
	for _, p := range m.peers {
		p.listed = false
		p.listedLeaving = false
	}
	trusted := leavingTrusted(e.Nodes)
	for _, written := range e.Nodes {
		if written.ID == m.config.Self.ID {
			// Others reach this node by the listed addresses, which its own
			// listeners may not know.
			m.config.Self = written.Node
			m.listedLeaving = written.Leaving && trusted
			continue
		}
		p := m.peer(written.Node)
		p.node = written.Node
		p.listed = true
		p.listedLeaving = written.Leaving && trusted
		p.presumed = p.presumed || first
	}
	m.changed = true
}

// leavingTrusted rejects a list that shows more than half of the nodes leaving:
// a list that is wrong must not stop the whole fleet.
func leavingTrusted(nodes []ListedNode) bool {
	leaving := 0
	for _, node := range nodes {
		if node.Leaving {
			leaving++
		}
	}
	return leaving*2 <= len(nodes)
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
		if p.listed || !p.is(dead, gone) || m.now-p.deadAt < m.config.ForgetWait {
			continue
		}
		delete(m.peers, id)
		delete(m.byHash, nodeHash(id))
		delete(m.doubts, id)
		p.sends = 0
		m.changed = true
	}
}
