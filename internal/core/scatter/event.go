package scatter

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Begin starts the request.
type Begin struct{}

// Tick reports that the time requested by Wake has come.
type Tick struct{}

// SendEnded reports the end of a send.
type SendEnded struct {
	Send    int
	Verdict Verdict
	// Broken is set when the replica closed the connection instead of answering.
	Broken bool
}

// GiveUp ends the request now as at its deadline, for example because the process is stopping.
type GiveUp struct{}

func (Begin) isEvent()     {}
func (Tick) isEvent()      {}
func (SendEnded) isEvent() {}
func (GiveUp) isEvent()    {}

// Action is an output of the machine, to be carried out by its caller.
type Action interface{ isAction() }

// Send sends the request to a replica. Send ids start at 0; that of a send that ended with NoPlace may be used again.
type Send struct {
	ID      int
	Service int
	Replica replica.Replica
	// Remote is set when the replica is in another data centre.
	Remote bool
	Cause  Cause
	// Alone is set when the request is limited to one send at a time, and this is that send.
	Alone bool
	// ShardAlone is set when the request is limited to one send at a time at the shard, and this is that send.
	ShardAlone bool
	// Extra is set for a hedge that does not wait for a place: see degradedHedgeAfter.
	Extra bool
	// Last is set when every other replica has refused the request or had no place for it.
	Last bool
}

// CancelSend cancels a send whose answer is no longer needed.
type CancelSend struct{ ID int }

// SendOverdue reports that the answer to a send takes longer than usual.
type SendOverdue struct{ Send int }

// Withheld reports that a send to a service, usually a hedge or a retry, is not made.
type Withheld struct {
	Service int
	Cause   Cause
	Why     Reason
}

// ServiceTooLate reports a service whose answer is not expected in time, which led to an early rejection.
type ServiceTooLate struct {
	Service int
	// Replica is the best one available, ExpectedLatency the expected time of its answer.
	Replica         replica.Replica
	ExpectedLatency time.Duration
	Unreachable     bool
}

// Reason explains why a send is withheld. Reasons are values of a metric label and of a log field.
type Reason string

// The reasons of withheld sends.
const (
	// NotIdempotent means that the request must run at most once and may have run.
	NotIdempotent Reason = "it must not be repeated"
	// AttemptsUsed means that the route's limit on replicas per request is reached.
	AttemptsUsed Reason = "the route's tries are used up"
	// NoOtherReplica means that the request was already sent to every eligible replica.
	NoOtherReplica Reason = "no other replica"
	// OtherDegraded means that the other replica is itself overdue or failing, or is expected to be
	// paused now.
	OtherDegraded Reason = "the other replica is overdue or failing too"
	// OtherSlow means that the other replica is expected to answer much later than usual.
	OtherSlow Reason = "the other replica is slow or busy"
	// MayEndReplicas means that replicas have ended while running the request, and none has answered it.
	MayEndReplicas Reason = "replicas ended under it and none has answered"
	// OtherShardsSuffice means that the shard is short of room and the answer does not need it.
	OtherShardsSuffice Reason = "the shard is short and others suffice"
	// ShardSetAside means that the request is set aside at the shard.
	ShardSetAside Reason = "replicas of the shard ended under it each time it ran"
	// BudgetSpent means that the budget for extra sends is spent.
	BudgetSpent Reason = "the bound on extra sends is reached"
)

// Wake requests a Tick at the given time and replaces the previous request.
type Wake struct{ At core.Time }

// Finish ends the request. No send follows it.
type Finish struct{ Result Result }

func (Send) isAction()           {}
func (CancelSend) isAction()     {}
func (SendOverdue) isAction()    {}
func (Withheld) isAction()       {}
func (ServiceTooLate) isAction() {}
func (Wake) isAction()           {}
func (Finish) isAction()         {}

// Cause explains why a send was made.
type Cause string

// The causes of sends.
const (
	First Cause = "first"
	Hedge Cause = "hedge"
	Retry Cause = "retry"
)

// Result is the end of a request.
type Result struct {
	// Parts holds for each service the id of the send that returned its answer, or -1.
	Parts []int
	// Received is the number of parts received.
	Received int
	// Enough is set when Received reaches the plan's MinParts.
	Enough bool
	// MayHaveRun is set when any replica may have run the request.
	MayHaveRun bool
	// Withdrawn lists the sends that were in flight at the end. OnlyWithdrawn is set when nothing else sets MayHaveRun:
	// if none of them was sent, the request has not run.
	Withdrawn     []int
	OnlyWithdrawn bool
	// NoReplica is set when a service had no eligible replica at all.
	NoReplica bool
	// BudgetSpent is set when a retry or hedge was withheld because the budget for extra sends was spent.
	BudgetSpent bool
	// Rejected is set when the request was not admitted and nothing was sent.
	Rejected bool
	// Admission is the decision on the whole request.
	Admission placement.Outcome
	// PastDeadline is set when the deadline passed before all parts had been received or had failed.
	PastDeadline bool
}
