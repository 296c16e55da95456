package once

import "github.com/pistachiopier/pistachiopier/internal/core"

// account is one customer's share of the ledger.
type account struct {
	entries int
	bytes   int
	// retired is the newest tick of a key refused because the share was used
	// up. A refused key has no entry, yet its "not run" must stay true when a
	// delayed duplicate of it arrives after space was freed: so no key with a
	// prefix as old as this is run any more.
	retired core.Time
}

// never is before every tick.
const never = core.Time(-1)

func (l *Ledger) account(customer core.Customer) *account {
	if known := l.accounts[customer]; known != nil {
		return known
	}
	return &account{retired: never}
}

// closeAccount drops a customer's account when nothing depends on it.
func (l *Ledger) closeAccount(now core.Time, customer core.Customer) {
	share := l.accounts[customer]
	if share != nil && share.entries == 0 && now-share.retired > l.limits.AcceptAge {
		delete(l.accounts, customer)
	}
}
