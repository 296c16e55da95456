// Package extra limits the extra arrivals at a service, which are those beyond the first of each
// request: hedges, retries, and sends that the replica refuses. The limit is a fraction of the
// requests within a sliding window plus a fixed allowance.
//
// Each node keeps to its own part of the limit: the fraction of the requests that it received itself,
// and an equal part of the allowance among the nodes; those that callers are sent to have a further
// equal part among themselves. The fractions of all nodes add up to that of the fleet whatever nodes
// know of each other, so a partitioned or partly restarted fleet keeps the limit without
// communication.
package extra

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// spansPerWindow is the number of spans that a window is divided into.
const spansPerWindow = 20

// Bound is the limit of one node for each service.
type Bound struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of extra arrivals allowed per request.
	Ratio float64
	// Allowance is the number of extra arrivals allowed in addition.
	Allowance float64
}

// Budget counts the arrivals at all services. It is not safe for concurrent use.
type Budget struct {
	bound   Bound
	windows map[string]*window
}

// New returns an unused budget.
func New(bound Bound) *Budget { return &Budget{bound: bound, windows: map[string]*window{}} }

// SetBound replaces the bound and keeps the counts.
func (b *Budget) SetBound(bound Bound) { b.bound = bound }

// RecordRequest counts a request to a service, whether or not it is then sent.
func (b *Budget) RecordRequest(service string, now core.Time) {
	b.window(service, now).currentSpan().requests++
}

// Take spends one extra arrival, or returns false if that would exceed the bound.
func (b *Budget) Take(service string, now core.Time) bool {
	w := b.window(service, now)
	requests, extras := w.sums()
	if float64(extras+1) > b.bound.Ratio*float64(requests)+b.bound.Allowance {
		return false
	}
	w.currentSpan().extras++
	return true
}

// Return gives back the latest extra arrival that was taken, which has not arrived.
func (b *Budget) Return(service string, now core.Time) {
	w := b.window(service, now)
	for age := range int64(spansPerWindow + 1) {
		span := &w.counts[max(w.newestSpan-age, 0)%(spansPerWindow+1)]
		if span.extras > 0 {
			span.extras--
			return
		}
	}
}

// UsedFraction returns the fraction of the bound that is spent, 0 to 1.
func (b *Budget) UsedFraction(service string, now core.Time) float64 {
	requests, extras := b.window(service, now).sums()
	return float64(extras) / max(b.bound.Ratio*float64(requests)+b.bound.Allowance, 1)
}

// Remaining reports for each service how many further extra arrivals the bound allows now.
func (b *Budget) Remaining(report func(service string, remaining float64), now core.Time) {
	for service, w := range b.windows {
		w.advance(now)
		requests, extras := w.sums()
		report(service, b.bound.Ratio*float64(requests)+b.bound.Allowance-float64(extras))
	}
}

// RemoveUnused removes services that are no longer in use and have no arrivals within the window.
func (b *Budget) RemoveUnused(inUse func(service string) bool, now core.Time) {
	for service, w := range b.windows {
		w.advance(now)
		requests, extras := w.sums()
		if !inUse(service) && requests == 0 && extras == 0 {
			delete(b.windows, service)
		}
	}
}

func (b *Budget) window(service string, now core.Time) *window {
	w := b.windows[service]
	if w == nil {
		w = &window{spanDuration: max(b.bound.Window/spansPerWindow, 1)}
		b.windows[service] = w
	}
	w.advance(now)
	return w
}

// window counts the arrivals of the last spansPerWindow complete spans and of the current one, so that
// it is never shorter than the window of the bound.
type window struct {
	spanDuration time.Duration
	newestSpan   int64
	counts       [spansPerWindow + 1]arrivals
}

type arrivals struct{ requests, extras int }

func (w *window) advance(now core.Time) {
	currentSpan := int64(now / w.spanDuration)
	steps := min(currentSpan-w.newestSpan, spansPerWindow+1)
	for i := range max(steps, 0) {
		w.counts[(w.newestSpan+1+i)%(spansPerWindow+1)] = arrivals{}
	}
	w.newestSpan = max(w.newestSpan, currentSpan)
	if steps > spansPerWindow {
		w.counts = [spansPerWindow + 1]arrivals{}
	}
}

// currentSpan returns the counts of the current span.
func (w *window) currentSpan() *arrivals { return &w.counts[w.newestSpan%(spansPerWindow+1)] }

func (w *window) sums() (requests, extras int) {
	for _, span := range w.counts {
		requests += span.requests
		extras += span.extras
	}
	return requests, extras
}
