// Package entry is the role that takes a caller's question: it plans, scatters
// to the owners, gathers and reports coverage.
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
	// maxReroutes lets a shard be asked again for about 0.3 s while views or
	// texts of two nodes differ: 10 ms, doubled each time.
	maxReroutes = 5
	maxSwitches = 3
	maxReplans  = 2
	// fallbackShare and reserveShare are the parts of a question's time after
	// which an owner counts as silent, and in which no version is changed.
	fallbackShare = 4
	reserveShare  = 8
	decimal       = 10
)

// Question is a caller's question to a service.
type Question struct {
	Service  string
	Customer core.Customer
	Body     json.RawMessage
	// Timeout is the time the caller gives; 0 takes the service's.
	Timeout       time.Duration
	LeastCoverage float64
	Preference    query.Preference
	// RequestID is the caller's own id, or empty.
	RequestID string
}

// Result is the answer with what the entry adds.
type Result struct {
	query.Answer
	RequestID string
	Index     string
	Revision  uint64
	Elapsed   time.Duration
}

// Options are the parts of an Entry.
type Options struct {
	Self        core.NodeID
	Incarnation uint64
	Belief      *belief.Store
	Peers       peer.Sender
	// Now reads the node's monotonic clock.
	Now      func() core.Time
	Log      logrus.FieldLogger
	Problems *observe.Problems
	Metrics  observe.Registry
	// Assessor, when set, returns the standings of questions that may end replicas.
	Assessor quarantine.Assessor
	// Limits bound the requests in work; zero values take the defaults.
	Limits entrylimit.Config
	// ringDepth is the depth of each loop's ring, in events; 0 takes the default.
	ringDepth int
}

// Entry runs the entry's duty on a fixed number of goroutines.
type Entry struct {
	options Options
	loops   []*loop
	next    atomic.Uint64
	stop    context.CancelFunc
	done    sync.WaitGroup
	limiter *limiter
	metrics *meters
}

// New starts an entry; Close ends it.
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

// Close ends the duty. Ask must not be called any longer.
func (e *Entry) Close() {
	e.stop()
	e.done.Wait()
}

// InFlight is the number of callers' requests in work.
func (e *Entry) InFlight() int { return e.limiter.total() }

// Rings reports the depth of each loop's ring.
func (e *Entry) Rings() []ring.Stats {
	stats := make([]ring.Stats, 0, len(e.loops))
	for _, l := range e.loops {
		stats = append(stats, l.events.Stats())
	}
	return stats
}

// Ask answers a question. Its error is a *fault.Error with outcome not run; a
// thin answer is not an error.
func (e *Entry) Ask(ctx context.Context, question Question) (*Result, error) {
	config := e.options.Belief.Config()
	if config == nil {
		return nil, fault.NotRun(fault.CodeNotReady, "no configuration is in force yet", "ask another entry")
	}
	if e.options.Belief.Paused() {
		return nil, pausedRefusal()
	}
	service, err := resolveService(config.Catalog, question)
	if err != nil {
		return nil, err
	}
	customer, err := resolveCustomer(config.Catalog, question)
	if err != nil {
		return nil, err
	}
	if question.Timeout < 0 {
		return nil, fault.NotRun(fault.CodePastDeadline, "the deadline has passed", "give more time")
	}
	if question.Timeout == 0 {
		question.Timeout = service.Timeout
	}
	if err := e.limiter.enter(customer); err != nil {
		e.metrics.refused.Inc(1)
		return nil, err
	}
	started := e.options.Now()
	defer func() { e.limiter.leave(customer.Name, e.options.Now()-started) }()
	e.metrics.questions.Inc(1)
	return e.run(ctx, config, service.Index, question)
}

// Admit takes a place for a request that another duty of this node runs, such as
// a submit; leave must be called at its end. The error is that of a query which
// finds no place. A customer that this node's text does not list is only bound
// to its share of the places: whoever runs the request judges it.
func (e *Entry) Admit(name core.Customer) (leave func(), err error) {
	customer := catalog.Customer{Name: name, InFlight: math.MaxInt}
	if config := e.options.Belief.Config(); config != nil {
		if listed, known := config.Catalog.Customer(name); known {
			customer = listed
		}
	}
	if err := e.limiter.enter(customer); err != nil {
		e.metrics.refused.Inc(1)
		return nil, err
	}
	started := e.options.Now()
	return func() { e.limiter.leave(customer.Name, e.options.Now()-started) }, nil
}

// pausedRetryAfter is when a node that confirms its beliefs is likely done.
const pausedRetryAfter = 100 * time.Millisecond

// pausedRefusal turns a question away while this node confirms what it believes.
func pausedRefusal() error {
	return &fault.Error{
		Code:       fault.CodeNotReady,
		Outcome:    core.NotRun,
		Message:    "the process stood still and confirms its beliefs",
		Fix:        "ask another entry, or come back",
		RetryAfter: pausedRetryAfter,
	}
}

// resolveService finds the service asked; only one that may be repeated can be
// queried, as a query is retried.
func resolveService(text *catalog.Catalog, question Question) (*catalog.Service, error) {
	service := text.Services[question.Service]
	if service == nil {
		return nil, fault.NotRun(fault.CodeUnknownService, "service "+strconv.Quote(question.Service)+" is not in the text", "see pistachiopier check --explain")
	}
	if !service.Idempotent {
		return nil, fault.NotRun(fault.CodeWrongMethod, "service "+question.Service+" must not be repeated", "use /v1/submit/"+question.Service)
	}
	return service, nil
}

func resolveCustomer(text *catalog.Catalog, question Question) (catalog.Customer, error) {
	customer, known := text.Customer(question.Customer)
	if !known {
		return customer, fault.NotRun(fault.CodeUnknownCustomer, "customer "+strconv.Quote(string(question.Customer))+" is not in the text", "add the customer to the text")
	}
	return customer, nil
}

func (e *Entry) run(ctx context.Context, config *belief.Config, index string, question Question) (*Result, error) {
	id := e.next.Add(1)
	if question.RequestID == "" {
		question.RequestID = string(e.options.Self) + "-" + strconv.FormatUint(e.options.Incarnation, 36) + "-" + strconv.FormatUint(id, decimal)
	}
	started := e.options.Now()
	answers := make(chan answered, 1)
	l := e.loops[id%uint64(len(e.loops))]
	begun := begun{
		id:       id,
		question: question,
		config:   config,
		deadline: started + question.Timeout,
		answers:  answers,
	}
	if !l.events.TryPut(begun) {
		e.metrics.refused.Inc(1)
		return nil, e.limiter.ringFull()
	}
	stop := context.AfterFunc(ctx, func() { _ = l.events.Put(l.ctx, stepped{id: id, event: query.Cancelled{}}) })
	defer stop()
	select {
	case answer := <-answers:
		if answer.refused != nil {
			e.metrics.refused.Inc(1)
			return nil, answer.refused
		}
		return &Result{Answer: answer.Answer, RequestID: question.RequestID, Index: index, Revision: answer.revision, Elapsed: e.options.Now() - started}, nil
	case <-l.ctx.Done():
		return nil, &fault.Error{Code: fault.CodeLost, Outcome: core.Unknown, Message: "the entry was stopped", Fix: "ask another entry"}
	}
}
