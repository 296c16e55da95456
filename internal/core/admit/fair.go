package admit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// turnGain is the weight of a new sample in a customer's time between turns.
const turnGain = 0.1

// maxIdle bounds the customers remembered without a waiting request.
const maxIdle = 64

// fairQueue is start-time fair queueing between customers. Each customer has a
// start tag: the virtual time at which its next request is due. The customer
// with the least tag goes next, its tag grows by 1/weight, and virtual time is
// the tag last served. A customer that comes back starts at virtual time: it
// gains nothing by its absence and owes nothing for what it took while others
// were absent. Each step costs O(log customers).
//
// Start tags need no service times, unlike finish tags; deficit round robin
// would be O(1) but serves a customer's whole quantum at once, which with 2
// slots makes the others wait for it.
type fairQueue struct {
	customers map[core.Customer]*flow
	// ready orders the customers with requests by start tag, longest by the
	// length of their queue over their weight, most first.
	ready   indexedHeap[*flow]
	longest indexedHeap[*flow]
	// idle orders the customers without requests whose tag is still ahead of
	// virtual time; forgetting one earlier would give it a second turn.
	idle    indexedHeap[*flow]
	virtual float64
	waiting int
	// weight is the sum over the customers with requests.
	weight float64
	joined uint64
}

// flow is one customer's queue, oldest request first.
type flow struct {
	customer core.Customer
	weight   float64
	start    float64
	// joined breaks ties in the order of arrival.
	joined     uint64
	head, tail *request
	length     int
	// turn is the smoothed time between two turns while requests wait, in
	// nanoseconds; 0 is not known. served is the last turn, 0 after a rest.
	turn   float64
	served core.Time

	readyPlace, longestPlace, idlePlace int
}

func newFairQueue() fairQueue {
	return fairQueue{
		customers: map[core.Customer]*flow{},
		ready:     indexedHeap[*flow]{before: startsBefore, place: func(f *flow) *int { return &f.readyPlace }},
		longest:   indexedHeap[*flow]{before: furtherOver, place: func(f *flow) *int { return &f.longestPlace }},
		idle:      indexedHeap[*flow]{before: startsBefore, place: func(f *flow) *int { return &f.idlePlace }},
	}
}

func startsBefore(a, b *flow) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.joined < b.joined
}

func furtherOver(a, b *flow) bool {
	overA, overB := float64(a.length)/a.weight, float64(b.length)/b.weight
	if overA != overB {
		return overA > overB
	}
	return a.joined > b.joined
}

// push adds a request at the end of its customer's queue.
func (q *fairQueue) push(r *request) {
	f := q.flowOf(r)
	r.flow, r.previous = f, f.tail
	if f.tail == nil {
		f.head = r
	} else {
		f.tail.next = r
	}
	f.tail = r
	f.length++
	q.waiting++
	q.ready.fix(f)
	q.longest.fix(f)
}

// flowOf finds or makes the customer's queue and brings its weight up to date.
func (q *fairQueue) flowOf(r *request) *flow {
	weight := r.Weight
	if !(weight > 0) {
		weight = 1
	}
	f := q.customers[r.Customer]
	if f == nil {
		f = &flow{customer: r.Customer}
		q.customers[r.Customer] = f
	}
	if f.length == 0 {
		q.joined++
		f.joined = q.joined
		f.start = max(f.start, q.virtual)
		f.weight = 0
		q.idle.remove(f)
	}
	q.weight += weight - f.weight
	f.weight = weight
	return f
}

// peek returns the request that is next; the queue must not be empty.
func (q *fairQueue) peek() *request { return q.ready.first().head }

// pop takes the next request and charges its customer.
func (q *fairQueue) pop(now core.Time) *request {
	f := q.ready.first()
	f.took(now)
	r := f.head
	q.virtual = max(q.virtual, f.start)
	f.start += 1 / f.weight
	q.remove(r)
	for q.idle.len() > 0 && q.idle.first().start <= q.virtual {
		q.forget(q.idle.first())
	}
	return r
}

// took learns the time between turns, which tells how much the others take.
func (f *flow) took(now core.Time) {
	sample := float64(now - f.served)
	switch {
	case f.served == 0:
	case f.turn == 0:
		f.turn = sample
	default:
		f.turn += turnGain * (sample - f.turn)
	}
	f.served = now
}

// wait is how long the customer's newest request waits at its present pace.
func (f *flow) wait() time.Duration {
	return time.Duration(f.turn * float64(f.length-1))
}

// remove takes a request out without charging its customer.
func (q *fairQueue) remove(r *request) {
	f := r.flow
	if r.previous == nil {
		f.head = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		f.tail = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.flow, r.next, r.previous = nil, nil, nil
	f.length--
	q.waiting--
	q.ready.fix(f)
	q.longest.fix(f)
	if f.length == 0 {
		q.rest(f)
	}
}

// rest moves a customer without requests to the idle ones. When nobody waits
// there is nothing to be fair about, and all of them are forgotten; while
// somebody waits, at most maxIdle are kept, those with the least tag go.
func (q *fairQueue) rest(f *flow) {
	q.ready.remove(f)
	q.longest.remove(f)
	q.weight -= f.weight
	f.turn, f.served = 0, 0
	q.idle.fix(f)
	if q.waiting == 0 {
		q.virtual, q.weight = 0, 0
	}
	for q.idle.len() > 0 && (q.waiting == 0 || q.idle.len() > maxIdle) {
		q.forget(q.idle.first())
	}
}

func (q *fairQueue) forget(f *flow) {
	q.idle.remove(f)
	delete(q.customers, f.customer)
}

// furthestOver returns the newest request of the customer that is furthest
// over its share.
func (q *fairQueue) furthestOver() *request { return q.longest.first().tail }

// ahead estimates how many requests go before the customer's newest: all
// customers are taken to advance by their weights until its turn.
func (q *fairQueue) ahead(f *flow) float64 {
	turns := f.start - q.virtual + float64(f.length-1)/f.weight
	return min(float64(q.waiting-1), turns*q.weight)
}
