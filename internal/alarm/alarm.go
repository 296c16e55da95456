// Package alarm schedules the wake-up times of many state machines for one
// goroutine, which then needs only a single timer.
package alarm

import (
	"container/heap"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Alarms holds at most one wake-up time for each key.
type Alarms[K comparable] struct {
	due   map[K]core.Time
	queue queue[K]
}

// New returns an empty set of alarms.
func New[K comparable]() *Alarms[K] {
	return &Alarms[K]{due: map[K]core.Time{}}
}

// Set replaces the key's wake-up time.
func (a *Alarms[K]) Set(key K, at core.Time) {
	if current, ok := a.due[key]; ok && current == at {
		return
	}
	a.due[key] = at
	heap.Push(&a.queue, item[K]{key: key, at: at})
}

// Clear removes the key's wake-up time.
func (a *Alarms[K]) Clear(key K) { delete(a.due, key) }

// Next returns the earliest wake-up time, or false if there is none.
func (a *Alarms[K]) Next() (core.Time, bool) {
	for len(a.queue) > 0 {
		first := a.queue[0]
		if at, ok := a.due[first.key]; ok && at == first.at {
			return first.at, true
		}
		heap.Pop(&a.queue)
	}
	return 0, false
}

// PopDue removes and returns the keys that are due.
func (a *Alarms[K]) PopDue(now core.Time) []K {
	var keys []K
	for {
		at, ok := a.Next()
		if !ok || at > now {
			return keys
		}
		first := heap.Pop(&a.queue).(item[K])
		delete(a.due, first.key)
		keys = append(keys, first.key)
	}
}

type item[K comparable] struct {
	key K
	at  core.Time
}

// queue implements heap.Interface, earliest first. Replaced and cleared times stay
// in the queue until they reach its front.
type queue[K comparable] []item[K]

func (q queue[K]) Len() int           { return len(q) }
func (q queue[K]) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue[K]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue[K]) Push(x any)        { *q = append(*q, x.(item[K])) }

func (q *queue[K]) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
