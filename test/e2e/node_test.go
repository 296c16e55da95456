package e2e

import (
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// An operator asks each of three nodes by the command line, at the sizes of
// today's searches, and reads from each that the answer is whole.
func TestEveryNodeAnswersTheCommandLine(t *testing.T) {
	fleet, _ := start(t, harness.NodeOptions{})
	for _, address := range fleet.CallerAddresses() {
		out, err := exec.Command(binary, "query", harness.Lead, "--address", address, "--question", `"pork shoulder"`).CombinedOutput()
		require.NoError(t, err, string(out))
		require.Contains(t, string(out), "plate-costing: whole answer, 20 of 20 shards")
	}
}

// A chef's answers go on while a VM dies: one of three nodes is killed in the
// middle of the load, and nothing tells the others until the VM list drops it.
// Its own callers see their answers lost; nobody else does, and nobody waits
// without end.
func TestKilledNodeLosesNoOtherAnswer(t *testing.T) {
	fleet, upstreams := start(t, harness.NodeOptions{})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(50)
	victim := fleet.Nodes()[1]
	fleet.RequireOwner(victim, harness.ConfigText(upstreams.Addresses))
	load.Exempt(victim.VM.CallerAddress)
	victim.Kill()
	fleet.Remove(victim)
	load.UseEntries(fleet.CallerAddresses()...)
	load.AwaitComplete(10)
	fleet.PublishVMList()
	load.AwaitComplete(50)
	load.Stop()
	load.RequireCorrect()
}

// A VM is suspended by its host for a while and wakes up. The others answer
// whole meanwhile, by the next node of each bundle's order, and the woken node
// answers whole again.
func TestPausedNode(t *testing.T) {
	fleet, upstreams := start(t, harness.NodeOptions{})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(20)
	paused := fleet.Nodes()[2]
	fleet.RequireOwner(paused, harness.ConfigText(upstreams.Addresses))
	load.Exempt(paused.VM.CallerAddress)
	load.UseEntries(fleet.CallerAddresses()[:2]...)
	paused.Pause()
	load.AwaitComplete(20)
	paused.Resume()
	load.UseEntries(paused.VM.CallerAddress)
	load.AwaitComplete(20)
	load.Stop()
	load.RequireCorrect()
}

// The network between data centres splits one node from the two others, in both
// directions, while each side still reaches the upstreams, the platform and its
// callers. Each side answers whole, with the other's bundles taken over, and
// still does when the split heals.
func TestPartitionBetweenNodes(t *testing.T) {
	upstreams := harness.StartUpstreams(t, binary, replicas, upstreamBehaviour)
	text := harness.ConfigText(upstreams.Addresses)
	split := harness.NewSplitFleet(t, binary, 2, 1, text)
	for _, n := range split.Nodes() {
		split.RequireOwner(n, text)
	}
	load := harness.StartLoad(t, callers, split.CallerAddresses()...)
	load.AwaitComplete(20)
	split.Cut()
	for _, address := range split.CallerAddresses() {
		load.UseEntries(address)
		load.AwaitComplete(10)
	}
	split.Heal()
	load.UseEntries(split.CallerAddresses()...)
	load.AwaitComplete(40)
	load.Stop()
	load.RequireCorrect()
	for _, counts := range upstreams.Counts() {
		require.LessOrEqual(t, counts.MostOpen, 25, "both sides' owners together keep to the connection limit")
		require.Zero(t, counts.Rejected)
	}
}

// An operator stops a node while questions run on it, and while it runs
// upstream work for the other nodes. Every question is answered whole before
// the process ends, and it ends cleanly.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	fleet, upstreams := start(t, harness.NodeOptions{Settings: shortTTL})
	// Two questions at the stopping node and two at the others fill the slots of
	// every shard, and each runs long enough to be seen in flight.
	const asking = callers / 2
	upstreams.PatchBehaviour(harness.AllReplicas, "{service: 400ms}")
	stopped := fleet.Nodes()[0]
	fleet.RequireOwner(stopped, harness.ConfigText(upstreams.Addresses))
	others := harness.StartLoad(t, asking, fleet.CallerAddresses()[1:]...)
	others.AwaitComplete(2)
	own := harness.QueryOnce(t, asking, stopped.VM.CallerAddress)
	harness.Await(t, "every question is in flight", func() bool {
		status, ok := stopped.Status()
		return ok && status.InFlight == asking
	})
	stopped.Signal(syscall.SIGTERM)
	require.Zero(t, stopped.AwaitExit())
	harness.Await(t, "every question is answered", func() bool { return own.Tally().Complete == asking })
	own.RequireCorrect()
	others.AwaitComplete(4)
	require.Zero(t, others.Stop().Partial)
	others.RequireCorrect()
}

// Every VM is replaced during service, one after the other: a new node joins,
// the old one is listed as leaving, callers fetch the address answer anew, and
// the old node is stopped. No question fails.
func TestRollingReplacementOfAllNodes(t *testing.T) {
	fleet, _ := start(t, harness.NodeOptions{Settings: shortTTL})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	for _, old := range append([]*harness.Node(nil), fleet.Nodes()...) {
		fleet.AddSuccessor(old, harness.NodeOptions{Settings: shortTTL})
		fleet.Remove(old)
		load.UseEntries(fleet.CallerAddresses()...)
		harness.Await(t, "no question is left on the leaving node", func() bool {
			status, ok := old.Status()
			return ok && status.InFlight == 0
		})
		old.Signal(syscall.SIGTERM)
		require.Zero(t, old.AwaitExit())
		fleet.PublishVMList()
		fleet.AwaitReady(1)
		load.AwaitComplete(20)
	}
	tally := load.Stop()
	load.RequireCorrect()
	require.Zero(t, tally.Partial, tally.MissingReasons)
}

// A caller keeps the address answer for a while and connects by it. A node that
// is told to stop in that while still gets questions; it leaves the answer, goes
// on to serve until the answers given out have expired, and no question fails.
func TestStoppingNodeServesUntilAddressesExpire(t *testing.T) {
	fleet, _ := start(t, harness.NodeOptions{Settings: shortTTL})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.CacheAddresses()
	for _, old := range append([]*harness.Node(nil), fleet.Nodes()...) {
		load.AwaitComplete(20)
		fleet.AddSuccessor(old, harness.NodeOptions{Settings: shortTTL})
		old.Signal(syscall.SIGTERM)
		require.Zero(t, old.AwaitExit())
		fleet.Remove(old)
		fleet.PublishVMList()
		fleet.AwaitReady(1)
		load.RequireCorrect()
	}
	load.AwaitComplete(20)
	tally := load.Stop()
	load.RequireCorrect()
	require.Zero(t, tally.Partial, tally.MissingReasons)
}

// A middlebox between the nodes has lost track of their open flows: datagrams go
// in and none come out, for good, while a flow from a new port works. Answers
// stay whole, and the nodes go on by new flows rather than for ever by the next
// node of each order.
func TestSilentFlowsBetweenNodesAreReplaced(t *testing.T) {
	upstreams := harness.StartUpstreams(t, binary, replicas, upstreamBehaviour)
	split := harness.NewSplitFleet(t, binary, 2, 1, harness.ConfigText(upstreams.Addresses))
	load := harness.StartLoad(t, callers, split.CallerAddresses()...)
	load.AwaitComplete(20)
	proxy := split.FirstToSecond[0]
	flows := proxy.Flows()
	proxy.Silence()
	load.AwaitComplete(20)
	harness.Await(t, "new flows through the proxy", func() bool { return proxy.Flows() > flows })
	load.Stop()
	load.RequireCorrect()
}
