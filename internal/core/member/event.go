package member

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

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

// SetPaused says whether the node's beliefs may have expired. While they may, it
// takes no new work and sends none.
type SetPaused struct {
	Paused bool
	// Late is how late the tick came that showed the pause.
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
func (SetPaused) isAction()     {}
func (Split) isAction()         {}
