// Package memory bounds the bytes that a node holds for its callers: requests on their way and answers that callers have
// not read yet. When they are short, the least urgent routes give way first, and each priority keeps a least share.
package memory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
)

const (
	// DefaultLimitBytes applies if the memory of the VM is unknown.
	DefaultLimitBytes = 64 << 20
	// vmShare is the part of a VM's memory that callers may have it hold. The collector lets the heap grow to twice of
	// what is in use, and connections, the copy of the store and the view take the rest.
	vmShare = 0.2

	// leastShare is the part of the limit that is divided evenly among the priorities and kept for each.
	leastShare = 0.2
	// urgentShare is the part of the limit that the least urgent priority leaves to all others. Those between leave a
	// part by their rank.
	urgentShare = 0.3
	// routeShare is the part of the limit that the requests of one route may hold where there are others. The answers of a
	// route are not bounded by it.
	routeShare = 0.7
	// yieldAge is how long an answer has been unread before it gives way to an answer of the same priority.
	yieldAge = 250 * time.Millisecond

	// rateWindow is the time constant of the rate at which bytes are given back.
	rateWindow    = time.Second
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// LimitBytes returns the limit of a VM with the given memory; 0 or less is unknown.
func LimitBytes(vmBytes int64) int64 {
	return int64(vmShare * float64(knownVMBytes(vmBytes)))
}

// Holding is what one request holds.
type Holding struct {
	claim placement.Claim
	bytes int64
	// answerSince is when its answer began to be written; writing is set from then on.
	answerSince core.Time
	writing     bool
}

// Budget is the account of all holdings of a node. It is not safe for concurrent use.
type Budget struct {
	limit, used int64
	// priorities are those that the configuration states, the most urgent first.
	priorities []int
	byPriority map[int]int64
	// byRoute is what the requests of each route hold; manyRoutes is set if the configuration has more than one.
	byRoute    map[string]int64
	manyRoutes bool
	answers    map[*Holding]struct{}
	// releasedBytes decays with rateWindow, as of releasedAt.
	releasedBytes float64
	releasedAt    core.Time
}

// New returns an empty budget.
func New(limitBytes int64) *Budget {
	b := &Budget{byPriority: map[int]int64{}, byRoute: map[string]int64{}, answers: map[*Holding]struct{}{}}
	b.SetLimit(limitBytes)
	return b
}

// SetLimit sets the limit; 0 or less selects the default. What is held already stays.
func (b *Budget) SetLimit(limitBytes int64) {
	if limitBytes <= 0 {
		limitBytes = DefaultLimitBytes
	}
	b.limit = limitBytes
}

// SetPriorities sets the priorities among which the limit is shared.
func (b *Budget) SetPriorities(priorities []int) {
	b.priorities = slices.Compact(slices.Sorted(slices.Values(priorities)))
}

// SetRoutes sets how many routes share the limit.
func (b *Budget) SetRoutes(count int) { b.manyRoutes = count > 1 }

// Limit returns the limit, Used what is held of it.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// EachPriority calls visit with the bytes held for each priority that holds any.
func (b *Budget) EachPriority(visit func(priority int, bytes int64)) {
	for priority, bytes := range b.byPriority {
		visit(priority, bytes)
	}
}

// Open begins the holding of a request with its first bytes. It is nil if the request is rejected, which it also is if
// the bytes that it has announced beyond these would not fit.
func (b *Budget) Open(now core.Time, claim placement.Claim, bytes, announced int64) (*Holding, placement.Decision) {
	if !b.fitsRequest(claim, bytes+max(announced, 0)) {
		return nil, b.reject(now, claim, bytes+max(announced, 0))
	}
	h := &Holding{claim: claim}
	b.add(h, bytes)
	return h, placement.Decision{Verdict: placement.Send}
}

// Grow adds bytes of a request that is still being received.
func (b *Budget) Grow(now core.Time, h *Holding, bytes int64) placement.Decision {
	if !b.fitsRequest(h.claim, bytes) {
		return b.reject(now, h.claim, bytes)
	}
	b.add(h, bytes)
	return placement.Decision{Verdict: placement.Send}
}

// Answer adds the bytes of an answer that is about to be written. It returns the holdings whose answers give way to it
// and must be cut off. If fits is false, the answer itself must not be written.
func (b *Budget) Answer(now core.Time, h *Holding, bytes int64) (cut []*Holding, fits bool) {
	for !b.fits(h.claim, bytes) {
		victim := b.victim(now, h.claim)
		if victim == nil {
			return cut, false
		}
		b.Release(now, victim)
		cut = append(cut, victim)
	}
	b.add(h, bytes)
	h.writing, h.answerSince = true, now
	b.answers[h] = struct{}{}
	return cut, true
}

// Release ends a holding and gives its bytes back; later calls do nothing.
func (b *Budget) Release(now core.Time, h *Holding) {
	b.releasedBytes = b.releasedBytes*b.decay(now) + float64(h.bytes)
	b.releasedAt = now
	b.add(h, -h.bytes)
	delete(b.answers, h)
}

func (b *Budget) add(h *Holding, bytes int64) {
	h.bytes += bytes
	b.used += bytes
	b.byPriority[h.claim.Priority] += bytes
	if b.byPriority[h.claim.Priority] == 0 {
		delete(b.byPriority, h.claim.Priority)
	}
	b.byRoute[h.claim.Route] += bytes
	if b.byRoute[h.claim.Route] == 0 {
		delete(b.byRoute, h.claim.Route)
	}
}

// victim returns the unread answer that gives way first to a claim: the least urgent, and among those the one that has
// been unread for longest. It returns nil if none does.
func (b *Budget) victim(now core.Time, claim placement.Claim) *Holding {
	var worst *Holding
	for h := range b.answers {
		order := compareUrgency(h.claim, claim)
		if order < 0 || order == 0 && now-h.answerSince < yieldAge {
			continue
		}
		if worst == nil || cmp.Or(compareUrgency(h.claim, worst.claim), cmp.Compare(worst.answerSince, h.answerSince)) > 0 {
			worst = h
		}
	}
	return worst
}

// compareUrgency orders claims by what does not change while they hold bytes: callers over their share come last, then
// the priority decides.
func compareUrgency(a, b placement.Claim) int {
	fixed := func(c placement.Claim) placement.Claim {
		return placement.Claim{Priority: c.Priority, OverShare: c.OverShare}
	}
	return placement.Compare(fixed(a), fixed(b), 0)
}

// fitsRequest reports whether a request may hold further bytes: those of one route leave room for the others.
//
// It guards against a route whose replicas hang: its requests would hold all memory until their deadlines, and every other
// route would be refused meanwhile.
func (b *Budget) fitsRequest(claim placement.Claim, bytes int64) bool {
	overRoute := b.manyRoutes && claim.Route != "" && b.byRoute[claim.Route]+bytes > int64(routeShare*float64(b.limit))
	return b.used == 0 || !overRoute && b.fits(claim, bytes)
}

// fits reports whether a claim may hold further bytes. A node that holds nothing takes any request, as one beyond
// the limit would otherwise never be served.
func (b *Budget) fits(claim placement.Claim, bytes int64) bool {
	return b.used == 0 || b.used+bytes <= b.ceiling(claim, bytes)
}

// ceiling returns up to which total the claim may add the bytes.
func (b *Budget) ceiling(claim placement.Claim, bytes int64) int64 {
	levels := max(len(b.priorities), 1)
	least := int64(leastShare * float64(b.limit) / float64(levels))
	if !claim.OverShare && b.byPriority[claim.Priority]+bytes <= least {
		return b.limit
	}
	rank := levels - 1
	if !claim.OverShare {
		rank = min(b.rank(claim.Priority), rank)
	}
	left := int64(0)
	if levels > 1 {
		left = int64(urgentShare * float64(b.limit) * float64(rank) / float64(levels-1))
	}
	kept := int64(0)
	for _, priority := range b.priorities {
		if priority != claim.Priority {
			kept += max(least-b.byPriority[priority], 0)
		}
	}
	return b.limit - max(left, kept)
}

// rank returns how many of the stated priorities are more urgent.
func (b *Budget) rank(priority int) int {
	index, _ := slices.BinarySearch(b.priorities, priority)
	return index
}

// reject returns the decision on a claim that does not fit, with the time until enough bytes are expected to be given
// back.
func (b *Budget) reject(now core.Time, claim placement.Claim, bytes int64) placement.Decision {
	missing := float64(b.used + bytes - b.ceiling(claim, bytes))
	rate := b.releasedBytes * b.decay(now) / rateWindow.Seconds()
	wait := maxRetryAfter
	if rate > 0 {
		wait = time.Duration(min(missing/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return placement.Decision{Verdict: placement.Reject, RetryAfter: max(wait, minRetryAfter), Short: placement.Memory}
}

func (b *Budget) decay(now core.Time) float64 {
	return math.Exp(-float64(max(now-b.releasedAt, 0)) / float64(rateWindow))
}
