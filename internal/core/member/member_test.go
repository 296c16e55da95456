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

func (w *mesh) views(want int, nodes ...*node) int {
	agree := 0
	for _, n := range nodes {
		if len(n.view.Nodes()) == want {
			agree++
		}
	}
	return agree
}

// runUntil advances until the condition holds and returns how long that took,
// or the limit.
func (w *mesh) runUntil(limit time.Duration, condition func() bool) time.Duration {
	began := w.now
	for w.now-began < limit && !condition() {
		w.run(TickInterval)
	}
	return w.now - began
}

func (w *mesh) all(want int, nodes []*node) func() bool {
	return func() bool { return w.views(want, nodes...) == len(nodes) }
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

// A VM dies and the VM list still shows it live. Callers' questions would go on
// to an owner that never answers. The nodes watching it find it silent,
// directly and through others, and the rest believe two of them.
func TestADeadNodeLeavesEveryViewThoughItIsListed(t *testing.T) {
	w := newMesh(1, 8)
	w.run(settle)
	w.nodes[3].stopped = true
	rest := append(append([]*node(nil), w.nodes[:3]...), w.nodes[4:]...)
	took := w.runUntil(20*time.Second, w.all(7, rest))
	require.Less(t, took, 6*time.Second)
	w.run(30 * time.Second)
	require.Equal(t, 7, w.views(7, rest...), "it must not come back while the list lags")
}

// The VM list is wrong: it lacks a running node, shows one that never ran, and
// shows most of the fleet leaving. Nobody may stop routing to nodes that answer.
func TestAWrongListDoesNotOverrideAnswers(t *testing.T) {
	w := newMesh(2, 8)
	w.run(settle)
	var listed []ListedNode
	for i, n := range w.nodes[1:] {
		listed = append(listed, ListedNode{Node: n.Node, Leaving: i < 5})
	}
	listed = append(listed, ListedNode{Node: place(99)})
	for _, n := range w.nodes {
		w.step(n, VMList{Nodes: listed})
	}
	w.run(30 * time.Second)
	require.Equal(t, 8, w.views(8, w.nodes...))
	for _, n := range w.nodes {
		require.False(t, routes(n, "vm-099"))
	}
}

// The VM list shows one VM leaving. Every node stops routing to it at once, also
// that node itself, or its view would differ from all others for good. When the
// list takes that back, the node returns.
func TestAListedLeavingNodeIsRoutedAround(t *testing.T) {
	w := newMesh(11, 8)
	w.run(settle)
	var listed []ListedNode
	for i, n := range w.nodes {
		listed = append(listed, ListedNode{Node: n.Node, Leaving: i == 3})
	}
	for _, n := range w.nodes {
		w.step(n, VMList{Nodes: listed})
	}
	require.Equal(t, 8, w.views(7, w.nodes...))
	w.run(30 * time.Second)
	for _, n := range w.nodes {
		require.False(t, n.split)
		require.False(t, routes(n, "vm-003"))
	}
	w.list(w.nodes)
	require.Equal(t, 8, w.views(8, w.nodes...))
}

// A new VM serves before the lagging list shows it. Its heartbeats carry its
// addresses, so that the others learn of it from each other.
func TestANodeThatTheListLacksIsLearnt(t *testing.T) {
	w := newMesh(3, 8)
	w.run(settle)
	fresh := w.add(8, 1)
	var listed []ListedNode
	for _, n := range w.nodes[:8] {
		listed = append(listed, ListedNode{Node: n.Node})
	}
	w.step(fresh, VMList{Nodes: listed})
	require.Less(t, w.runUntil(20*time.Second, w.all(9, w.nodes)), 10*time.Second)
	got, _ := w.nodes[0].view.Node(fresh.ID)
	require.Equal(t, fresh.Node, got)
}

// The network splits the fleet in halves. Each half must go on with the nodes
// it reaches and say that views are split; when the network heals, views come
// back whole with few changes, so that owners do not move to and fro.
func TestHalvesServeAndHealWithoutAStorm(t *testing.T) {
	w := newMesh(4, 16)
	w.run(settle)
	half := func(n *node) bool { return n.ID < "vm-008" }
	w.blocked = func(from, to *node) bool { return half(from) != half(to) }
	require.Less(t, w.runUntil(40*time.Second, w.all(8, w.nodes)), 15*time.Second)
	w.run(15 * time.Second)
	for _, n := range w.nodes {
		require.True(t, n.split, "%s raises no split view", n.ID)
	}
	before := published(w.nodes)
	w.blocked = nil
	require.Less(t, w.runUntil(60*time.Second, w.all(16, w.nodes)), 30*time.Second)
	require.LessOrEqual(t, published(w.nodes)-before, 16*8, "more changes than nodes that came back")
	w.run(30 * time.Second)
	for _, n := range w.nodes {
		require.False(t, n.split)
	}
}

// A data centre is lost at once: a quarter of the fleet, on power. The rest
// must soon route around all of it and around nothing else.
func TestALostDataCentreIsRoutedAround(t *testing.T) {
	w := newMesh(5, 64)
	w.run(settle)
	var rest []*node
	for _, n := range w.nodes {
		n.stopped = n.DataCentre == "dc2"
		if !n.stopped {
			rest = append(rest, n)
		}
	}
	require.Less(t, w.runUntil(60*time.Second, w.all(48, rest)), 20*time.Second)
	w.run(30 * time.Second)
	require.Equal(t, 48, w.views(48, rest...))
}

// A node hears nothing any longer, though all hear it: it finds everybody
// silent and says so. Its claims must move nobody else, and views must not
// flap: it leaves their views once and stays out until it can be reached.
func TestOneWayLossDoesNotFlap(t *testing.T) {
	w := newMesh(6, 16)
	w.run(settle)
	deaf := w.nodes[5]
	rest := append(append([]*node(nil), w.nodes[:5]...), w.nodes[6:]...)
	w.blocked = func(_, to *node) bool { return to == deaf }
	before := published(rest)
	w.run(2 * time.Minute)
	require.Equal(t, len(rest), w.views(15, rest...))
	require.Equal(t, len(rest), published(rest)-before, "each node changes its view once")
	w.blocked = nil
	require.Less(t, w.runUntil(60*time.Second, w.all(16, w.nodes)), 30*time.Second)
}

// One link is cut one way. The node behind it answers everybody else, so it
// must not be taken for lost.
func TestOneCutLinkIsConfirmedThroughOthers(t *testing.T) {
	w := newMesh(7, 8)
	w.run(settle)
	before := published(w.nodes)
	w.blocked = func(from, to *node) bool { return from == w.nodes[0] && to == w.nodes[1] }
	w.run(2 * time.Minute)
	require.Equal(t, before, published(w.nodes))
}

// A process is stopped for a while and wakes up believing what it believed
// before. Meanwhile others took over what it owned. It must do nothing before
// it has confirmed its beliefs, and must not take the others for lost.
func TestAWokenNodeConfirmsBeforeItServes(t *testing.T) {
	w := newMesh(8, 8)
	w.run(settle)
	sleeper := w.nodes[2]
	sleeper.paused = true
	rest := append(append([]*node(nil), w.nodes[:2]...), w.nodes[3:]...)
	w.runUntil(20*time.Second, w.all(7, rest))
	for _, n := range rest {
		n.revision = 9
	}
	before := sleeper.published
	sleeper.paused = false
	w.run(TickInterval)
	require.True(t, sleeper.confirming)
	w.run(4 * time.Second)
	require.True(t, sleeper.confirming, "it still runs by an older text than the others")
	sleeper.revision = 9
	w.run(3 * time.Second)
	require.False(t, sleeper.confirming)
	require.Equal(t, before, sleeper.published, "its view was right all along")
	w.runUntil(20*time.Second, w.all(8, w.nodes))
	require.Equal(t, 8, w.views(8, w.nodes...))
}

// A node restarts under its id before anybody found its former process dead.
// The new incarnation replaces the old one, and what was said of the old one,
// also its leaving, does not stick to it.
func TestARestartReplacesTheOldIncarnation(t *testing.T) {
	w := newMesh(9, 8)
	w.run(settle)
	old := w.nodes[4]
	w.step(old, Leave{})
	rest := append(append([]*node(nil), w.nodes[:4]...), w.nodes[5:]...)
	require.Less(t, w.runUntil(10*time.Second, w.all(7, rest)), 3*time.Second)
	old.stopped = true
	w.startsAgain(t, 2)
}

// startsAgain starts the stopped node 4 of eight with an incarnation; all must believe in it,
// and go on to.
func (w *mesh) startsAgain(t *testing.T, incarnation uint64) {
	t.Helper()
	w.nodes[4] = w.add(4, incarnation)
	w.nodes = w.nodes[:8]
	w.list(w.nodes)
	require.Less(t, w.runUntil(20*time.Second, w.all(8, w.nodes)), 10*time.Second)
	w.run(30 * time.Second)
	require.Equal(t, 8, w.views(8, w.nodes...))
}

// The time of day steps back on a VM, and the process there is killed and starts again: its
// incarnation, made from the time of day, is below the former one's. The others took its
// heartbeats for those of a process long gone, and it got no work for as long as it ran.
func TestARestartBehindASteppedClockIsBelieved(t *testing.T) {
	w := newMesh(9, 8)
	w.run(settle)
	w.nodes[4].stopped = true
	rest := append(append([]*node(nil), w.nodes[:4]...), w.nodes[5:]...)
	require.Less(t, w.runUntil(20*time.Second, w.all(7, rest)), 10*time.Second)
	w.startsAgain(t, 0)
}

// An upstream says "draining" to one owner. Within 3 seconds no node may give
// it new work; and once it is back, the old mark must not return.
func TestADrainSpreadsAndDoesNotStick(t *testing.T) {
	w := newMesh(10, 64)
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
	require.True(t, marked(false)(), "a mark that nobody renews ends")
}

// Property: while nodes live and messages are lost at random, one in twenty each
// way, no live node is declared lost by any other.
func TestRandomLossDeclaresNobodyDead(t *testing.T) {
	for seed := range uint64(6) {
		w := newMesh(100+seed, 16)
		w.run(settle)
		before := published(w.nodes)
		w.loss = 0.05
		w.run(5 * time.Minute)
		require.Equal(t, before, published(w.nodes), "seed %d", seed)
	}
}

// TestFigures measures detection and cost by fleet size:
//
//	go test ./internal/core/member -run TestFigures -v -sizes 8,64,256,780
func TestFigures(t *testing.T) {
	for _, text := range strings.Split(*sizes, ",") {
		size, err := strconv.Atoi(text)
		require.NoError(t, err)
		w := newMesh(uint64(size), size)
		w.run(20 * time.Second)
		quiet := w.rates(20 * time.Second)
		w.step(w.nodes[1], DrainSeen{Address: "10.9.0.1:80", Draining: true})
		drained := w.runUntil(10*time.Second, func() bool {
			return !slices.ContainsFunc(w.nodes, func(n *node) bool { return len(n.drains) == 0 })
		})
		require.Less(t, drained, 3*time.Second)
		t.Logf("%d nodes: a drain is known to all after %v", size, drained)
		w.nodes[size/2].stopped = true
		rest := append(append([]*node(nil), w.nodes[:size/2]...), w.nodes[size/2+1:]...)
		first := w.runUntil(60*time.Second, func() bool { return w.views(size-1, rest...) > 0 })
		last := first + w.runUntil(60*time.Second, w.all(size-1, rest))
		require.Less(t, last, 10*time.Second)
		require.Less(t, quiet.bytes, 29000.0, "more than the control budget")
		t.Logf("%d nodes: quiet %.1f messages/s and %.0f bytes/s sent a node; a dead node leaves the first view after %v and the last after %v",
			size, quiet.messages, quiet.bytes, first, last)
		w.logFaults(t, rest)
	}
}

type rates struct{ messages, bytes float64 }

func (w *mesh) rates(d time.Duration) rates {
	messages, bytes := w.messages, w.bytes
	w.run(d)
	per := float64(len(w.nodes)) * d.Seconds()
	return rates{float64(w.messages-messages) / per, float64(w.bytes-bytes) / per}
}

// logFaults measures a lost half and its healing.
func (w *mesh) logFaults(t *testing.T, rest []*node) {
	w.loss = 0.02
	before := published(rest)
	lossy := w.rates(30 * time.Second)
	t.Logf("  with 2%% loss: %.0f bytes/s, %d changes of views", lossy.bytes, published(rest)-before)
	w.loss = 0
	middle := rest[len(rest)/2].ID
	half := func(n *node) bool { return n.ID < middle }
	w.blocked = func(from, to *node) bool { return half(from) != half(to) }
	low := len(rest) / 2
	apart := func() bool {
		return w.views(low, rest[:low]...) == low && w.views(len(rest)-low, rest[low:]...) == len(rest)-low
	}
	bytes := w.bytes
	took := w.runUntil(5*time.Minute, apart)
	t.Logf("  halves apart: every view right after %v, %.0f bytes/s meanwhile", took, float64(w.bytes-bytes)/took.Seconds()/float64(len(rest)))
	bytes, before = w.bytes, published(rest)
	w.blocked = nil
	took = w.runUntil(5*time.Minute, w.all(len(rest), rest))
	t.Logf("  healed: every view whole after %v, %.0f bytes/s meanwhile, %.1f changes of view a node", took,
		float64(w.bytes-bytes)/took.Seconds()/float64(len(rest)), float64(published(rest)-before)/float64(len(rest)))
}

func BenchmarkTick(b *testing.B) {
	for _, size := range []int{8, 64, 256, 780} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newMesh(1, size)
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
			listed = append(listed, ListedNode{Node: place(i)})
		}
		kept := make([]*Machine, 0, machines)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range machines {
			machine := New(Config{Self: place(0), Incarnation: 1})
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
		t.Logf("%d nodes: %.0f bytes a machine, %.0f a member", size, perMachine, perMachine/float64(size))
		require.Less(t, perMachine, float64(1<<20))
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{8, 64, 256, 780} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newMesh(1, size)
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
