package once

import (
	"container/heap"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// fireTimers handles the timers that are due and requests a wake-up for the next one.
func (l *Ledger) fireTimers(now core.Time) {
	for len(l.timers) > 0 && l.timers[0].at <= now {
		due := heap.Pop(&l.timers).(timer)
		if due.entry == nil {
			l.dropUnusedUsage(now, due.customer)
			continue
		}
		l.handleTimer(now, due.entry)
	}
	if len(l.timers) > 0 {
		l.actions = append(l.actions, WakeAt{At: l.timers[0].at})
	}
}

// handleTimer handles a timer of an entry. Timers are not cancelled, so each is checked
// against the event that the entry now waits for.
func (l *Ledger) handleTimer(now core.Time, e *entry) {
	switch {
	case e.run == nil:
		if e.expiresAt <= now {
			l.fire(now, e, eventWindowOver, nil, nil)
		}
	case e.run.resendAt != 0:
		if e.run.resendAt <= now {
			l.fire(now, e, eventResendDue, nil, nil)
		}
	case e.run.deadline+l.limits.ReplyGrace <= now:
		l.fire(now, e, eventOverdue, nil, nil)
	}
}

// timer is a time at which an entry, or a customer's usage when entry is nil, is
// checked.
type timer struct {
	at       core.Time
	entry    *entry
	customer core.Customer
}

// timerHeap is a min-heap by time.
type timerHeap []timer

func (a *timerHeap) add(next timer) { heap.Push(a, next) }

// Len implements heap.Interface.
func (a timerHeap) Len() int { return len(a) }

// Less implements heap.Interface.
func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }

// Swap implements heap.Interface.
func (a timerHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *timerHeap) Push(x any) { *a = append(*a, x.(timer)) }

// Pop implements heap.Interface.
func (a *timerHeap) Pop() any {
	last := len(*a) - 1
	popped := (*a)[last]
	*a = (*a)[:last]
	return popped
}
