package once

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// entryOverheadBytes is charged for an entry in addition to its texts: the size of the
// struct, its place in the map and its timer, rounded up.
const entryOverheadBytes = 512

// entry is one key in the ledger.
type entry struct {
	key      string
	customer core.Customer
	digest   Digest
	state    chart.State
	send     SendID
	// chargedBytes counts against the limits.
	chargedBytes int
	expiresAt    core.Time
	reply        Reply
	// run is nil once the key has an outcome.
	run *run
}

// run is the state that an entry needs until it has an outcome.
type run struct {
	service   string
	payload   []byte
	deadline  core.Time
	sendCount int
	ownerRank int
	// resendAt is when the request is rerouted; 0 while a send is in flight.
	resendAt core.Time
	waiters  []WaiterID
}

// initialCharge is the number of bytes charged for a new entry: the size of its request
// or the space reserved for its outcome, whichever is larger.
func (l *Ledger) initialCharge(e Submitted) int {
	return entryOverheadBytes + len(e.Key.Text) + max(len(e.Payload), l.limits.MaxReplyBytes)
}

// open adds an entry in the initial state of the state chart.
func (l *Ledger) open(now core.Time, e Submitted, digest Digest) *entry {
	opened := &entry{
		key:       e.Key.Text,
		customer:  e.Customer,
		digest:    digest,
		expiresAt: e.Key.IssuedAt + l.limits.RetainAge + 1,
		run: &run{
			service:  e.Service,
			payload:  e.Payload,
			deadline: min(e.Deadline, now+l.limits.MaxRunTime),
			waiters:  []WaiterID{e.Waiter},
		},
	}
	l.entries[opened.key] = opened
	l.usages[opened.customer] = l.usage(opened.customer)
	l.usages[opened.customer].entries++
	l.running++
	l.charge(opened, l.initialCharge(e))
	return opened
}

func (l *Ledger) charge(e *entry, charged int) {
	usage := l.usages[e.customer]
	l.bytes += charged - e.chargedBytes
	usage.bytes += charged - e.chargedBytes
	e.chargedBytes = charged
}
