// Package admit decides, for one shard, which request runs next on which
// replica: fair queueing between customers, each replica's limit and health,
// early refusal, retries and hedges. docs/design/admission.md gives the reasons
// and the figures.
package admit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

// RequestID identifies a queued request within one shard's machine.
type RequestID uint64

// AttemptID identifies one upstream request within one shard's machine.
type AttemptID uint64

// Jitter is a source of numbers in [0, 1).
type Jitter interface{ Float64() float64 }

// Budget bounds the tries beyond the first ones. A budget.Group is one.
type Budget interface {
	// FirstTry notes n first tries to a service for a customer.
	FirstTry(service string, customer core.Customer, n int)
	// TryExtra takes the right to one more try of the customer at the service.
	TryExtra(service string, customer core.Customer) bool
}

// Config is what the operators' text says of a shard, and what the shard shares
// with others of its service.
type Config struct {
	// Service names the service whose budget extra tries are taken from.
	Service string
	// Slots is the concurrency a replica starts with, Share the most requests
	// that this node may have in flight at one. With a Share of 0 no replica is
	// used.
	Slots    int
	Share    int
	Replicas []ReplicaConfig
	// MaxQueue bounds the requests that wait, over all customers.
	MaxQueue int
	// DataCentre is this node's own.
	DataCentre string
	// Budget bounds retries and hedges; nil allows none.
	Budget Budget
	// Latency is the service's learnt latency; nil gives the shard its own.
	Latency *latency.Histogram
	// Jitter spreads probes and pauses; nil is none.
	Jitter Jitter
}

// ReplicaConfig is one replica of the shard.
type ReplicaConfig struct {
	Address    string
	DataCentre string
	Draining   bool
}

// Event is something that happened to the shard.
type Event interface{ isEvent() }

// Offered asks for a request to be run.
type Offered struct {
	ID       RequestID
	Customer core.Customer
	Weight   float64
	Deadline core.Time
	// Once marks a request that must not be repeated.
	Once bool
	// Alone marks a request that may end replicas: it is not hedged, so that it runs on one replica at a time.
	Alone bool
}

// Withdrawn says that nobody waits for the request any longer.
type Withdrawn struct{ ID RequestID }

// TryEnded is the end of an upstream request.
type TryEnded struct {
	Try      AttemptID
	Outcome  core.Outcome
	Reason   core.Reason
	Draining bool
	// Refused says that the upstream took no connection.
	Refused bool
	// Broken is set when the upstream closed the connection instead of answering.
	Broken bool
	// RetryAfter is how long the upstream asked to be left alone.
	RetryAfter time.Duration
	// Load is the upstream's own figure, 0 to 1; negative is not given.
	Load float64
}

// DrainSeen says that another node has seen the replica drain.
type DrainSeen struct{ Address string }

// Reconfigured says that the operators' text has changed the shard.
type Reconfigured struct{ Config Config }

// Woken is the alarm that a WakeAt asked for.
type Woken struct{}

func (Offered) isEvent()      {}
func (Withdrawn) isEvent()    {}
func (TryEnded) isEvent()     {}
func (DrainSeen) isEvent()    {}
func (Reconfigured) isEvent() {}
func (Woken) isEvent()        {}

// Action is something the shard wants done.
type Action interface{ isAction() }

// Kind says why a request is dispatched.
type Kind uint8

const (
	// KindFirst is a request's first try.
	KindFirst Kind = iota
	// KindRedispatch follows a try that is proven not to have run.
	KindRedispatch
	// KindRetry follows a try that may have run; it is taken from the budget.
	KindRetry
	// KindHedge joins a try that is still running; it is taken from the budget.
	KindHedge
)

// Dispatch sends the request to a replica.
type Dispatch struct {
	Try     AttemptID
	Request RequestID
	Address string
	// TimeLeft is the time to the request's deadline.
	TimeLeft time.Duration
	Kind     Kind
}

// Abort cancels an upstream request whose result is not wanted.
type Abort struct{ Try AttemptID }

// Settle ends the request with the result of a try.
type Settle struct {
	Request RequestID
	Try     AttemptID
	Tries   int
	// Hedge is what came of the request's hedge.
	Hedge HedgeState
}

// Refuse ends the request without its having run.
type Refuse struct {
	Request    RequestID
	Reason     core.Reason
	RetryAfter time.Duration
}

// HealthChanged tells of a replica's new state, by its name in the chart.
type HealthChanged struct{ Address, From, To string }

// Forgotten says that a replica has left the text and runs nothing any more.
type Forgotten struct{ Address string }

// WakeAt asks for a Woken event; a later WakeAt replaces it.
type WakeAt struct{ At core.Time }

func (Dispatch) isAction()      {}
func (Abort) isAction()         {}
func (Settle) isAction()        {}
func (Refuse) isAction()        {}
func (HealthChanged) isAction() {}
func (Forgotten) isAction()     {}
func (WakeAt) isAction()        {}
