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

// Every replica sheds for a while. An invoice is then refused as not run, which
// tells the kitchen manager to send it anew: none of those may have run, also when
// its two tries met replicas before and after the change.
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

// A VM dies while kitchen managers record invoices, each impatiently through
// several entries. What the dead node was home to becomes unknown at worst: no
// invoice is doubled, and none is refused as not run that did run.
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

// A VM is suspended with invoices on their way through it, and wakes up believing
// what it believed before. What it still holds must not run a second time.
func TestInvoicesDuringAPause(t *testing.T) {
	fleet, upstreams, invoices := startLedger(t)
	paused := fleet.Nodes()[0]
	paused.Pause()
	invoices.AwaitFinished(2 * callers)
	paused.Resume()
	invoices.AwaitDone(30)
	invoices.RequireAtMostOnce(upstreams)
}

// The network splits one node from the others while each side serves its callers
// and reaches the upstreams. Both sides take the same keys; only the side that
// holds a key's home may run it.
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

// Every VM is replaced while invoices are recorded. Keys of a stopped home are
// answered by what it handed over, or are unknown; none runs again.
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
