package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/entrylimit"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// limiter shares the entry's places between the callers' goroutines.
type limiter struct {
	mutex sync.Mutex
	core  *entrylimit.Limiter
	// refused counts the refusals by verdict.
	refused map[entrylimit.Decision]metrics.Counter
}

func newLimiter(config entrylimit.Config, registry observe.Registry) *limiter {
	l := &limiter{core: entrylimit.New(config), refused: map[entrylimit.Decision]metrics.Counter{
		entrylimit.CustomerLimitReached: observe.Counter(registry, "entry_refused_customer_limit_total"),
		entrylimit.ShareExceeded:        observe.Counter(registry, "entry_refused_share_total"),
		entrylimit.Full:                 observe.Counter(registry, "entry_refused_full_total"),
	}}
	observe.Watch(registry, "entry_in_flight", func() int64 { return int64(l.total()) })
	return l
}

// enter takes a place, or says what to do instead. leave must follow a nil.
func (l *limiter) enter(customer catalog.Customer) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	verdict := l.core.Acquire(customer.Name, customer.InFlight)
	if counter := l.refused[verdict]; counter != nil {
		counter.Inc(1)
	}
	switch verdict {
	case entrylimit.CustomerLimitReached:
		return l.overloaded("the customer has "+strconv.Itoa(customer.InFlight)+" requests in flight here, its limit", "come back later or raise in_flight in the text")
	case entrylimit.ShareExceeded:
		return l.overloaded("the customer holds its share of this entry", "come back later or spread the requests over all entries")
	case entrylimit.Full:
		return l.overloaded("the entry has "+strconv.Itoa(l.core.InFlight())+" requests in flight, its limit", "ask another entry")
	default:
		return nil
	}
}

func (l *limiter) leave(customer core.Customer, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.core.Release(customer, took)
}

func (l *limiter) ringFull() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.overloaded("the entry's ring is full", "ask another entry")
}

func (l *limiter) overloaded(message, fix string) error {
	return &fault.Error{
		Code:       fault.CodeOverloaded,
		Outcome:    core.NotRun,
		Message:    message,
		Fix:        fix,
		RetryAfter: l.core.RetryAfter(),
	}
}

func (l *limiter) total() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.core.InFlight()
}
