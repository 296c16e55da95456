package member

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// ProbeID names a heartbeat of this node that awaits its reply.
type ProbeID uint64

// ReplyID names a received heartbeat that awaits this node's reply.
type ReplyID uint64

// Event is something that the machine is told.
type Event interface{ isEvent() }

// Tick passes the time and the configuration in force.
type Tick struct {
	Revision uint64
	Digest   uint64
}

// VMList is a reading of the VM list. It is a hint only.
type VMList struct{ Nodes []ListedNode }

// ListedNode is one node of the VM list.
type ListedNode struct {
	route.Node
	Leaving bool
}

// HeartbeatReceived is a peer's heartbeat, to be answered by a Reply with the ticket.
type HeartbeatReceived struct {
	ReplyID ReplyID
	Message *Message
}

// ReplyReceived is the reply to a Send.
type ReplyReceived struct {
	Probe   ProbeID
	Message *Message
}

// ProbeFailed says that a Send will have no reply.
type ProbeFailed struct{ Probe ProbeID }

// RequestAnswered is evidence from data traffic: the node answered a request.
type RequestAnswered struct{ Node core.NodeID }

// RequestsFailed is evidence from data traffic: requests to the node fail.
type RequestsFailed struct{ Node core.NodeID }

// DrainSeen says that an upstream was seen draining, or no longer draining.
type DrainSeen struct {
	Address  string
	Draining bool
}

// Leave says that this node will stop.
type Leave struct{}

func (Tick) isEvent()              {}
func (VMList) isEvent()            {}
func (HeartbeatReceived) isEvent() {}
func (ReplyReceived) isEvent()     {}
func (ProbeFailed) isEvent()       {}
func (RequestAnswered) isEvent()   {}
func (RequestsFailed) isEvent()    {}
func (DrainSeen) isEvent()         {}
func (Leave) isEvent()             {}

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
	ReplyID ReplyID
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

// SplitView says whether other nodes are seen to route by another view for long.
type SplitView struct {
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
func (SplitView) isAction()     {}
