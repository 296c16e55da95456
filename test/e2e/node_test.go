package e2e

import (
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// The query command against each of three nodes, with a search of production
// size, must report a complete answer.
func TestEveryNodeAnswersTheCommandLine(t *testing.T) {
	fleet, _ := startFleet(t, harness.NodeOptions{})
	for _, address := range fleet.CallerAddresses() {
		out, err := exec.Command(binary, "query", harness.Lead, "--address", address, "--question", `"pork shoulder"`).CombinedOutput()
		require.NoError(t, err, string(out))
		require.Contains(t, string(out), "plate-costing: whole answer, 20 of 20 shards")
	}
}

// One of three nodes is killed under load, and the others are not informed until
// the VM list drops it. Only queries sent to the killed node may fail, and no
// query may wait without end.
func TestKilledNodeLosesNoOtherAnswer(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
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

// A VM is suspended by its host for a while and resumed. Meanwhile the other nodes
// must give complete answers through the next node in each bundle's ownership
// order, and the resumed node must then give complete answers again.
func TestPausedNode(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
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

// A network partition separates one node from the two others, in both directions,
// while each side still reaches the upstreams, the platform and its callers. Each
// side must take over the other's bundles and give complete answers, also after
// the partition heals.
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
		require.LessOrEqual(t, counts.PeakOpen, 25, "the owners of both sides together must stay within the connection limit")
		require.Zero(t, counts.Rejected)
	}
}

// An operator stops a node while it runs queries of its own callers and sends
// upstream requests for the other nodes. Every query must get a complete answer
// before the process ends, and the exit code must be 0.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{Settings: shortTTL})
	// Two queries at the stopping node and two at the others fill the slots of
	// every shard, and each runs long enough to be seen in flight.
	const callersPerLoad = callers / 2
	upstreams.PatchBehaviour(harness.AllReplicas, "{service: 400ms}")
	stopped := fleet.Nodes()[0]
	fleet.RequireOwner(stopped, harness.ConfigText(upstreams.Addresses))
	others := harness.StartLoad(t, callersPerLoad, fleet.CallerAddresses()[1:]...)
	others.AwaitComplete(2)
	own := harness.QueryOnce(t, callersPerLoad, stopped.VM.CallerAddress)
	harness.Await(t, "every query is in flight", func() bool {
		status, ok := stopped.Status()
		return ok && status.InFlight == callersPerLoad
	})
	stopped.Signal(syscall.SIGTERM)
	require.Zero(t, stopped.AwaitExit())
	harness.Await(t, "every query is answered", func() bool { return own.Tally().Complete == callersPerLoad })
	own.RequireCorrect()
	others.AwaitComplete(4)
	require.Zero(t, others.Stop().Partial)
	others.RequireCorrect()
}

// Every VM is replaced under load, one after the other: a new node joins, the old
// one is listed as leaving, callers switch to the new addresses, and the old node
// is stopped. No query may fail.
func TestRollingReplacementOfAllNodes(t *testing.T) {
	fleet, _ := startFleet(t, harness.NodeOptions{Settings: shortTTL})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	for _, old := range append([]*harness.Node(nil), fleet.Nodes()...) {
		fleet.AddSuccessor(old, harness.NodeOptions{Settings: shortTTL})
		fleet.Remove(old)
		load.UseEntries(fleet.CallerAddresses()...)
		harness.Await(t, "no query is in flight on the leaving node", func() bool {
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

// Callers cache the list of entry addresses until its TTL ends, so that a node
// which is asked to stop still gets queries. It must remove itself from the list
// and serve until the lists already returned have expired; no query may fail.
func TestStoppingNodeServesUntilAddressesExpire(t *testing.T) {
	fleet, _ := startFleet(t, harness.NodeOptions{Settings: shortTTL})
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

// A middlebox between the nodes loses the state of their open flows: it drops
// their datagrams permanently, while a flow from a new port works. Answers must
// stay complete, and the nodes must open new flows rather than use the next node
// in each ownership order permanently.
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
