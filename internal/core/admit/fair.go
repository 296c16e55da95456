package admit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// turnIntervalGain is the weight of a new sample in the smoothed interval between a customer's turns.
const turnIntervalGain = 0.1

// maxIdleFlows is the maximum number of customers that are kept without a queued request.
const maxIdleFlows = 64

// fairQueue implements start-time fair queueing between customers. Each customer has a start tag: the
// virtual time at which its next request is due. The customer with the lowest tag is served next, its
// tag grows by 1/weight, and virtual time is the tag served last. A customer that returns starts at
// virtual time: it gains nothing from its absence and is not charged for what it used while others
// were absent. Each operation costs O(log customers).
//
// Start tags, unlike finish tags, need no service times. Deficit round robin would be O(1) but serves
// the whole quantum of a customer at once; with 2 slots the other customers would wait for it.
type fairQueue struct {
	customers map[core.Customer]*flow
	// ready orders the customers with requests by start tag. longest orders them by queue length divided
	// by weight, highest first.
	ready   indexedHeap[*flow]
	longest indexedHeap[*flow]
	// idle orders the customers without requests whose tag is still ahead of virtual time. Removing one
	// earlier would give it a second turn.
	idle        indexedHeap[*flow]
	virtualTime float64
	waiting     int
	// activeWeight is the total weight of the customers with requests.
	activeWeight float64
	arrivals     uint64
}

// flow is the queue of one customer, oldest request first.
type flow struct {
	customer core.Customer
	weight   float64
	startTag float64
	// arrivalOrder breaks ties between equal tags.
	arrivalOrder uint64
	head, tail   *request
	length       int
	// turnIntervalNs is the smoothed interval between two turns while requests wait, in nanoseconds; 0 if
	// unknown. lastTurn is the time of the last turn; 0 after the queue was empty.
	turnIntervalNs float64
	lastTurn       core.Time

	readyPosition, longestPosition, idlePosition int
}

func newFairQueue() fairQueue {
	return fairQueue{
		customers: map[core.Customer]*flow{},
		ready:     indexedHeap[*flow]{before: startTagBefore, position: func(f *flow) *int { return &f.readyPosition }},
		longest:   indexedHeap[*flow]{before: longerForWeight, position: func(f *flow) *int { return &f.longestPosition }},
		idle:      indexedHeap[*flow]{before: startTagBefore, position: func(f *flow) *int { return &f.idlePosition }},
	}
}

func startTagBefore(a, b *flow) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.arrivalOrder < b.arrivalOrder
}

func longerForWeight(a, b *flow) bool {
	lengthA, lengthB := float64(a.length)/a.weight, float64(b.length)/b.weight
	if lengthA != lengthB {
		return lengthA > lengthB
	}
	return a.arrivalOrder > b.arrivalOrder
}

// push appends a request to the queue of its customer.
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

// flowOf returns the flow of the request's customer, creating it if needed, and updates its weight.
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
		q.arrivals++
		f.arrivalOrder = q.arrivals
		f.startTag = max(f.startTag, q.virtualTime)
		f.weight = 0
		q.idle.remove(f)
	}
	q.activeWeight += weight - f.weight
	f.weight = weight
	return f
}

// peek returns the next request. The queue must not be empty.
func (q *fairQueue) peek() *request { return q.ready.first().head }

// pop removes the next request and charges its customer.
func (q *fairQueue) pop(now core.Time) *request {
	f := q.ready.first()
	f.recordTurn(now)
	r := f.head
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += 1 / f.weight
	q.remove(r)
	for q.idle.len() > 0 && q.idle.first().startTag <= q.virtualTime {
		q.removeFlow(q.idle.first())
	}
	return r
}

// recordTurn updates the interval between turns, which reflects how much the other customers use.
func (f *flow) recordTurn(now core.Time) {
	sample := float64(now - f.lastTurn)
	switch {
	case f.lastTurn == 0:
	case f.turnIntervalNs == 0:
		f.turnIntervalNs = sample
	default:
		f.turnIntervalNs += turnIntervalGain * (sample - f.turnIntervalNs)
	}
	f.lastTurn = now
}

// estimatedWait returns how long the customer's newest request waits at the current rate of turns.
func (f *flow) estimatedWait() time.Duration {
	return time.Duration(f.turnIntervalNs * float64(f.length-1))
}

// remove removes a request without charging its customer.
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
		q.deactivate(f)
	}
}

// deactivate moves a customer without requests to the idle heap. When no request is queued, no order
// has to be kept and all idle customers are removed. Otherwise at most maxIdleFlows are kept, and
// those with the lowest tag are removed.
func (q *fairQueue) deactivate(f *flow) {
	q.ready.remove(f)
	q.longest.remove(f)
	q.activeWeight -= f.weight
	f.turnIntervalNs, f.lastTurn = 0, 0
	q.idle.fix(f)
	if q.waiting == 0 {
		q.virtualTime, q.activeWeight = 0, 0
	}
	for q.idle.len() > 0 && (q.waiting == 0 || q.idle.len() > maxIdleFlows) {
		q.removeFlow(q.idle.first())
	}
}

func (q *fairQueue) removeFlow(f *flow) {
	q.idle.remove(f)
	delete(q.customers, f.customer)
}

// newestOfLongest returns the newest request of the customer whose queue is longest for its weight.
func (q *fairQueue) newestOfLongest() *request { return q.longest.first().tail }

// requestsAhead estimates how many requests are dispatched before the customer's newest one, assuming
// that all customers advance by their weights until its turn.
func (q *fairQueue) requestsAhead(f *flow) float64 {
	turns := f.startTag - q.virtualTime + float64(f.length-1)/f.weight
	return min(float64(q.waiting-1), turns*q.activeWeight)
}
