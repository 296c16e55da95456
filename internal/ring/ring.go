// Package ring provides a bounded queue between goroutines: a buffered channel with
// an explicit policy for a full queue and statistics of its depth and losses.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO queue between goroutines. It is never closed; readers stop
// when their own context is cancelled.
type Ring[T any] struct {
	items   chan T
	refused atomic.Int64
	dropped atomic.Int64
}

// New returns a ring for at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPut adds an item without blocking. It returns false if the ring is full.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an item and blocks while the ring is full. It returns the error of the
// context if that is cancelled first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		r.refused.Add(1)
		return ctx.Err()
	}
}

// PutAsync adds an item without blocking. If the ring is full, a new goroutine waits
// for room until the context is cancelled. It is for the goroutine that reads the
// ring: with Put, that goroutine would deadlock, as no other one makes room. Waiting
// items may be reordered.
func (r *Ring[T]) PutAsync(ctx context.Context, item T) {
	select {
	case r.items <- item:
	default:
		go func() { _ = r.Put(ctx, item) }()
	}
}

// PutDropOldest adds an item and drops the oldest items while the ring is full. It is
// for state of which only the newest value matters.
func (r *Ring[T]) PutDropOldest(item T) {
	for {
		select {
		case r.items <- item:
			return
		default:
		}
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}

// Items returns the channel to receive items from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Stats is a snapshot of the depth and the losses of a ring, in items.
type Stats struct {
	Depth    int   `json:"depth"`
	Capacity int   `json:"capacity"`
	Refused  int64 `json:"refused"`
	Dropped  int64 `json:"dropped"`
}

// Stats returns the current depth of the ring and its losses since the start.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Depth:    len(r.items),
		Capacity: cap(r.items),
		Refused:  r.refused.Load(),
		Dropped:  r.dropped.Load(),
	}
}
