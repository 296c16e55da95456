package member_test

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiopier/pistachiopier/internal/core"
	. "github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/membership"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

const settle = 5 * time.Second

func (w *network) countViews(want int, nodes ...*node) int {
	agree := 0
	for _, n := range nodes {
		if len(n.view.Nodes()) == want {
			agree++
		}
	}
	return agree
}

// runUntil advances the time until the condition holds or the limit is reached, and returns how
// long that took.
func (w *network) runUntil(limit time.Duration, condition func() bool) time.Duration {
	began := w.now
	for w.now-began < limit && !condition() {
		w.run(TickInterval)
	}
	return w.now - began
}

func (w *network) allViews(want int, nodes []*node) func() bool {
	return func() bool { return w.countViews(want, nodes...) == len(nodes) }
}

func published(nodes []*node) int {
	sum := 0
	for _, n := range nodes {
		sum += n.published
	}
	return sum
}

func routes(n *node, id core.NodeID) bool {
	_, ok := n.view.Node(id)
	return ok
}

// A VM dies while the VM list still shows it live. Queries would keep going to an owner that never
// answers. The nodes that watch it get no answer, directly or through others, and the rest accept
// two of them as witnesses.
func TestDeadNodeIsRemovedFromViewsThoughListed(t *testing.T) {
	w := newNetwork(1, 8)
	w.run(settle)
	w.nodes[3].stopped = true
	rest := append(append([]*node(nil), w.nodes[:3]...), w.nodes[4:]...)
	took := w.runUntil(20*time.Second, w.allViews(7, rest))
	require.Less(t, took, 6*time.Second)
	w.run(30 * time.Second)
	require.Equal(t, 7, w.countViews(7, rest...), "it must not return while the VM list still shows it")
}

// The VM list is wrong: it lacks a running node, shows a node that never ran and shows most of the
// fleet leaving. No node may stop routing to nodes that answer.
func TestAWrongListDoesNotOverrideAnswers(t *testing.T) {
	w := newNetwork(2, 8)
	w.run(settle)
	var listed []ListedNode
	for i, n := range w.nodes[1:] {
		listed = append(listed, ListedNode{Node: n.Node, Leaving: i < 5})
	}
	listed = append(listed, ListedNode{Node: testNode(99)})
	for _, n := range w.nodes {
		w.step(n, VMList{Nodes: listed})
	}
	w.run(30 * time.Second)
	require.Equal(t, 8, w.countViews(8, w.nodes...))
	for _, n := range w.nodes {
		require.False(t, routes(n, "vm-099"))
	}
}

// The VM list shows one VM leaving. Every node stops routing to it at once, including that node
// itself, whose view would otherwise differ from all others permanently. The node returns when the
// list no longer shows it leaving.
func TestNodeListedAsLeavingIsNotRoutedTo(t *testing.T) {
	w := newNetwork(11, 8)
	w.run(settle)
	var listed []ListedNode
	for i, n := range w.nodes {
		listed = append(listed, ListedNode{Node: n.Node, Leaving: i == 3})
	}
	for _, n := range w.nodes {
		w.step(n, VMList{Nodes: listed})
	}
	require.Equal(t, 8, w.countViews(7, w.nodes...))
	w.run(30 * time.Second)
	for _, n := range w.nodes {
		require.False(t, n.split)
		require.False(t, routes(n, "vm-003"))
	}
	w.listAll(w.nodes)
	require.Equal(t, 8, w.countViews(8, w.nodes...))
}

// A new VM serves before the VM list shows it. Its heartbeats carry its addresses, so that other
// nodes learn of it from each other.
func TestUnlistedNodeIsDiscovered(t *testing.T) {
	w := newNetwork(3, 8)
	w.run(settle)
	added := w.add(8, 1)
	var listed []ListedNode
	for _, n := range w.nodes[:8] {
		listed = append(listed, ListedNode{Node: n.Node})
	}
	w.step(added, VMList{Nodes: listed})
	require.Less(t, w.runUntil(20*time.Second, w.allViews(9, w.nodes)), 10*time.Second)
	got, _ := w.nodes[0].view.Node(added.ID)
	require.Equal(t, added.Node, got)
}

