// Package entrylimit limits the requests in flight at the entry of a node, so that no customer blocks
// the others.
//
// A customer may have at most Headroom times as many requests in flight as there are free slots. A
// single customer thus gets Headroom/(1+Headroom) of the slots; n customers that all want more get
// Headroom/(1+n*Headroom) each, and some slots always stay free for a customer that has none. This
// needs no clock and no list of recent customers: the share of a large customer shrinks as others fill
// slots, at the rate at which its own requests end.
package entrylimit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Defaults of a Config. With this headroom one customer alone may use four fifths of the slots; two
// customers that both want more may use four ninths each.
const (
	DefaultMaxInFlight = 1024
	DefaultHeadroom    = 4
)

// Bounds of the retry-after time of a refused request.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// durationSmoothing is the inverse weight of a new sample in the mean duration.
const durationSmoothing = 16

// Config configures a Limiter. Zero values select the defaults.
type Config struct {
	// MaxInFlight is the maximum number of requests in flight over all customers.
	MaxInFlight int
	// Headroom is the maximum ratio of a customer's requests in flight to the free slots.
	Headroom int
}

// Decision is the result of Acquire.
type Decision uint8

const (
	// Admitted accepts the request; Release must follow.
	Admitted Decision = iota
	// CustomerLimitReached means that the customer's own limit is reached.
	CustomerLimitReached
	// ShareExceeded means that the customer would exceed its share of the slots that others left free.
	ShareExceeded
	// Full means that no slot is free.
	Full
)

// Limiter counts the requests in flight. It is not safe for concurrent use. It keeps an entry only for
// customers with requests in flight, at most MaxInFlight.
type Limiter struct {
	config             Config
	inFlightByCustomer map[core.Customer]int
	inFlight           int
	meanDuration       time.Duration
}

// New returns an idle limiter.
func New(config Config) *Limiter {
	if config.MaxInFlight <= 0 {
		config.MaxInFlight = DefaultMaxInFlight
	}
	if config.Headroom <= 0 {
		config.Headroom = DefaultHeadroom
	}
	return &Limiter{config: config, inFlightByCustomer: map[core.Customer]int{}}
}

// Acquire decides on a request of a customer with the given limit of its own.
func (l *Limiter) Acquire(customer core.Customer, limit int) Decision {
	held, free := l.inFlightByCustomer[customer], l.config.MaxInFlight-l.inFlight
	switch {
	case held >= limit:
		return CustomerLimitReached
	case free <= 0:
		return Full
	case held >= l.config.Headroom*free:
		return ShareExceeded
	}
	l.inFlightByCustomer[customer]++
	l.inFlight++
	return Admitted
}

// Release ends an admitted request with the given duration.
func (l *Limiter) Release(customer core.Customer, duration time.Duration) {
	l.inFlight--
	l.inFlightByCustomer[customer]--
	if l.inFlightByCustomer[customer] == 0 {
		delete(l.inFlightByCustomer, customer)
	}
	if l.meanDuration == 0 {
		l.meanDuration = duration
		return
	}
	l.meanDuration += (duration - l.meanDuration) / durationSmoothing
}

// RetryAfter returns when a refused caller should retry: after the mean duration of a request, by
// which time about as many requests as are in flight now will have ended.
func (l *Limiter) RetryAfter() time.Duration {
	return min(max(l.meanDuration, minRetryAfter), maxRetryAfter)
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int { return l.inFlight }
