package once

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// entryBytes is what an entry is charged besides its texts: the size
// of the struct, its place in the map and its alarm, rounded up.
const entryBytes = 512

// entry is one key in the ledger.
type entry struct {
	key      string
	customer core.Customer
	digest   Digest
	state    chart.State
	send     SendID
	// charged is what the entry counts against the limits, in bytes.
	charged  int
	forgetAt core.Time
	reply    Reply
	// run is nil once there is an outcome.
	run *run
}

// run is what an entry needs only while it has no outcome.
type run struct {
	service  string
	payload  []byte
	deadline core.Time
	sends    int
	rank     int
	// resendAt is when the request is routed anew; 0 while a send is open.
	resendAt core.Time
	waiters  []WaiterID
}

// openCharge is what a new entry is charged: its request, or room for its
// outcome, whichever is more.
func (l *Ledger) openCharge(e Submitted) int {
	return entryBytes + len(e.Key.Text) + max(len(e.Payload), l.limits.MaxReplyBytes)
}

// open adds an entry in the chart's initial state.
func (l *Ledger) open(now core.Time, e Submitted, digest Digest) *entry {
	opened := &entry{
		key:      e.Key.Text,
		customer: e.Customer,
		digest:   digest,
		forgetAt: e.Key.IssuedAt + l.limits.RetainAge + 1,
		run: &run{
			service:  e.Service,
			payload:  e.Payload,
			deadline: min(e.Deadline, now+l.limits.MaxRunTime),
			waiters:  []WaiterID{e.Waiter},
		},
	}
	l.entries[opened.key] = opened
	l.accounts[opened.customer] = l.account(opened.customer)
	l.accounts[opened.customer].entries++
	l.running++
	l.charge(opened, l.openCharge(e))
	return opened
}

func (l *Ledger) charge(e *entry, charged int) {
	share := l.accounts[e.customer]
	l.bytes += charged - e.charged
	share.bytes += charged - e.charged
	e.charged = charged
}