// A partition splits the fleet in halves. Each half must continue with the nodes that it reaches
// and report split views. After the partition the views must become complete again with few
// changes, so that owners do not move repeatedly.
func TestPartitionHealsWithFewViewChanges(t *testing.T) {
	w := newNetwork(4, 16)
	w.run(settle)
	inFirstHalf := func(n *node) bool { return n.ID < "vm-008" }
	w.blocked = func(from, to *node) bool { return inFirstHalf(from) != inFirstHalf(to) }
	require.Less(t, w.runUntil(40*time.Second, w.allViews(8, w.nodes)), 15*time.Second)
	w.run(15 * time.Second)
	for _, n := range w.nodes {
		require.True(t, n.split, "%s reports no split view", n.ID)
	}
	before := published(w.nodes)
	w.blocked = nil
	require.Less(t, w.runUntil(60*time.Second, w.allViews(16, w.nodes)), 30*time.Second)
	require.LessOrEqual(t, published(w.nodes)-before, 16*8, "more view changes than returned nodes")
	w.run(30 * time.Second)
	for _, n := range w.nodes {
		require.False(t, n.split)
	}
}

// A data centre, a quarter of the fleet, loses power at once. The rest must soon stop routing to
// all of it and to no other node.
func TestFailedDataCentreIsRemovedFromViews(t *testing.T) {
	w := newNetwork(5, 64)
	w.run(settle)
	var rest []*node
	for _, n := range w.nodes {
		n.stopped = n.DataCentre == "dc2"
		if !n.stopped {
			rest = append(rest, n)
		}
	}
	require.Less(t, w.runUntil(60*time.Second, w.allViews(48, rest)), 20*time.Second)
	w.run(30 * time.Second)
	require.Equal(t, 48, w.countViews(48, rest...))
}

// A node receives nothing any longer, though its messages reach all others. It finds every node
// unresponsive and reports so. Its claims must not make other nodes declare a node dead, and views
// must not flap: the node leaves their views once and stays out until it can be reached.
func TestOneWayLossDoesNotFlap(t *testing.T) {
	w := newNetwork(6, 16)
	w.run(settle)
	unreachable := w.nodes[5]
	rest := append(append([]*node(nil), w.nodes[:5]...), w.nodes[6:]...)
	w.blocked = func(_, to *node) bool { return to == unreachable }
	before := published(rest)
	w.run(2 * time.Minute)
	require.Equal(t, len(rest), w.countViews(15, rest...))
	require.Equal(t, len(rest), published(rest)-before, "each node changes its view once")
	w.blocked = nil
	require.Less(t, w.runUntil(60*time.Second, w.allViews(16, w.nodes)), 30*time.Second)
}

// One link fails in one direction. The node behind it answers all other nodes, so that it must not
// be declared dead.
func TestNodeBehindOneFailedLinkStaysLive(t *testing.T) {
	w := newNetwork(7, 8)
	w.run(settle)
	before := published(w.nodes)
	w.blocked = func(from, to *node) bool { return from == w.nodes[0] && to == w.nodes[1] }
	w.run(2 * time.Minute)
	require.Equal(t, before, published(w.nodes))
}

// A process is paused for a while and resumes with its old state. Meanwhile other nodes took over
// what it owned. It must do no work before it has confirmed its state, and must not declare the
// other nodes dead.
func TestResumedNodeConfirmsBeforeItServes(t *testing.T) {
	w := newNetwork(8, 8)
	w.run(settle)
	pausedNode := w.nodes[2]
	pausedNode.paused = true
	rest := append(append([]*node(nil), w.nodes[:2]...), w.nodes[3:]...)
	w.runUntil(20*time.Second, w.allViews(7, rest))
	for _, n := range rest {
		n.revision = 9
	}
	before := pausedNode.published
	pausedNode.paused = false
	w.run(TickInterval)
	require.True(t, pausedNode.confirming)
	w.run(4 * time.Second)
	require.True(t, pausedNode.confirming, "its configuration is older than that of the other nodes")
	pausedNode.revision = 9
	w.run(3 * time.Second)
	require.False(t, pausedNode.confirming)
	require.Equal(t, before, pausedNode.published, "its view did not need to change")
	w.runUntil(20*time.Second, w.allViews(8, w.nodes))
	require.Equal(t, 8, w.countViews(8, w.nodes...))
}

// A node restarts under its id before its earlier process is found dead. The new incarnation
// replaces the old one, and claims about the old one, including that it leaves, do not apply to the
// new one.
func TestARestartReplacesTheOldIncarnation(t *testing.T) {
	w := newNetwork(9, 8)
	w.run(settle)
	old := w.nodes[4]
	w.step(old, Leave{})
	rest := append(append([]*node(nil), w.nodes[:4]...), w.nodes[5:]...)
	require.Less(t, w.runUntil(10*time.Second, w.allViews(7, rest)), 3*time.Second)
	old.stopped = true
	w.requireRestart(t, 2)
}

