package replicaconn

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// bodyBytes bounds the bytes of request bodies that a replica holds for this node: a replica ends when the requests that
// it holds exceed its memory, which takes all of them along.
type bodyBytes struct {
	mutex sync.Mutex
	// byReplica holds an entry while bodies are at the replica or wait for room there.
	byReplica map[replica.Incarnation]*replicaBytes
	waiting   int
}

// replicaBytes are the bytes at one replica. Bodies that wait for room are served in the order of their arrival.
type replicaBytes struct {
	used    int64
	waiters []*byteWaiter
}

type byteWaiter struct {
	bytes, limit int64
	ready        chan struct{}
}

func newBodyBytes() *bodyBytes {
	return &bodyBytes{byReplica: map[replica.Incarnation]*replicaBytes{}}
}

// acquire waits until the body has room at its replica. A replica without bodies takes any one, as one beyond the limit
// would otherwise never be sent. The result releases the bytes.
func (b *bodyBytes) acquire(ctx context.Context, request *Request) (release func(), err error) {
	bytes := int64(len(request.Body))
	if bytes == 0 || request.MaxBodyBytes <= 0 {
		return func() {}, nil
	}
	release = func() { b.release(request.Replica, bytes) }
	waiter := b.enqueue(request, bytes)
	if waiter == nil {
		return release, nil
	}
	select {
	case <-waiter.ready:
		return release, nil
	case <-ctx.Done():
		b.cancel(request.Replica, waiter)
		return nil, context.Cause(ctx)
	}
}

// enqueue takes the bytes, or returns the waiter that receives them.
func (b *bodyBytes) enqueue(request *Request, bytes int64) *byteWaiter {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := b.byReplica[request.Replica]
	if at == nil {
		at = &replicaBytes{}
		b.byReplica[request.Replica] = at
	}
	waiter := &byteWaiter{bytes: bytes, limit: request.MaxBodyBytes}
	if len(at.waiters) == 0 && at.take(waiter) {
		return nil
	}
	waiter.ready = make(chan struct{})
	at.waiters = append(at.waiters, waiter)
	b.waiting++
	return waiter
}

// take takes the bytes of a waiter if they have room.
func (r *replicaBytes) take(waiter *byteWaiter) bool {
	if r.used > 0 && r.used+waiter.bytes > waiter.limit {
		return false
	}
	r.used += waiter.bytes
	return true
}

func (b *bodyBytes) release(incarnation replica.Incarnation, bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.byReplica[incarnation].used -= bytes
	b.serveWaiters(incarnation)
}

// cancel removes a waiter, and gives its bytes back if it has received them meanwhile.
func (b *bodyBytes) cancel(incarnation replica.Incarnation, waiter *byteWaiter) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := b.byReplica[incarnation]
	select {
	case <-waiter.ready:
		at.used -= waiter.bytes
	default:
		for i, other := range at.waiters {
			if other == waiter {
				at.waiters = append(at.waiters[:i], at.waiters[i+1:]...)
				b.waiting--
				break
			}
		}
	}
	b.serveWaiters(incarnation)
}

// serveWaiters gives free room to the waiters in their order, and forgets a replica that holds nothing. The mutex must
// be held.
func (b *bodyBytes) serveWaiters(incarnation replica.Incarnation) {
	at := b.byReplica[incarnation]
	for len(at.waiters) > 0 && at.take(at.waiters[0]) {
		close(at.waiters[0].ready)
		at.waiters = at.waiters[1:]
		b.waiting--
	}
	if at.used == 0 && len(at.waiters) == 0 {
		delete(b.byReplica, incarnation)
	}
}

// WaitingBodies counts the requests that wait until their bodies have room at a replica.
func (c *Client) WaitingBodies() int {
	c.bodies.mutex.Lock()
	defer c.bodies.mutex.Unlock()
	return c.bodies.waiting
}

// BodyBytes returns the bytes of request bodies at all replicas, and the most at one of them.
func (c *Client) BodyBytes() (total, most int64) {
	c.bodies.mutex.Lock()
	defer c.bodies.mutex.Unlock()
	for _, at := range c.bodies.byReplica {
		total += at.used
		most = max(most, at.used)
	}
	return total, most
}

// DoBounded is Do within Request.MaxBodyBytes. The bytes of an exchange that is given up count until it can no longer be
// at the replica.
func (c *Client) DoBounded(ctx context.Context, request *Request) (*Response, error) {
	release, err := c.bodies.acquire(ctx, request)
	if err != nil {
		return nil, &Error{Step: "await room for the body", Cause: err}
	}
	response, err := c.Do(ctx, request)
	if err != nil && ctx.Err() != nil {
		time.AfterFunc(lingerTimeout, release)
	} else {
		release()
	}
	return response, err
}
