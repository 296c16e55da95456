package once

import "github.com/pistachiopier/pistachiopier/internal/core"

// customerUsage is what one customer uses of the ledger.
type customerUsage struct {
	entries int
	bytes   int
	// refusedUpTo is the newest prefix time of a key that was refused because the
	// customer's limit was reached. A refused key has no entry. To keep "not run" true
	// for a delayed duplicate that arrives after space was freed, no key with a prefix
	// this old or older is run.
	refusedUpTo core.Time
}

// noneRefused is before every prefix time.
const noneRefused = core.Time(-1)

func (l *Ledger) usage(customer core.Customer) *customerUsage {
	if known := l.usages[customer]; known != nil {
		return known
	}
	return &customerUsage{refusedUpTo: noneRefused}
}

// dropUnusedUsage deletes a customer's usage when it has no entries and no key that it
// refused is young enough to be accepted.
func (l *Ledger) dropUnusedUsage(now core.Time, customer core.Customer) {
	usage := l.usages[customer]
	if usage != nil && usage.entries == 0 && now-usage.refusedUpTo > l.limits.AcceptAge {
		delete(l.usages, customer)
	}
}
