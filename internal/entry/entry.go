// Package entry implements the entry role. An entry receives queries from callers,
// plans them, sends them to the owners of the shards, gathers the parts and reports
// the coverage of the answer.
package entry

import (
	"context"
	"encoding/json"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/entrylimit"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

const (
	defaultLoops = 4
	ringDepth    = 8192
	retryPause   = 10 * time.Millisecond
	maxTries     = 3
	// maxReroutes allows a shard to be asked again for about 0.3 s while the views or
	// configurations of two nodes differ: the delay is 10 ms, doubled each time.
	maxReroutes = 5
	maxSwitches = 3
	maxReplans  = 2
	// An owner counts as silent after timeout/fallbackDivisor. In the last
	// timeout/reserveDivisor of a query its version is not switched.
	fallbackDivisor = 4
	reserveDivisor  = 8
	decimal         = 10
)

// Query is a caller's query to a service.
type Query struct {
	Service  string
	Customer core.Customer
	Body     json.RawMessage
	// Timeout is how long the caller waits; 0 means the timeout of the service.
	Timeout       time.Duration
	LeastCoverage float64
	Preference    query.Preference
	// RequestID is the caller's ID of the request; if it is empty, the entry assigns one.
	RequestID string
}

// Result is the answer to a query with details that the entry adds.
type Result struct {
	query.Answer
	RequestID string
	Index     string
	Revision  uint64
	Elapsed   time.Duration
}

// Options are the dependencies and settings of an Entry.
type Options struct {
	Self        core.NodeID
	Incarnation uint64
	Belief      *belief.Store
	Peers       peer.Sender
	// Now returns the time on the node's monotonic clock.
	Now      func() core.Time
	Log      logrus.FieldLogger
	Problems *observe.Problems
	Metrics  observe.Registry
	// Assessor returns the standings of queries that may end replicas; it may be nil.
	Assessor quarantine.Assessor
	// Limits bound the requests in flight; zero values mean the defaults.
	Limits entrylimit.Config
	// ringDepth is the capacity of each loop's ring in events; 0 means the default.
	ringDepth int
}

// Entry runs the entry role on a fixed number of goroutines.
type Entry struct {
	options Options
	loops   []*loop
	next    atomic.Uint64
	stop    context.CancelFunc
	done    sync.WaitGroup
	limiter *limiter
	metrics *meters
}

// New starts an entry. It runs until Close.
func New(options Options) *Entry {
	if options.ringDepth == 0 {
		options.ringDepth = ringDepth
	}
	ctx, stop := context.WithCancel(context.Background())
	shared := newShared(options)
	entry := &Entry{options: options, stop: stop, limiter: newLimiter(options.Limits, options.Metrics), metrics: shared.metrics}
	for range defaultLoops {
		l := newLoop(ctx, options, shared)
		entry.loops = append(entry.loops, l)
		entry.done.Add(1)
		go func() {
			defer entry.done.Done()
			l.run()
		}()
	}
	return entry
}

// Close stops the entry. Ask must not be called after it.
func (e *Entry) Close() {
	e.stop()
	e.done.Wait()
}

// InFlight returns the number of callers' requests in flight.
func (e *Entry) InFlight() int { return e.limiter.inFlight() }

// Rings returns the statistics of each loop's event ring.
func (e *Entry) Rings() []ring.Stats {
	stats := make([]ring.Stats, 0, len(e.loops))
	for _, l := range e.loops {
		stats = append(stats, l.events.Stats())
	}
	return stats
}

// Ask runs a query and returns its answer. A query that was refused returns a
// *fault.Error with outcome not run. An incomplete answer is not an error.
func (e *Entry) Ask(ctx context.Context, q Query) (*Result, error) {
	config := e.options.Belief.Config()
	if config == nil {
		return nil, fault.NotRun(fault.CodeNotReady, "no configuration is in force yet", "retry at another entry")
	}
	if e.options.Belief.Paused() {
		return nil, pausedRefusal()
	}
	service, err := resolveService(config.Catalog, q)
	if err != nil {
		return nil, err
	}
	customer, err := resolveCustomer(config.Catalog, q)
	if err != nil {
		return nil, err
	}
	if q.Timeout < 0 {
		return nil, fault.NotRun(fault.CodePastDeadline, "the deadline has passed", "use a longer timeout")
	}
	if q.Timeout == 0 {
		q.Timeout = service.Timeout
	}
	if err := e.limiter.acquire(customer); err != nil {
		e.metrics.refused.Inc(1)
		return nil, err
	}
	started := e.options.Now()
	defer func() { e.limiter.release(customer.Name, e.options.Now()-started) }()
	e.metrics.queries.Inc(1)
	return e.run(ctx, config, service.Index, q)
}

// Admit counts a request that another role of this node runs, such as a submit, against
// the entry's limits. release must be called at the end of the request. The error is
// the same as for a query over the limits. A customer that this node's configuration
// does not list is limited only to its share: the node that runs the request decides
// whether to accept the customer.
func (e *Entry) Admit(name core.Customer) (release func(), err error) {
	customer := catalog.Customer{Name: name, InFlight: math.MaxInt}
	if config := e.options.Belief.Config(); config != nil {
		if listed, known := config.Catalog.Customer(name); known {
			customer = listed
		}
	}
	if err := e.limiter.acquire(customer); err != nil {
		e.metrics.refused.Inc(1)
		return nil, err
	}
	started := e.options.Now()
	return func() { e.limiter.release(customer.Name, e.options.Now()-started) }, nil
}

// pausedRetryAfter is the usual time until a paused node has confirmed its state.
const pausedRetryAfter = 100 * time.Millisecond

// pausedRefusal returns the error for a query that arrives while this node confirms its
// state after a pause.
func pausedRefusal() error {
	return &fault.Error{
		Code:       fault.CodeNotReady,
		Outcome:    core.NotRun,
		Message:    "the process was paused and is confirming its view and configuration",
		Fix:        "retry at another entry, or later",
		RetryAfter: pausedRetryAfter,
	}
}

// resolveService returns the queried service. Only an idempotent service can be queried,
// because a query may be retried.
func resolveService(cat *catalog.Catalog, q Query) (*catalog.Service, error) {
	service := cat.Services[q.Service]
	if service == nil {
		return nil, fault.NotRun(fault.CodeUnknownService, "service "+strconv.Quote(q.Service)+" is not in the configuration", "see pistachiopier check --explain")
	}
	if !service.Idempotent {
		return nil, fault.NotRun(fault.CodeWrongMethod, "requests to service "+q.Service+" must not be repeated", "use /v1/submit/"+q.Service)
	}
	return service, nil
}

func resolveCustomer(cat *catalog.Catalog, q Query) (catalog.Customer, error) {
	customer, known := cat.Customer(q.Customer)
	if !known {
		return customer, fault.NotRun(fault.CodeUnknownCustomer, "customer "+strconv.Quote(string(q.Customer))+" is not in the configuration", "add the customer to the configuration")
	}
	return customer, nil
}

func (e *Entry) run(ctx context.Context, config *belief.Config, index string, q Query) (*Result, error) {
	id := e.next.Add(1)
	if q.RequestID == "" {
		q.RequestID = string(e.options.Self) + "-" + strconv.FormatUint(e.options.Incarnation, 36) + "-" + strconv.FormatUint(id, decimal)
	}
	started := e.options.Now()
	results := make(chan askResult, 1)
	l := e.loops[id%uint64(len(e.loops))]
	received := queryReceived{
		id:       id,
		query:    q,
		config:   config,
		deadline: started + q.Timeout,
		results:  results,
	}
	if !l.events.TryPut(received) {
		e.metrics.refused.Inc(1)
		return nil, e.limiter.ringFullError()
	}
	stop := context.AfterFunc(ctx, func() { _ = l.events.Put(l.ctx, queryEvent{id: id, event: query.Cancelled{}}) })
	defer stop()
	select {
	case result := <-results:
		if result.refused != nil {
			e.metrics.refused.Inc(1)
			return nil, result.refused
		}
		return &Result{Answer: result.Answer, RequestID: q.RequestID, Index: index, Revision: result.revision, Elapsed: e.options.Now() - started}, nil
	case <-l.ctx.Done():
		return nil, &fault.Error{Code: fault.CodeLost, Outcome: core.Unknown, Message: "the entry was stopped before the query was answered", Fix: "retry at another entry"}
	}
}
