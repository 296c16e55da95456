package once

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// WaiterID identifies a waiter for a reply.
type WaiterID uint64

// SendID identifies one send to an owner.
type SendID uint64

// Reply is the reply to a caller for a key.
type Reply struct {
	Outcome core.Outcome
	// Code is empty when the outcome is done.
	Code       fault.Code
	Message    string
	Payload    []byte
	RetryAfter time.Duration
	// Repeated marks an outcome that was stored by an earlier attempt.
	Repeated bool
	// ThisAttempt is NotRun when this attempt is proven not to have run, while the
	// outcome of the key is unknown.
	ThisAttempt core.Outcome
}

// Event is an input of the ledger.
type Event interface{ isEvent() }

// Submitted reports that a request with a key was received.
type Submitted struct {
	Waiter   WaiterID
	Key      Key
	Customer core.Customer
	Service  string
	Payload  []byte
	// Deadline is the receipt time plus the remaining time, on the home's clock.
	Deadline core.Time
}

// Withdrawn reports that a waiter no longer waits. A running request continues.
type Withdrawn struct {
	Key    string
	Waiter WaiterID
}

// SendEnded reports the end of a send.
type SendEnded struct {
	Key     string
	Send    SendID
	Outcome core.Outcome
	Reason  core.Reason
	// Code and Message, if set, replace those derived from Reason.
	Code       fault.Code
	Message    string
	Payload    []byte
	RetryAfter time.Duration
}

// Woken reports that the time requested by WakeAt has come.
type Woken struct{}

// Stopping starts a planned stop. No new key is run after it.
type Stopping struct{}

func (Submitted) isEvent() {}
func (Withdrawn) isEvent() {}
func (SendEnded) isEvent() {}
func (Woken) isEvent()     {}
func (Stopping) isEvent()  {}

// Action is an output of the ledger for the caller to execute.
type Action interface{ isAction() }

// Send requests one send of the request to the owner of its shard.
type Send struct {
	Key      string
	Send     SendID
	Customer core.Customer
	Service  string
	Payload  []byte
	Deadline core.Time
	// Rank is the position of the owner in the order of owners.
	Rank int
}

// CancelSend cancels a send whose reply is overdue. If it has not left yet, it must not
// be sent.
type CancelSend struct{ Send SendID }

// Answer sends a reply to a waiter.
type Answer struct {
	Waiter WaiterID
	Reply  Reply
}

// WakeAt requests a Woken event. A later WakeAt replaces it.
type WakeAt struct{ At core.Time }

func (Send) isAction()       {}
func (CancelSend) isAction() {}
func (Answer) isAction()     {}
func (WakeAt) isAction()     {}
