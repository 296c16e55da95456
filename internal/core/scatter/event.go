package scatter

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// Event is what the machine is told.
type Event interface{ isEvent() }

// Begin starts the request.
type Begin struct{}

// Tick says that a time asked for by Wake has come.
type Tick struct{}

// SendEnded tells the end of a send.
type SendEnded struct {
	Send    int
	Verdict Verdict
	// Broken is set when the replica ended the connection in place of an answer.
	Broken bool
}

// GiveUp says that nobody can wait any longer: the request ends now as at its deadline.
type GiveUp struct{}

func (Begin) isEvent()     {}
func (Tick) isEvent()      {}
func (SendEnded) isEvent() {}
func (GiveUp) isEvent()    {}

// Action is what the machine wants done.
type Action interface{ isAction() }

// Send sends the request to a replica. The ids of sends count from 0.
type Send struct {
	ID      int
	Service int
	Replica replica.Replica
	// Remote is set when the replica is in another data centre.
	Remote bool
	Cause  Cause
	// Alone is set when the request goes to one replica at a time, and this is the one.
	Alone bool
	// ShardAlone is set when the request is limited to one send at a time at the shard, and this is that send.
	ShardAlone bool
}

// CancelSend ends a send whose answer is no longer wanted.
type CancelSend struct{ ID int }

// SendOverdue says that the answer to a send takes longer than usual.
type SendOverdue struct{ Send int }

// Withheld says that a further send for a service, a hedge or a retry, is not made.
type Withheld struct {
	Service int
	Cause   Cause
	Why     Reason
}

// ServiceTooLate says that a service's answer cannot be had in time, which led to an early rejection.
type ServiceTooLate struct {
	Service int
	// Replica is the best one, ExpectedLatency how long its answer would probably take.
	Replica         replica.Replica
	ExpectedLatency time.Duration
	Unreachable     bool
}

// Reason is why a further send is not made.
type Reason string

// The reasons.
const (
	// NotIdempotent means that the request may run once only and may have run.
	NotIdempotent Reason = "it must not be repeated"
	// AttemptsUsed means that the route allows no further replica.
	AttemptsUsed Reason = "the route's tries are used up"
	// NoOtherReplica means that no replica is left that was not tried.
	NoOtherReplica Reason = "no other replica"
	// OtherDegraded means that the other one is itself overdue or failing, or is expected to pause
	// just now.
	OtherDegraded Reason = "the other replica is overdue or failing too"
	// OtherSlow means that the other one is expected to answer much later than usual.
	OtherSlow Reason = "the other replica is slow or busy"
	// MayEndReplicas means that replicas have ended under the request, and none has answered it.
	MayEndReplicas Reason = "replicas ended under it and none has answered"
	// ShardSetAside means that the request is set aside at the shard.
	ShardSetAside Reason = "replicas of the shard ended under it each time it ran"
	// BudgetSpent means that the bound on extra sends is reached.
	BudgetSpent Reason = "the bound on extra sends is reached"
)

// Wake asks for a Tick at a time; it replaces the former one.
type Wake struct{ At core.Time }

// Finish ends the request. Nothing is sent after it.
type Finish struct{ Result Result }

func (Send) isAction()           {}
func (CancelSend) isAction()     {}
func (SendOverdue) isAction()    {}
func (Withheld) isAction()       {}
func (ServiceTooLate) isAction() {}
func (Wake) isAction()           {}
func (Finish) isAction()         {}

// Cause is why a send was made.
type Cause string

// The causes of sends.
const (
	First Cause = "first"
	Hedge Cause = "hedge"
	Retry Cause = "retry"
)

// Result is the end of a request.
type Result struct {
	// Parts holds for each service the id of the send that brought its answer, or
	// -1.
	Parts []int
	// Received is the number of parts.
	Received int
	// Enough is set when Received reaches the plan's least number.
	Enough bool
	// MayHaveRun is set when any replica may have worked on the request.
	MayHaveRun bool
	// NoReplica is set when a service had no replica at all to try.
	NoReplica bool
	// BudgetSpent is set when a retry or hedge was held back by the bound on
	// extra arrivals.
	BudgetSpent bool
	// Rejected is set when nothing was sent since too few answers could come in time;
	// RetryAfter is then when they probably can.
	Rejected   bool
	RetryAfter time.Duration
	// PastDeadline is set when the time ran out.
	PastDeadline bool
}
