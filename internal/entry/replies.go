package entry

import (
	"context"
	"sync"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// replySink delivers the events of one send to its loop. If a send fails at once, the
// event is created on the loop's own goroutine, inside Ask. That goroutine must not wait
// for a full ring, because it is the only one that reads the ring. Therefore
//
//   - events that arrive while Ask runs are buffered, and the loop handles them next.
//     Their number is bounded: each send of an open query has at most one such event for
//     each of its shards;
//   - later events arrive on the goroutine that reads from the peer. It waits while the
//     ring is full, which slows that peer down, but not beyond the query's deadline: the
//     answer has been sent by then, and the event is dropped and counted.
//
// In both cases the events of one send stay in order. If the last part overtook others,
// the reply would look truncated.
type replySink struct {
	loop     *loop
	deadline core.Time
	mutex    sync.Mutex
	asking   bool
	early    []queryEvent
}

// put delivers an event. It may be called from any goroutine.
func (r *replySink) put(e queryEvent) {
	if r.bufferEarly(e) {
		return
	}
	if r.loop.events.TryPut(e) {
		return
	}
	ctx, cancel := context.WithTimeout(r.loop.ctx, r.deadline-r.loop.options.Now())
	defer cancel()
	if r.loop.events.Put(ctx, e) != nil {
		r.loop.metrics.undelivered.Inc(1)
	}
}

// bufferEarly buffers an event while Ask runs, and reports whether it did.
func (r *replySink) bufferEarly(e queryEvent) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.asking {
		r.early = append(r.early, e)
	}
	return r.asking
}

// endAsk must be called when Ask has returned. It returns the buffered events.
func (r *replySink) endAsk() []queryEvent {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.asking = false
	early := r.early
	r.early = nil
	return early
}