// requireRestart starts the stopped node 4 of eight with an incarnation and requires that all nodes
// consider it live and continue to.
func (w *network) requireRestart(t *testing.T, incarnation uint64) {
	t.Helper()
	w.nodes[4] = w.add(4, incarnation)
	w.nodes = w.nodes[:8]
	w.listAll(w.nodes)
	require.Less(t, w.runUntil(20*time.Second, w.allViews(8, w.nodes)), 10*time.Second)
	w.run(30 * time.Second)
	require.Equal(t, 8, w.countViews(8, w.nodes...))
}

// The time of day is set back on a VM, and the process there is killed and restarted. Its
// incarnation, derived from the time of day, is below that of the earlier process. Other nodes
// attributed its heartbeats to an old process, and it got no work for as long as it ran.
func TestRestartAfterClockSetBackIsAccepted(t *testing.T) {
	w := newNetwork(9, 8)
	w.run(settle)
	w.nodes[4].stopped = true
	rest := append(append([]*node(nil), w.nodes[:4]...), w.nodes[5:]...)
	require.Less(t, w.runUntil(20*time.Second, w.allViews(7, rest)), 10*time.Second)
	w.requireRestart(t, 0)
}

// An upstream reports to one owner that it is draining. Within 3 seconds no node may send it new
// work, and once it is back, the old mark must not return.
func TestADrainSpreadsAndDoesNotStick(t *testing.T) {
	w := newNetwork(10, 64)
	w.loss = 0.02
	w.run(settle)
	marked := func(want bool) func() bool {
		return func() bool {
			for _, n := range w.nodes {
				if (len(n.drains) == 1) != want {
					return false
				}
			}
			return true
		}
	}
	w.step(w.nodes[7], DrainSeen{Address: "10.9.0.1:80", Draining: true})
	require.Less(t, w.runUntil(20*time.Second, marked(true)), 3*time.Second)
	w.step(w.nodes[20], DrainSeen{Address: "10.9.0.1:80", Draining: false})
	require.Less(t, w.runUntil(20*time.Second, marked(false)), 3*time.Second)
	w.step(w.nodes[30], DrainSeen{Address: "10.9.0.1:80", Draining: true})
	w.runUntil(20*time.Second, marked(true))
	w.run(6 * time.Minute)
	require.True(t, marked(false)(), "a mark that is not renewed expires")
}

// Property: while nodes are live and messages are lost at random, 5 % in each direction, no live
// node is declared dead by any other.
func TestRandomLossDeclaresNobodyDead(t *testing.T) {
	for seed := range uint64(6) {
		w := newNetwork(100+seed, 16)
		w.run(settle)
		before := published(w.nodes)
		w.loss = 0.05
		w.run(5 * time.Minute)
		require.Equal(t, before, published(w.nodes), "seed %d", seed)
	}
}

// TestFigures measures detection time and cost by fleet size:
//
//	go test ./internal/core/member -run TestFigures -v -sizes 8,64,256,780
func TestFigures(t *testing.T) {
	for _, text := range strings.Split(*sizes, ",") {
		size, err := strconv.Atoi(text)
		require.NoError(t, err)
		w := newNetwork(uint64(size), size)
		w.run(20 * time.Second)
		idle := w.rates(20 * time.Second)
		w.step(w.nodes[1], DrainSeen{Address: "10.9.0.1:80", Draining: true})
		drained := w.runUntil(10*time.Second, func() bool {
			return !slices.ContainsFunc(w.nodes, func(n *node) bool { return len(n.drains) == 0 })
		})
		require.Less(t, drained, 3*time.Second)
		t.Logf("%d nodes: all nodes know a drain after %v", size, drained)
		w.nodes[size/2].stopped = true
		rest := append(append([]*node(nil), w.nodes[:size/2]...), w.nodes[size/2+1:]...)
		first := w.runUntil(60*time.Second, func() bool { return w.countViews(size-1, rest...) > 0 })
		last := first + w.runUntil(60*time.Second, w.allViews(size-1, rest))
		require.Less(t, last, 10*time.Second)
		require.Less(t, idle.bytes, 29000.0, "more than the budget of control traffic")
		t.Logf("%d nodes: idle %.1f messages/s and %.0f bytes/s sent per node; a dead node leaves the first view after %v and the last after %v",
			size, idle.messages, idle.bytes, first, last)
		w.logFaults(t, rest)
	}
}

