// Package entry is the role that takes a caller's question: it plans, scatters
// to the owners, gathers and reports coverage.
package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

const (
	defaultLoops  = 4
	ringDepth     = 8192
	retryPause    = 10 * time.Millisecond
	maxTries      = 3
	maxSwitches   = 3
	fallbackShare = 4
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
	Peers       peer.Asker
	// Now reads the node's monotonic clock.
	Now      func() core.Time
	Log      logrus.FieldLogger
	Problems *observe.Problems
	Metrics  observe.Registry
}

// Entry runs the entry's duty on a fixed number of goroutines.
type Entry struct {
	options Options
	loops   []*loop
	next    atomic.Uint64
	stop    context.CancelFunc
	done    sync.WaitGroup
	limiter *limiter
}

// New starts an entry; Close ends it.
func New(options Options) *Entry {
	ctx, stop := context.WithCancel(context.Background())
	entry := &Entry{options: options, stop: stop, limiter: newLimiter()}
	for range defaultLoops {
		l := newLoop(ctx, options)
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

// InFlight is the number of questions being answered.
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
	service := config.Catalog.Services[question.Service]
	if service == nil {
		return nil, fault.NotRun(fault.CodeUnknownService, "service "+strconv.Quote(question.Service)+" is not in the text", "see pistachiopier check --explain")
	}
	if !service.Idempotent {
		return nil, fault.NotRun(fault.CodeWrongMethod, "service "+question.Service+" must not be repeated", "use /v1/submit/"+question.Service)
	}
	customer, known := config.Catalog.Customer(question.Customer)
	if !known {
		return nil, fault.NotRun(fault.CodeUnknownCustomer, "customer "+strconv.Quote(string(question.Customer))+" is not in the text", "add the customer to the text")
	}
	if question.Timeout < 0 {
		return nil, fault.NotRun(fault.CodePastDeadline, "the deadline has passed", "give more time")
	}
	if question.Timeout == 0 {
		question.Timeout = service.Timeout
	}
	if !e.limiter.enter(customer.Name, customer.InFlight) {
		return nil, overloaded(customer.InFlight)
	}
	defer e.limiter.leave(customer.Name)
	return e.run(ctx, config, service.Index, question)
}

// pausedRefusal turns a question away while this node confirms what it believes.
func pausedRefusal() error {
	return &fault.Error{
		Code:       fault.CodeNotReady,
		Outcome:    core.NotRun,
		Message:    "the process stood still and confirms its beliefs",
		Fix:        "ask another entry, or come back",
		RetryAfter: refusalPause,
	}
}

func overloaded(limit int) error {
	return &fault.Error{
		Code:       fault.CodeOverloaded,
		Outcome:    core.NotRun,
		Message:    "the customer has " + strconv.Itoa(limit) + " requests in flight here, its limit",
		Fix:        "come back later or raise in_flight in the text",
		RetryAfter: refusalPause,
	}
}

const refusalPause = 100 * time.Millisecond

func (e *Entry) run(ctx context.Context, config *belief.Config, index string, question Question) (*Result, error) {
	id := e.next.Add(1)
	if question.RequestID == "" {
		question.RequestID = string(e.options.Self) + "-" + strconv.FormatUint(e.options.Incarnation, 36) + "-" + strconv.FormatUint(id, decimal)
	}
	started := e.options.Now()
	answers := make(chan query.Answer, 1)
	l := e.loops[id%uint64(len(e.loops))]
	begun := begun{
		id:       id,
		question: question,
		config:   config,
		plan:     makePlan(config.Catalog, question.Service),
		deadline: started + question.Timeout,
		answers:  answers,
	}
	if !l.events.TryPut(begun) {
		return nil, fault.NotRun(fault.CodeOverloaded, "the entry's ring is full", "ask another entry")
	}
	stop := context.AfterFunc(ctx, func() { _ = l.events.Put(l.ctx, stepped{id: id, event: query.Cancelled{}}) })
	defer stop()
	select {
	case answer := <-answers:
		return &Result{Answer: answer, RequestID: question.RequestID, Index: index, Revision: config.Revision, Elapsed: e.options.Now() - started}, nil
	case <-l.ctx.Done():
		return nil, &fault.Error{Code: fault.CodeLost, Outcome: core.Unknown, Message: "the entry was stopped", Fix: "ask another entry"}
	}
}

// limiter counts the questions in flight for each customer.
type limiter struct {
	mutex  sync.Mutex
	counts map[core.Customer]int
	sum    int
}

func newLimiter() *limiter { return &limiter{counts: map[core.Customer]int{}} }

func (l *limiter) enter(customer core.Customer, limit int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.counts[customer] >= limit {
		return false
	}
	l.counts[customer]++
	l.sum++
	return true
}

func (l *limiter) leave(customer core.Customer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sum--
	l.counts[customer]--
	if l.counts[customer] == 0 {
		delete(l.counts, customer)
	}
}

func (l *limiter) total() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.sum
}
