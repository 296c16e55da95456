package member

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// ProbeID identifies a heartbeat of this node that awaits its reply.
type ProbeID uint64

// ReplyID identifies a received heartbeat that awaits this node's reply.
type ReplyID uint64

// Event is an input of the Machine.
type Event interface{ isEvent() }

// Tick advances the time and carries the configuration in force.
type Tick struct {
	Revision uint64
	Digest   uint64
}

// VMList is a reading of the VM list. The list is only a hint.
type VMList struct{ Nodes []ListedNode }

// ListedNode is one node of the VM list.
type ListedNode struct {
	route.Node
	Leaving bool
}

// HeartbeatReceived is a peer's heartbeat, to be answered by a Reply with the same ReplyID.
type HeartbeatReceived struct {
	ReplyID ReplyID
	Message *Message
}

// ReplyReceived is the reply to a Send.
type ReplyReceived struct {
	Probe   ProbeID
	Message *Message
}

// ProbeFailed reports that a Send will get no reply.
type ProbeFailed struct{ Probe ProbeID }

// RequestAnswered is evidence from data traffic: the node answered a request.
type RequestAnswered struct{ Node core.NodeID }

// RequestsFailed is evidence from data traffic: requests to the node fail.
type RequestsFailed struct{ Node core.NodeID }

// DrainSeen reports that an upstream was seen draining, or no longer draining.
type DrainSeen struct {
	Address  string
	Draining bool
}

// Leave announces that this node will stop.
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

// Action is an output of the Machine, for its caller to carry out.
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

// SetPaused reports whether the node's routing view and its configuration may have expired.
// Meanwhile the node accepts no new work and sends none.
type SetPaused struct {
	Paused bool
	// Late is the delay of the tick that revealed the pause.
	Late time.Duration
}

// SplitView reports whether other nodes have routed by a different view for longer than
// SplitViewDelay.
type SplitView struct {
	Present bool
	// Unreached is the number of unresponsive nodes that the VM list shows live.
	Unreached int
}

// Unreached replaces the set of dead nodes that the VM list shows live.
type Unreached struct{ Nodes []core.NodeID }

func (Unreached) isAction()     {}
func (Send) isAction()          {}
func (Reply) isAction()         {}
func (Publish) isAction()       {}
func (PublishDrains) isAction() {}
func (SetPaused) isAction()     {}
func (SplitView) isAction()     {}
