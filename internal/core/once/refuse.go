package once

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// newKeyRefusal returns the refusal of a key without an entry, or nil. Each "not run"
// here must stay true, because the caller may then use another key. It does: age only
// grows, a stop is final and refusedUpTo never decreases.
func (l *Ledger) newKeyRefusal(now core.Time, e Submitted) *Reply {
	age := now - e.Key.IssuedAt
	usage := l.usage(e.Customer)
	switch {
	case age > l.limits.RetainAge:
		// The entry of a key that ran may have expired.
		return &Reply{Outcome: core.Unknown, Code: fault.CodeKeyExpired, Message: "the key's prefix is older than the retention time of outcomes: the request may have run"}
	case age > l.limits.AcceptAge:
		return new(refusal(fault.CodeKeyExpired, "the key's prefix is too old to run a request with it, and the key never ran", 0))
	case l.stopping:
		return new(refusal(fault.CodeDraining, "the home node of this key is stopping", 0))
	case e.Key.IssuedAt <= max(l.refusedUpTo, usage.refusedUpTo):
		return new(refusal(fault.CodeOverloaded, "the key's prefix is not newer than that of a key refused while the ledger or the customer's share was full", l.limits.ReroutePause))
	}
	return l.capacityRefusal(now, e, usage)
}

// capacityRefusal returns the refusal if there is no room for a new key, or nil. It
// raises refusedUpTo for the reason given at customerUsage.refusedUpTo.
func (l *Ledger) capacityRefusal(now core.Time, e Submitted, usage *customerUsage) *Reply {
	charge := l.initialCharge(e)
	switch {
	case len(l.entries) >= l.limits.MaxEntries || l.bytes+charge > l.limits.MaxBytes:
		l.refusedUpTo = max(l.refusedUpTo, e.Key.IssuedAt)
		return new(refusal(fault.CodeOverloaded, "the ledger of the home node is full", l.capacityRetryDelay(now)))
	case usage.entries >= l.limits.MaxCustomerEntries || usage.bytes+charge > l.limits.MaxCustomerBytes:
		usage.refusedUpTo = max(usage.refusedUpTo, e.Key.IssuedAt)
		l.usages[e.Customer] = usage
		l.timers.add(timer{at: e.Key.IssuedAt + l.limits.RetainAge, customer: e.Customer})
		return new(refusal(fault.CodeOverloaded, "the customer's share of the ledger is full", l.capacityRetryDelay(now)))
	}
	return nil
}

// capacityRetryDelay returns the time until the timer of some entry, after which there
// may be room.
func (l *Ledger) capacityRetryDelay(now core.Time) time.Duration {
	for _, next := range l.timers {
		if next.entry != nil && next.at > now {
			return next.at - now
		}
	}
	return l.limits.ReplyGrace
}

func refusal(code fault.Code, message string, retryAfter time.Duration) Reply {
	return Reply{Outcome: core.NotRun, Code: code, Message: message, RetryAfter: retryAfter}
}
