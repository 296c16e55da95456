package query

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// SendID identifies one message to an owner within a question.
type SendID uint32

// Event is something that happened to a question.
type Event interface{ isEvent() }

// Started begins the question.
type Started struct{}

// PartArrived is a shard's part at one version, in reply to a send. A Need that
// the send did not ask for is dropped and counted.
type PartArrived struct {
	Send    SendID
	Need    int
	Version core.Version
	Serves  []core.Version
	Payload []byte
	// Last says that the send brings no more replies.
	Last bool
}

// PartFailed says that a shard gave no part to a send.
type PartFailed struct {
	Send       SendID
	Need       int
	Outcome    core.Outcome
	Reason     core.Reason
	Serves     []core.Version
	RetryAfter time.Duration
	// Broken is set when a replica closed the connection instead of answering.
	Broken bool
	// Last says that the send brings no more replies.
	Last bool
}

// SendFailed says that a send ended without answering its remaining shards.
type SendFailed struct {
	Send       SendID
	Outcome    core.Outcome
	Reason     core.Reason
	RetryAfter time.Duration
}

// Woken is the alarm that a WakeAt asked for.
type Woken struct{}

// Replanned brings the plan of a newer text, in answer to a Replan.
type Replanned struct {
	Plan *Plan
	// Precautions apply to the newer plan.
	Precautions Precautions
}

// Cancelled says that the caller has gone.
type Cancelled struct{}

func (Started) isEvent()     {}
func (PartArrived) isEvent() {}
func (PartFailed) isEvent()  {}
func (SendFailed) isEvent()  {}
func (Woken) isEvent()       {}
func (Replanned) isEvent()   {}
func (Cancelled) isEvent()   {}

// Action is something the question wants done.
type Action interface{ isAction() }

// Send asks the node at Rank of the bundle's order for parts.
type Send struct {
	ID      SendID
	Bundle  core.BundleID
	Rank    int
	Version core.Version
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
	// Needs lists the shards asked, all of one bundle. It must not be changed.
	Needs []int
	// Trials holds the trial of each entry of Needs, in the same order; nil means that none is on trial.
	Trials []Trial
	// Fallback marks a send in addition to one whose owner is silent.
	Fallback bool
}

// CancelSend withdraws what is left of a send.
type CancelSend struct{ ID SendID }

// WakeAt asks for a Woken event at the given time; a later WakeAt replaces it.
type WakeAt struct{ At core.Time }

// Replan says that an owner refused a shard by another text than the plan's. A
// newer text at hand is passed in as Replanned; else nothing is to be done.
type Replan struct{}

// Finish ends the question; no action follows it.
type Finish struct{ Answer Answer }

func (Send) isAction()       {}
func (CancelSend) isAction() {}
func (WakeAt) isAction()     {}
func (Replan) isAction()     {}
func (Finish) isAction()     {}
