// Package ring joins two duties by a bounded ring: a buffered channel with an
// explicit policy for a full ring and a depth gauge.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue between goroutines. It is never
// closed; readers stop by their own context.
type Ring[T any] struct {
	items   chan T
	refused atomic.Int64
	dropped atomic.Int64
}

// New makes a ring for at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPut adds an item, or refuses it at once when the ring is full.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an item, waiting while the ring is full. It returns the context's
// error when that ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		r.refused.Add(1)
		return ctx.Err()
	}
}

// PutAsync adds an item at once or, while the ring is full, from a goroutine that
// waits for room until the context ends. It is for the goroutine that reads the
// ring: were that one to wait itself, nobody would make room and it would hang.
// Items that wait may come in another order.
func (r *Ring[T]) PutAsync(ctx context.Context, item T) {
	select {
	case r.items <- item:
	default:
		go func() { _ = r.Put(ctx, item) }()
	}
}

// PutDropOldest adds an item, discarding the oldest ones while the ring is
// full. It suits state where only the newest value counts.
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

// Items is the channel to receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Stats is a snapshot of a ring's depth and losses, in items.
type Stats struct {
	Depth    int   `json:"depth"`
	Capacity int   `json:"capacity"`
	Refused  int64 `json:"refused"`
	Dropped  int64 `json:"dropped"`
}

// Stats reports the ring's present depth and its losses since the start.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Depth:    len(r.items),
		Capacity: cap(r.items),
		Refused:  r.refused.Load(),
		Dropped:  r.dropped.Load(),
	}
}
