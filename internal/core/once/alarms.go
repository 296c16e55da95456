package once

import (
	"container/heap"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// wake fires what is due and asks for the next alarm.
func (l *Ledger) wake(now core.Time) {
	for len(l.alarms) > 0 && l.alarms[0].at <= now {
		due := heap.Pop(&l.alarms).(alarm)
		if due.entry == nil {
			l.closeAccount(now, due.customer)
			continue
		}
		l.due(now, due.entry)
	}
	if len(l.alarms) > 0 {
		l.actions = append(l.actions, WakeAt{At: l.alarms[0].at})
	}
}

// due fires an entry's alarms. Alarms are not withdrawn, so each is checked
// against what the entry now waits for.
func (l *Ledger) due(now core.Time, e *entry) {
	switch {
	case e.run == nil:
		if e.forgetAt <= now {
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

// alarm is a time at which an entry, or a customer's account, is looked at.
type alarm struct {
	at       core.Time
	entry    *entry
	customer core.Customer
}

// alarms is a heap by time.
type alarms []alarm

func (a *alarms) add(next alarm) { heap.Push(a, next) }

// Len implements heap.Interface.
func (a alarms) Len() int { return len(a) }

// Less implements heap.Interface.
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }

// Swap implements heap.Interface.
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop implements heap.Interface.
func (a *alarms) Pop() any {
	last := len(*a) - 1
	popped := (*a)[last]
	*a = (*a)[:last]
	return popped
}
