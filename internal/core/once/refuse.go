package once

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// refuseNew says why a key without an entry does not run. Each "not run" here
// must stay true for good, since its caller may go on to use another key: age
// only grows, a stop is not taken back and retired ticks only rise.
func (l *Ledger) refuseNew(now core.Time, e Submitted) *Reply {
	age := now - e.Key.IssuedAt
	share := l.account(e.Customer)
	switch {
	case age > l.limits.RetainAge:
		// The entry of a key that ran may have been forgotten by now.
		return &Reply{Outcome: core.Unknown, Code: fault.CodeKeyExpired, Message: "the key's prefix is older than outcomes are kept: it may have run before"}
	case age > l.limits.AcceptAge:
		return new(refusal(fault.CodeKeyExpired, "the key's prefix is too old to run and the key never ran", 0))
	case l.stopping:
		return new(refusal(fault.CodeDraining, "the home of this key is stopping", 0))
	case e.Key.IssuedAt <= max(l.retired, share.retired):
		return new(refusal(fault.CodeOverloaded, "the key's prefix was retired when the ledger was full", l.limits.ReroutePause))
	}
	return l.refuseFull(now, e, share)
}

// refuseFull says why there is no room for a new key. The key's tick is then
// retired, for the reason given at account.retired.
func (l *Ledger) refuseFull(now core.Time, e Submitted, share *account) *Reply {
	charge := l.openCharge(e)
	switch {
	case len(l.entries) >= l.limits.MaxEntries || l.bytes+charge > l.limits.MaxBytes:
		l.retired = max(l.retired, e.Key.IssuedAt)
		return new(refusal(fault.CodeOverloaded, "the ledger of the home is full", l.untilSpace(now)))
	case share.entries >= l.limits.MaxCustomerEntries || share.bytes+charge > l.limits.MaxCustomerBytes:
		share.retired = max(share.retired, e.Key.IssuedAt)
		l.accounts[e.Customer] = share
		l.alarms.add(alarm{at: e.Key.IssuedAt + l.limits.RetainAge, customer: e.Customer})
		return new(refusal(fault.CodeOverloaded, "the customer's share of the ledger is full", l.untilSpace(now)))
	}
	return nil
}

// untilSpace is the time until some entry changes, after which there may be room.
func (l *Ledger) untilSpace(now core.Time) time.Duration {
	for _, next := range l.alarms {
		if next.entry != nil && next.at > now {
			return next.at - now
		}
	}
	return l.limits.ReplyGrace
}

func refusal(code fault.Code, message string, retryAfter time.Duration) Reply {
	return Reply{Outcome: core.NotRun, Code: code, Message: message, RetryAfter: retryAfter}
}
