// Package extra bounds the arrivals at a service beyond the first of each
// request: hedges, retries, and sends that the replica refuses. The bound is a
// share of the requests within a sliding window plus a fixed allowance.
//
// Each node keeps to its own part: the share of the requests that it took
// itself, and an equal part of the allowance. The shares of the requests add up
// to that of the whole fleet whatever nodes know of each other, so a fleet that
// is split or half restarted keeps to the bound without a message.
package extra

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// spans is the number of pieces that a window is counted in.
const spans = 20

// Bound is what one node may add to each service.
type Bound struct {
	// Window is the sliding time over which arrivals are counted.
	Window time.Duration
	// Ratio is the number of extra arrivals for each request.
	Ratio float64
	// Allowance is the number of extra arrivals beyond that.
	Allowance float64
}

// Budget counts the arrivals of all services. It is not safe for concurrent use.
type Budget struct {
	bound    Bound
	services map[string]*window
}

// New makes a budget with nothing spent.
func New(bound Bound) *Budget { return &Budget{bound: bound, services: map[string]*window{}} }

// SetBound replaces the bound; what was counted stays.
func (b *Budget) SetBound(bound Bound) { b.bound = bound }

// RecordRequest counts a request for a service, whether it is then sent or not.
func (b *Budget) RecordRequest(service string, now core.Time) {
	b.window(service, now).current().requests++
}

// Take spends one extra arrival, or reports false when that would break the
// bound.
func (b *Budget) Take(service string, now core.Time) bool {
	w := b.window(service, now)
	requests, extras := w.sums()
	if float64(extras+1) > b.bound.Ratio*float64(requests)+b.bound.Allowance {
		return false
	}
	w.current().extras++
	return true
}

// UsedFraction is the part of the bound that is spent, 0 to 1.
func (b *Budget) UsedFraction(service string, now core.Time) float64 {
	requests, extras := b.window(service, now).sums()
	return float64(extras) / max(b.bound.Ratio*float64(requests)+b.bound.Allowance, 1)
}

// Remaining tells for each service how many further extra arrivals the bound allows now.
func (b *Budget) Remaining(each func(service string, left float64), now core.Time) {
	for service, w := range b.services {
		w.advance(now)
		requests, extras := w.sums()
		each(service, b.bound.Ratio*float64(requests)+b.bound.Allowance-float64(extras))
	}
}

// RemoveUnused drops what was counted for services that are not wanted any more.
func (b *Budget) RemoveUnused(wanted func(service string) bool, now core.Time) {
	for service, w := range b.services {
		w.advance(now)
		requests, extras := w.sums()
		if !wanted(service) && requests == 0 && extras == 0 {
			delete(b.services, service)
		}
	}
}

func (b *Budget) window(service string, now core.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{span: max(b.bound.Window/spans, 1)}
		b.services[service] = w
	}
	w.advance(now)
	return w
}

// window counts the arrivals of the last spans pieces and the running one, so
// that it is never shorter than the bound's.
type window struct {
	span   time.Duration
	newest int64
	counts [spans + 1]count
}

type count struct{ requests, extras int }

func (w *window) advance(now core.Time) {
	current := int64(now / w.span)
	steps := min(current-w.newest, spans+1)
	for i := range max(steps, 0) {
		w.counts[(w.newest+1+i)%(spans+1)] = count{}
	}
	w.newest = max(w.newest, current)
	if steps > spans {
		w.counts = [spans + 1]count{}
	}
}

// current is the running piece.
func (w *window) current() *count { return &w.counts[w.newest%(spans+1)] }

func (w *window) sums() (requests, extras int) {
	for _, one := range w.counts {
		requests += one.requests
		extras += one.extras
	}
	return requests, extras
}
