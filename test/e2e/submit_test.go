package e2e

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

const ledgerBehaviour = "{slots: 3, service: 2ms, versions: [1], connections: 100, connect_cost: 1ms}"

func startLedger(t *testing.T) (*harness.Fleet, *harness.StandIn, *harness.Invoices) {
	t.Helper()
	upstreams := harness.StartUpstreams(t, binary, harness.LedgerReplicas, ledgerBehaviour)
	fleet := harness.StartFleet(t, binary, 3, harness.LedgerConfigText(upstreams.Addresses), harness.NodeOptions{Settings: shortTTL})
	invoices := harness.StartInvoices(t, callers, fleet.CallerAddresses()...)
	invoices.AwaitDone(30)
	return fleet, upstreams, invoices
}

// Every replica sheds load for a while. Invoices are then refused as not run, after
// which a caller may send them again: none of them may have run, also when its
// attempts fall before and after the change.
func TestRefusedInvoicesDidNotRun(t *testing.T) {
	_, upstreams, invoices := startLedger(t)
	upstreams.PatchBehaviour(harness.AllReplicas, "{shed_share: 1}")
	invoices.AwaitNotRun(10)
	upstreams.PatchBehaviour(harness.AllReplicas, "{shed_share: 0.3}")
	invoices.AwaitFinished(30)
	upstreams.PatchBehaviour(harness.AllReplicas, "{shed_share: 0}")
	invoices.AwaitDone(30)
	invoices.RequireAtMostOnce(upstreams)
}

// A node is killed while callers submit invoices, each through several entries at
// once. Keys whose home was the killed node may get the outcome unknown: no
// invoice may run twice, and none that ran may be refused as not run.
func TestInvoicesDuringAKill(t *testing.T) {
	fleet, upstreams, invoices := startLedger(t)
	victim := fleet.Nodes()[1]
	victim.Kill()
	invoices.AwaitFinished(callers)
	fleet.Remove(victim)
	fleet.PublishVMList()
	invoices.UseEntries(fleet.CallerAddresses()...)
	invoices.AwaitDone(30)
	invoices.RequireAtMostOnce(upstreams)
}

// A VM is suspended with invoices in flight and resumes with stale state. The
// requests that it still holds must not run a second time.
func TestInvoicesDuringAPause(t *testing.T) {
	fleet, upstreams, invoices := startLedger(t)
	paused := fleet.Nodes()[0]
	paused.Pause()
	invoices.AwaitFinished(2 * callers)
	paused.Resume()
	invoices.AwaitDone(30)
	invoices.RequireAtMostOnce(upstreams)
}

// A network partition separates one node from the others while each side serves
// its callers and reaches the upstreams. Both sides receive the same keys; only
// the side with the key's home may run it.
func TestInvoicesDuringAPartition(t *testing.T) {
	upstreams := harness.StartUpstreams(t, binary, harness.LedgerReplicas, ledgerBehaviour)
	split := harness.NewSplitFleet(t, binary, 2, 1, harness.LedgerConfigText(upstreams.Addresses))
	invoices := harness.StartInvoices(t, callers, split.CallerAddresses()...)
	invoices.AwaitDone(30)
	split.Cut()
	invoices.AwaitFinished(2 * callers)
	split.Heal()
	invoices.AwaitDone(30)
	invoices.RequireAtMostOnce(upstreams)
}

// Every VM is replaced while invoices are submitted. Keys whose home has stopped
// must be answered from the records that it handed over, or get the outcome
// unknown; none may run again.
func TestInvoicesDuringARollingReplacement(t *testing.T) {
	fleet, upstreams, invoices := startLedger(t)
	for _, old := range append([]*harness.Node(nil), fleet.Nodes()...) {
		fleet.AddSuccessor(old, harness.NodeOptions{Settings: shortTTL})
		old.Signal(syscall.SIGTERM)
		fleet.Remove(old)
		invoices.UseEntries(fleet.CallerAddresses()...)
		require.Zero(t, old.AwaitExit())
		fleet.PublishVMList()
		fleet.AwaitReady(1)
		invoices.AwaitDone(20)
	}
	invoices.RequireAtMostOnce(upstreams)
}
