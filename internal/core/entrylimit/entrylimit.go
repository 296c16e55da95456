// Package entrylimit decides which callers' requests a node's entry takes on,
// so that no customer keeps the others out.
//
// A customer may hold at most Headroom times the free places. Alone it so gets
// Headroom/(1+Headroom) of the places; n customers that all want more get
// Headroom/(1+n*Headroom) each, and some places always stay free for one that
// has none. No clock and no list of who asked lately is needed: the share of a
// large customer shrinks as the others fill places, at the pace at which its
// own requests end.
package entrylimit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Defaults of a Config: a customer alone may hold four fifths of the places,
// two that both want more four ninths each.
const (
	DefaultMaxInFlight = 1024
	DefaultHeadroom    = 4
)

// Bounds of the time after which a refused caller is told to come back.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// smoothing is the weight of the newest duration in the mean, one part in it.
const smoothing = 16

// Config chooses the bounds. Zero values take the defaults.
type Config struct {
	// MaxInFlight is the number of requests in work at once, over all customers.
	MaxInFlight int
	// Headroom is how many times the free places a customer may hold.
	Headroom int
}

// Decision is the decision on one request.
type Decision uint8

const (
	// Admitted takes the request on; Leave must follow.
	Admitted Decision = iota
	// CustomerLimitReached says that the customer's own limit is reached.
	CustomerLimitReached
	// ShareExceeded says that the customer would hold more than its share of the
	// places that others left free.
	ShareExceeded
	// Full says that no place is free.
	Full
)

// Limiter counts the requests in work. It is not safe for concurrent use and
// holds an entry only for customers with work, so at most Places of them.
type Limiter struct {
	config Config
	counts map[core.Customer]int
	total  int
	mean   time.Duration
}

// New makes an idle limiter.
func New(config Config) *Limiter {
	if config.MaxInFlight <= 0 {
		config.MaxInFlight = DefaultMaxInFlight
	}
	if config.Headroom <= 0 {
		config.Headroom = DefaultHeadroom
	}
	return &Limiter{config: config, counts: map[core.Customer]int{}}
}

// Acquire decides on a request of a customer whose own limit is given.
func (l *Limiter) Acquire(customer core.Customer, limit int) Decision {
	held, free := l.counts[customer], l.config.MaxInFlight-l.total
	switch {
	case held >= limit:
		return CustomerLimitReached
	case free <= 0:
		return Full
	case held >= l.config.Headroom*free:
		return ShareExceeded
	}
	l.counts[customer]++
	l.total++
	return Admitted
}

// Release ends an admitted request, which took the given time.
func (l *Limiter) Release(customer core.Customer, took time.Duration) {
	l.total--
	l.counts[customer]--
	if l.counts[customer] == 0 {
		delete(l.counts, customer)
	}
	if l.mean == 0 {
		l.mean = took
		return
	}
	l.mean += (took - l.mean) / smoothing
}

// RetryAfter is when a refused caller should come back: after the mean time of
// a request, when about as many as are held now will have ended.
func (l *Limiter) RetryAfter() time.Duration {
	return min(max(l.mean, minRetryAfter), maxRetryAfter)
}

// InFlight is the number of requests in work.
func (l *Limiter) InFlight() int { return l.total }
