package query

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// SendID identifies one request to a bundle's owner within a query. IDs start at 1.
type SendID uint32

// Event is an input of a query's state machine.
type Event interface{ isEvent() }

// Started begins the query.
type Started struct{}

// PartArrived is a shard's part at one version, in reply to a send. If the send does not ask for
// Need, or no longer does, the part is dropped and counted.
type PartArrived struct {
	Send    SendID
	Need    int
	Version core.Version
	Serves  []core.Version
	Payload []byte
	// Last is set if the send brings no further replies.
	Last bool
}

// PartFailed reports that a shard returned no part to a send.
type PartFailed struct {
	Send       SendID
	Need       int
	Outcome    core.Outcome
	Reason     core.Reason
	Serves     []core.Version
	RetryAfter time.Duration
	// Broken is set if a replica closed the connection instead of answering.
	Broken bool
	// Last is set if the send brings no further replies.
	Last bool
}

// SendFailed reports that a send ended without an answer for its remaining shards.
type SendFailed struct {
	Send       SendID
	Outcome    core.Outcome
	Reason     core.Reason
	RetryAfter time.Duration
}

// Woken is the alarm that a WakeAt requested.
type Woken struct{}

// Replanned carries the plan of a newer configuration, in response to a Replan.
type Replanned struct {
	Plan *Plan
	// Precautions apply to the new plan.
	Precautions Precautions
}

// Cancelled reports that the caller has disconnected.
type Cancelled struct{}

func (Started) isEvent()     {}
func (PartArrived) isEvent() {}
func (PartFailed) isEvent()  {}
func (SendFailed) isEvent()  {}
func (Woken) isEvent()       {}
func (Replanned) isEvent()   {}
func (Cancelled) isEvent()   {}

// Action is an output of a query's state machine, to be carried out by its user.
type Action interface{ isAction() }

// Send requests parts from the node at position Rank of the bundle's owner order.
type Send struct {
	ID      SendID
	Bundle  core.BundleID
	Rank    int
	Version core.Version
	// TimeLeft is the remaining time until the deadline.
	TimeLeft time.Duration
	// Needs lists the requested shards, all of one bundle. It must not be modified.
	Needs []int
	// Trials holds the trial of each entry of Needs, in the same order. It is nil if no shard is on
	// trial.
	Trials []Trial
	// Fallback is set if the send supplements one whose owner has not replied in time.
	Fallback bool
}

// CancelSend cancels the unanswered rest of a send.
type CancelSend struct{ ID SendID }

// WakeAt requests a Woken event at the given time. A later WakeAt replaces an earlier one.
type WakeAt struct{ At core.Time }

// Replan reports that an owner refused a shard because its configuration differs from the plan's.
// If the node has a newer configuration, its plan is passed in as Replanned; otherwise nothing is
// to be done.
type Replan struct{}

// Finish ends the query. No action follows it.
type Finish struct{ Answer Answer }

func (Send) isAction()       {}
func (CancelSend) isAction() {}
func (WakeAt) isAction()     {}
func (Replan) isAction()     {}
func (Finish) isAction()     {}
