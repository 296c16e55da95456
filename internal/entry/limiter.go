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

// limiter makes an entrylimit.Limiter safe for concurrent use and counts its refusals.
type limiter struct {
	mutex sync.Mutex
	core  *entrylimit.Limiter
	// refused counts the refusals, by decision.
	refused map[entrylimit.Decision]metrics.Counter
}

func newLimiter(config entrylimit.Config, registry observe.Registry) *limiter {
	l := &limiter{core: entrylimit.New(config), refused: map[entrylimit.Decision]metrics.Counter{
		entrylimit.CustomerLimitReached: observe.Counter(registry, "entry_refused_customer_limit_total"),
		entrylimit.ShareExceeded:        observe.Counter(registry, "entry_refused_share_total"),
		entrylimit.Full:                 observe.Counter(registry, "entry_refused_full_total"),
	}}
	observe.GaugeFunc(registry, "entry_in_flight", func() int64 { return int64(l.inFlight()) })
	return l
}

// acquire admits a request or returns the error to send to the caller. If it returns
// nil, release must be called at the end of the request.
func (l *limiter) acquire(customer catalog.Customer) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	decision := l.core.Acquire(customer.Name, customer.InFlight)
	if counter := l.refused[decision]; counter != nil {
		counter.Inc(1)
	}
	switch decision {
	case entrylimit.CustomerLimitReached:
		return l.overloaded("the customer has reached its limit of "+strconv.Itoa(customer.InFlight)+" requests in flight at this entry", "retry later or raise in_flight in the configuration")
	case entrylimit.ShareExceeded:
		return l.overloaded("the customer has reached its share of the requests in flight at this entry", "retry later or spread the requests over all entries")
	case entrylimit.Full:
		return l.overloaded("the entry has reached its limit with "+strconv.Itoa(l.core.InFlight())+" requests in flight", "retry at another entry")
	default:
		return nil
	}
}

func (l *limiter) release(customer core.Customer, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.core.Release(customer, took)
}

func (l *limiter) ringFullError() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.overloaded("the event queue of the entry is full", "retry at another entry")
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

func (l *limiter) inFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.core.InFlight()
}
