package loadmodel

import (
	"container/heap"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// clock runs events in the order of virtual time.
type clock struct {
	now          core.Time
	events       eventHeap
	lastSequence int
}

// event is a function to run at a time. Events of the same time run in the order in which they were scheduled.
type event struct {
	at       core.Time
	sequence int
	run      func()
}

func (c *clock) at(time core.Time, run func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: max(time, c.now), sequence: c.lastSequence, run: run})
}

func (c *clock) after(wait core.Time, run func()) { c.at(c.now+wait, run) }

// runUntil runs all events before the end and sets the clock to the end.
func (c *clock) runUntil(end core.Time) {
	for len(c.events) > 0 && c.events[0].at < end {
		next, _ := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(item any) {
	added, _ := item.(event)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
