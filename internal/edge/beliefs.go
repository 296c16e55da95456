package edge

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// maxRoutesLearnt bounds the routes whose answer times are remembered.
const maxRoutesLearnt = 4096

// beliefs is what a node holds for true while it decides on requests.
type beliefs struct {
	now    func() core.Time
	config atomic.Pointer[policy.Config]

	mutex    sync.Mutex
	book     *replica.Book
	budget   *extra.Budget
	splitter *policy.Splitter
	learnt   map[string]*learnt
}

// learnt is what was seen of one route's requests.
type learnt struct {
	times latency.Histogram
	// longest is the longest time that a caller was ready to wait: what a first
	// try has left.
	longest time.Duration
}

func newBeliefs(dataCentre string, regions map[string]string, bound extra.Bound, now func() core.Time) *beliefs {
	return &beliefs{
		now:      now,
		book:     replica.NewBook(dataCentre, regions, rand.Float64),
		budget:   extra.New(bound),
		splitter: policy.NewSplitter(),
		learnt:   map[string]*learnt{},
	}
}

// Pick implements scatter.Chooser.
func (b *beliefs) Pick(service string, tried []string, now core.Time) (replica.Choice, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.book.Pick(service, tried, now)
}

// Extra implements scatter.Chooser.
func (b *beliefs) Extra(service string, now core.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.budget.Take(service, now)
}

// services names the services that a request on a route goes to, and counts it at
// each of them.
func (b *beliefs) services(route *policy.Route) []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	if route.Gather != nil {
		for _, shard := range route.Gather.Shards {
			b.budget.Request(shard, now)
		}
		return route.Gather.Shards
	}
	service := b.splitter.Next(route)
	if service == "" {
		return nil
	}
	b.budget.Request(service, now)
	return []string{service}
}

// routeLearnt returns what is known of a route; the mutex must be held.
func (b *beliefs) routeLearnt(name string) *learnt {
	known := b.learnt[name]
	if known == nil {
		if len(b.learnt) >= maxRoutesLearnt {
			clear(b.learnt)
		}
		known = &learnt{}
		b.learnt[name] = known
	}
	return known
}

// hedgeQuantile is the quantile of a route's answer times after which another
// replica is asked. At 0.95 hedges take at most a quarter of the bound on extra
// arrivals when nothing is wrong.
const hedgeQuantile = 0.95

// usualQuantile gives the usual answer time that replicas are compared by.
const usualQuantile = 0.5

// hedgeAfter is how long an answer on a route may take before another replica is
// asked. It never exceeds a third of the route's aim, since a hedge needs time to
// be answered before it, and is a fifth of it before enough is learnt.
func (b *beliefs) hedgeAfter(route *policy.Route) time.Duration {
	const (
		most    = 3
		unknown = 5
		least   = 4 * time.Millisecond
	)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	after, ok := b.routeLearnt(route.Name).times.Quantile(hedgeQuantile)
	if !ok {
		after = route.Aim / unknown
	}
	if route.Aim > 0 {
		after = min(after, route.Aim/most)
	}
	return max(after, least)
}

// spent estimates how long a caller has been waiting, over all its tries, from the
// time that it has left: a first try has the most.
func (b *beliefs) spent(route *policy.Route, left time.Duration) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.routeLearnt(route.Name)
	known.longest = max(known.longest, left)
	return known.longest - left
}

// sent and the following note what became of a send.
func (b *beliefs) sent(life replica.Incarnation) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.book.Sent(life)
}

func (b *beliefs) answered(route *policy.Route, life replica.Incarnation, took time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.routeLearnt(route.Name)
	usual, _ := known.times.Quantile(usualQuantile)
	known.times.Record(took)
	b.book.Answered(life, took, usual, b.now())
}

// answeredLate notes an answer that nobody waited for any more. It says how fast the
// replica is, but not how long answers take that are waited for.
func (b *beliefs) answeredLate(route *policy.Route, life replica.Incarnation, took time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	usual, _ := b.routeLearnt(route.Name).times.Quantile(usualQuantile)
	b.book.Answered(life, took, usual, b.now())
}

// note changes the book under the mutex.
func (b *beliefs) note(change func(book *replica.Book, now core.Time)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	change(b.book, b.now())
}
