package once

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// WaiterID names one asker that waits for a reply.
type WaiterID uint64

// SendID names one send to an owner.
type SendID uint64

// Reply is what a caller is told about a key.
type Reply struct {
	Outcome core.Outcome
	// Code is empty when the outcome is done.
	Code       fault.Code
	Message    string
	Payload    []byte
	RetryAfter time.Duration
	// Repeated marks an outcome that was kept from an earlier try.
	Repeated bool
	// ThisAttempt is NotRun when this try alone is proven not to have run while the
	// key's outcome is unknown.
	ThisAttempt core.Outcome
}

// Event is something that happened to the ledger.
type Event interface{ isEvent() }

// Submitted is a request for a key.
type Submitted struct {
	Waiter   WaiterID
	Key      Key
	Customer core.Customer
	Service  string
	Payload  []byte
	// Deadline is the receipt time plus the time left, on the home's clock.
	Deadline core.Time
}

// Withdrawn says that an asker has gone. What runs goes on.
type Withdrawn struct {
	Key    string
	Waiter WaiterID
}

// SendEnded is the end of a send.
type SendEnded struct {
	Key     string
	Send    SendID
	Outcome core.Outcome
	Reason  core.Reason
	// Code and Message replace those of the reason, when set.
	Code       fault.Code
	Message    string
	Payload    []byte
	RetryAfter time.Duration
}

// Woken is the alarm that a WakeAt asked for.
type Woken struct{}

// Stopping begins a planned stop: no new key runs any longer.
type Stopping struct{}

func (Submitted) isEvent() {}
func (Withdrawn) isEvent() {}
func (SendEnded) isEvent() {}
func (Woken) isEvent()     {}
func (Stopping) isEvent()  {}

// Action is something the ledger wants done.
type Action interface{ isAction() }

// Send sends the request to the owner of its shard, once.
type Send struct {
	Key      string
	Send     SendID
	Customer core.Customer
	Service  string
	Payload  []byte
	Deadline core.Time
	// Rank is the place in the order of owners.
	Rank int
}

// CancelSend withdraws a send whose reply is overdue; unsent, it must stay so.
type CancelSend struct{ Send SendID }

// Answer replies to an asker.
type Answer struct {
	Waiter WaiterID
	Reply  Reply
}

// WakeAt asks for a Woken event; a later WakeAt replaces it.
type WakeAt struct{ At core.Time }

func (Send) isAction()       {}
func (CancelSend) isAction() {}
func (Answer) isAction()     {}
func (WakeAt) isAction()     {}
