package entry

import (
	"context"
	"sync"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// replies brings the events of one send to its loop. A send that fails at once
// is answered by the loop's own goroutine, inside Ask: it must not wait for a
// full ring that only it empties. So
//
//   - what comes while Ask runs is kept aside, and the loop handles it next. It
//     is bounded: each send of an open question has at most one such event for
//     each of its shards;
//   - what comes later comes from a peer's reader. It waits while the ring is
//     full, which slows that peer down, but not beyond the question's deadline:
//     the answer has gone out by then, and the event is dropped and counted.
//
// Either way the events of one send stay in order: a last part that overtook
// others would make them look cut.
type replies struct {
	loop     *loop
	deadline core.Time
	mutex    sync.Mutex
	asking   bool
	early    []stepped
}

// put takes an event from whichever goroutine.
func (r *replies) put(e stepped) {
	if r.keep(e) {
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

func (r *replies) keep(e stepped) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.asking {
		r.early = append(r.early, e)
	}
	return r.asking
}

// asked ends the time of the call to Ask and returns what came in it.
func (r *replies) asked() []stepped {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.asking = false
	early := r.early
	r.early = nil
	return early
}
