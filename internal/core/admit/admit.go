// Package admit schedules the requests of one shard on its replicas: fair queueing between customers,
// an adaptive limit and a health state for each replica, early refusal, retries and hedges. See
// docs/design/admission.md for the design reasons and measurements.
package admit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

// RequestID identifies a request within one Shard.
type RequestID uint64

// AttemptID identifies one upstream request within one Shard.
type AttemptID uint64

// Jitter returns random numbers in [0, 1).
type Jitter interface{ Float64() float64 }

// Budget limits the attempts beyond the first one of each request. It is implemented by budget.Group.
type Budget interface {
	// AddFirst records n first attempts to a service for a customer.
	AddFirst(service string, customer core.Customer, n int)
	// TakeExtra takes a token for one extra attempt of the customer at the service. It returns false if
	// none is left.
	TakeExtra(service string, customer core.Customer) bool
}

// Config holds a shard's part of the configuration and the state that it shares with other shards of
// its service.
type Config struct {
	// Service is the service whose budget extra attempts are taken from.
	Service string
	// Slots is the configured concurrency of a replica, which the ramp after a cold start leads up to.
	// Share is the maximum number of requests that this node may have in flight at a replica; with a Share
	// of 0 no replica is used.
	Slots    int
	Share    int
	Replicas []ReplicaConfig
	// MaxQueue is the maximum number of queued requests over all customers.
	MaxQueue int
	// DataCentre is the data centre of this node.
	DataCentre string
	// Budget limits retries and hedges; nil allows none.
	Budget Budget
	// Latency is the latency histogram of the service; with nil the shard creates its own.
	Latency *latency.Histogram
	// Jitter randomizes probe intervals and pauses; nil disables jitter.
	Jitter Jitter
}

// ReplicaConfig is the configuration of one replica of the shard.
type ReplicaConfig struct {
	Address    string
	DataCentre string
	Draining   bool
}

// Event is an input of Shard.Step.
type Event interface{ isEvent() }

// Offered submits a request.
type Offered struct {
	ID       RequestID
	Customer core.Customer
	Weight   float64
	Deadline core.Time
	// Once marks a request that must not be executed twice.
	Once bool
	// Alone marks a request that may crash replicas. It is not hedged, so that it runs on one replica at a
	// time.
	Alone bool
}

// Withdrawn cancels a request that its caller no longer waits for.
type Withdrawn struct{ ID RequestID }

// TryEnded reports the end of an upstream request.
type TryEnded struct {
	Try      AttemptID
	Outcome  core.Outcome
	Reason   core.Reason
	Draining bool
	// Refused is set when the upstream did not accept a connection.
	Refused bool
	// Broken is set when the upstream closed the connection instead of answering.
	Broken bool
	// RetryAfter is the pause that the upstream asked for.
	RetryAfter time.Duration
	// Load is the load that the upstream reported, 0 to 1; negative if it reported none.
	Load float64
}

// DrainSeen reports that another node has observed that the replica is draining.
type DrainSeen struct{ Address string }

// Reconfigured replaces the shard's configuration.
type Reconfigured struct{ Config Config }

// Woken is the timer event requested by WakeAt.
type Woken struct{}

func (Offered) isEvent()      {}
func (Withdrawn) isEvent()    {}
func (TryEnded) isEvent()     {}
func (DrainSeen) isEvent()    {}
func (Reconfigured) isEvent() {}
func (Woken) isEvent()        {}

// Action is an operation requested by Shard.Step.
type Action interface{ isAction() }

// Kind is the reason for a dispatch.
type Kind uint8

const (
	// KindFirst is the first attempt of a request.
	KindFirst Kind = iota
	// KindRedispatch follows an attempt that is proven not to have run.
	KindRedispatch
	// KindRetry follows an attempt that may have run; it is charged to the budget.
	KindRetry
	// KindHedge runs beside an attempt that is still in flight; it is charged to the budget.
	KindHedge
)

// Dispatch sends the request to a replica.
type Dispatch struct {
	Try     AttemptID
	Request RequestID
	Address string
	// TimeLeft is the remaining time until the deadline of the request.
	TimeLeft time.Duration
	Kind     Kind
}

// Abort cancels an upstream request whose result is no longer needed.
type Abort struct{ Try AttemptID }

// Settle completes the request with the result of an attempt.
type Settle struct {
	Request RequestID
	Try     AttemptID
	Tries   int
	// Hedge is the final state of the request's hedge.
	Hedge HedgeState
}

// Refuse completes the request without any attempt.
type Refuse struct {
	Request    RequestID
	Reason     core.Reason
	RetryAfter time.Duration
}

// HealthChanged reports a state change of a replica, with state names from the state chart.
type HealthChanged struct{ Address, From, To string }

// Forgotten reports that a replica has left the configuration and has no requests in flight.
type Forgotten struct{ Address string }

// WakeAt requests a Woken event. It replaces an earlier WakeAt.
type WakeAt struct{ At core.Time }

func (Dispatch) isAction()      {}
func (Abort) isAction()         {}
func (Settle) isAction()        {}
func (Refuse) isAction()        {}
func (HealthChanged) isAction() {}
func (Forgotten) isAction()     {}
func (WakeAt) isAction()        {}
