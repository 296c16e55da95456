// Package query decides one caller's question: which shards to ask when, which
// index version the answer is drawn from, and what the answer covers.
package query

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Need is one shard that the question needs.
type Need struct {
	Ref     core.ShardRef
	Bundle  core.BundleID
	Service int
}

// ServicePlan is one service of the closure. DependsOn and Shards are indexes
// into the plan's Services and Needs.
type ServicePlan struct {
	Name      string
	DependsOn []int
	Shards    []int
}

// Plan is what a question needs, dependencies before their dependents.
type Plan struct {
	Services []ServicePlan
	Needs    []Need
}

// Preference is the caller's choice between an early and a whole answer.
type Preference uint8

const (
	// PreferWhole waits for stragglers until the deadline.
	PreferWhole Preference = iota
	// PreferEarly answers as soon as the least coverage is reached.
	PreferEarly
)

// Options are the choices of one question.
type Options struct {
	// Deadline is when the caller stops waiting, on this node's clock.
	Deadline core.Time
	// LeastCoverage is the share of shards, 0 to 1, that an early answer needs.
	LeastCoverage float64
	Preference    Preference
	// Preferred is the newest version that all shards are believed to serve,
	// or 0 when nothing is known.
	Preferred core.Version
	// RetryPause is the wait before work that was not run is offered again.
	RetryPause time.Duration
	// MaxTries bounds how often one shard is asked at one version.
	MaxTries int
	// MaxSwitches bounds how often the question moves to another version.
	MaxSwitches int
	// FallbackAfter is how long an owner may stay silent before the next
	// node in the bundle's order is asked as well; 0 is never.
	FallbackAfter time.Duration
}

// SendID identifies one message to an owner within a question.
type SendID uint32

// Event is something that happened to a question.
type Event interface{ isEvent() }

// Started begins the question.
type Started struct{}

// PartArrived is a shard's part at one version, in reply to a send.
type PartArrived struct {
	Send    SendID
	Need    int
	Version core.Version
	Serves  []core.Version
	Payload []byte
}

// PartFailed says that a shard gave no part to a send.
type PartFailed struct {
	Send       SendID
	Need       int
	Outcome    core.Outcome
	Reason     core.Reason
	Serves     []core.Version
	RetryAfter time.Duration
}

// SendFailed says that a send ended without answering its remaining shards.
type SendFailed struct {
	Send    SendID
	Outcome core.Outcome
	Reason  core.Reason
}

// Woken is the alarm that a WakeAt asked for.
type Woken struct{}

// Cancelled says that the caller has gone.
type Cancelled struct{}

func (Started) isEvent()     {}
func (PartArrived) isEvent() {}
func (PartFailed) isEvent()  {}
func (SendFailed) isEvent()  {}
func (Woken) isEvent()       {}
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
	Needs    []int
}

// CancelSend withdraws what is left of a send.
type CancelSend struct{ ID SendID }

// WakeAt asks for a Woken event at the given time; a later WakeAt replaces it.
type WakeAt struct{ At core.Time }

// Finish ends the question; no action follows it.
type Finish struct{ Answer Answer }

func (Send) isAction()       {}
func (CancelSend) isAction() {}
func (WakeAt) isAction()     {}
func (Finish) isAction()     {}

// Part is one merged shard's payload.
type Part struct {
	Ref     core.ShardRef
	Payload []byte
}

// Missing is a shard without a part, and why.
type Missing struct {
	Ref    core.ShardRef
	Reason core.Reason
}

// Coverage counts the shards asked and answered. It is computed from the parts
// merged, never from what was believed.
type Coverage struct {
	Asked    int
	Answered int
	Missing  []Missing
}

// Share is the answered share, 0 to 1.
func (c Coverage) Share() float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Asked)
}

// Answer is the result of a question: parts of exactly one version.
type Answer struct {
	Version  core.Version
	Parts    []Part
	Coverage Coverage
	// Sends counts messages to owners, Switches changes of version.
	Sends    int
	Switches int
	// Dropped counts replies that were not used: late, crossed or repeated.
	Dropped int
}