type rates struct{ messages, bytes float64 }

func (w *network) rates(d time.Duration) rates {
	messages, bytes := w.messages, w.bytes
	w.run(d)
	per := float64(len(w.nodes)) * d.Seconds()
	return rates{float64(w.messages-messages) / per, float64(w.bytes-bytes) / per}
}

// logFaults measures the cost of 2 % message loss, of a partition into halves and of the recovery
// from it.
func (w *network) logFaults(t *testing.T, rest []*node) {
	w.loss = 0.02
	before := published(rest)
	lossy := w.rates(30 * time.Second)
	t.Logf("  with 2%% loss: %.0f bytes/s, %d view changes", lossy.bytes, published(rest)-before)
	w.loss = 0
	middle := rest[len(rest)/2].ID
	inFirstHalf := func(n *node) bool { return n.ID < middle }
	w.blocked = func(from, to *node) bool { return inFirstHalf(from) != inFirstHalf(to) }
	firstHalf := len(rest) / 2
	split := func() bool {
		return w.countViews(firstHalf, rest[:firstHalf]...) == firstHalf && w.countViews(len(rest)-firstHalf, rest[firstHalf:]...) == len(rest)-firstHalf
	}
	bytes := w.bytes
	took := w.runUntil(5*time.Minute, split)
	t.Logf("  partition into halves: all views correct after %v, %.0f bytes/s meanwhile", took, float64(w.bytes-bytes)/took.Seconds()/float64(len(rest)))
	bytes, before = w.bytes, published(rest)
	w.blocked = nil
	took = w.runUntil(5*time.Minute, w.allViews(len(rest), rest))
	t.Logf("  partition ended: all views complete after %v, %.0f bytes/s meanwhile, %.1f view changes per node", took,
		float64(w.bytes-bytes)/took.Seconds()/float64(len(rest)), float64(published(rest)-before)/float64(len(rest)))
}

func BenchmarkTick(b *testing.B) {
	for _, size := range []int{8, 64, 256, 780} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newNetwork(1, size)
			w.run(settle)
			machine := w.nodes[0].machine
			now := w.now
			var answers []Event
			for b.Loop() {
				now += TickInterval
				answers = answers[:0]
				for _, action := range machine.Step(now, Tick{}) {
					if send, ok := action.(Send); ok {
						reply := &Message{From: send.To, Incarnation: 1_790_000_000_000_000_001, View: machine.View().ID()}
						answers = append(answers, ReplyReceived{Probe: send.Probe, Message: reply})
					}
				}
				for _, answer := range answers {
					machine.Step(now, answer)
				}
			}
		})
	}
}

func TestMemoryPerMachine(t *testing.T) {
	const machines = 64
	measure := func(size int) float64 {
		var before, after runtime.MemStats
		var listed []ListedNode
		for i := range size {
			listed = append(listed, ListedNode{Node: testNode(i)})
		}
		kept := make([]*Machine, 0, machines)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range machines {
			machine := New(Config{Self: testNode(0), Incarnation: 1})
			machine.Step(time.Second, VMList{Nodes: listed})
			machine.Step(2*time.Second, Tick{})
			kept = append(kept, machine)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(kept)
		return float64(after.HeapAlloc-before.HeapAlloc) / machines
	}
	for _, size := range []int{8, 64, 256, 780} {
		perMachine := measure(size)
		t.Logf("%d nodes: %.0f bytes per machine, %.0f per member", size, perMachine, perMachine/float64(size))
		require.Less(t, perMachine, float64(1<<20))
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{8, 64, 256, 780} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newNetwork(1, size)
			w.run(settle)
			machine, other := w.nodes[0].machine, w.nodes[1]
			message := &Message{From: other.Node, Incarnation: 1_790_000_000_000_000_001, View: machine.View().ID()}
			b.ReportAllocs()
			for b.Loop() {
				encoded, _ := proto.Marshal(membership.Encode(message))
				var in peerpb.Heartbeat
				_ = proto.Unmarshal(encoded, &in)
				machine.Step(w.now, HeartbeatReceived{ReplyID: 1, Message: membership.Decode(&in)})
			}
		})
	}
}
