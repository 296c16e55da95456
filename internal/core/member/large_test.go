package member_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	. "github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// largeSize is the fleet of the largest deployment served so far; 781 is the aim:
//
//	go test ./internal/core/member -run TestALargeFleet -v -large 781
var largeSize = flag.Int("large", 295, "the size of the fleet in the tests of a large one")

const (
	largeCentres = 6
	firstStart   = 1_790_000_000_000_000_000
	mega         = 1e6
)

// largeFleet is nodes in six data centres that start at once and know three bare seeds.
func largeFleet() *mesh {
	w := emptyMesh(5)
	for i := range *largeSize {
		ip := fmt.Sprintf("10.%d.%d.%d", i%largeCentres, i/250, i%250)
		w.addWith(Config{Incarnation: firstStart, Self: route.Node{
			ID: core.NodeID(ip + ":7380"), DataCentre: fmt.Sprintf("hall-%c", 'a'+i%largeCentres),
			PeerAddress: ip + ":7380", CallerAddress: ip + ":8104", Weight: 192,
		}})
	}
	w.seed(w.nodes)
	return w
}

// seed lists three seeds to nodes.
func (w *mesh) seed(nodes []*node) {
	for _, n := range nodes {
		var seeds []ListedNode
		for _, seed := range w.nodes[:3] {
			if seed != n {
				seeds = append(seeds, ListedNode{Node: route.Node{ID: seed.ID, PeerAddress: seed.PeerAddress}})
			}
		}
		w.step(n, VMList{Nodes: seeds})
	}
}

// placed reports whether all nodes know all, with their data centres and addresses.
func (w *mesh) placed() bool {
	for _, n := range w.nodes {
		for _, one := range n.view.Nodes() {
			if one.CallerAddress == "" || one.DataCentre == "" {
				return false
			}
		}
	}
	return w.views(len(w.nodes), w.nodes...) == len(w.nodes)
}

// restart starts lost nodes again, as new processes at the same addresses.
func (w *mesh) restart(lost []*node) {
	w.nodes = slices.DeleteFunc(w.nodes, func(n *node) bool { return slices.Contains(lost, n) })
	for _, n := range lost {
		w.addWith(Config{Self: n.Node, Incarnation: firstStart + uint64(w.now)})
	}
	w.seed(w.nodes[len(w.nodes)-len(lost):])
}

// measure runs until a condition holds and tells how long that took and what it sent.
func (w *mesh) measure(t *testing.T, what string, condition func() bool) (took time.Duration, crossing float64) {
	bytes, before := w.bytes, w.crossing
	took = w.runUntil(time.Minute, condition)
	crossing = float64(w.crossing-before) / mega
	t.Logf("%d nodes, %s: %v, %.1f MB sent, %.1f MB of them between data centres", len(w.nodes), what, took, float64(w.bytes-bytes)/mega, crossing)
	return took, crossing
}

// Operators switch a fleet of hundreds on, with three seeds for a list. Until its nodes know each
// other, callers are sent to a few of them and many nodes take themselves for readers of the store.
// Then half of the nodes lose power, or a whole data centre, and come back as new processes. Each
// time all must agree soon, at few bytes between data centres.
//
// Grounds: callers wait 14 s at the users' for a start; the bytes are a tenth of what ten
// transmissions of each piece of news took (91 MB at the start, 46 and 70 MB for a lost half).
func TestALargeFleetFindsItselfSoon(t *testing.T) {
	w := largeFleet()
	took, crossing := w.measure(t, "start", w.placed)
	require.Less(t, took, 6*time.Second)
	require.Less(t, crossing, 10.0*float64(*largeSize*(*largeSize))/(295*295))
	w.run(settle)
	bytes, before := w.bytes, w.crossing
	w.run(settle)
	t.Logf("quiet: %.0f bytes/s a node, %.0f between data centres", float64(w.bytes-bytes)/settle.Seconds()/float64(*largeSize), float64(w.crossing-before)/settle.Seconds()/float64(*largeSize))
	for _, loss := range []struct {
		what string
		lost func(i int, n *node) bool
		most time.Duration
	}{
		{"half lost", func(i int, _ *node) bool { return i%2 == 0 }, 25 * time.Second},
		{"a data centre lost", func(_ int, n *node) bool { return n.DataCentre == "hall-b" }, 15 * time.Second},
	} {
		var lost, rest []*node
		for i, n := range w.nodes {
			n.stopped = loss.lost(i, n)
			if n.stopped {
				lost = append(lost, n)
				continue
			}
			rest = append(rest, n)
		}
		took, _ = w.measure(t, loss.what, w.all(len(rest), rest))
		require.Less(t, took, loss.most)
		require.Equal(t, len(rest), w.views(len(rest), rest...), "nobody else is taken for lost")
		w.restart(lost)
		took, _ = w.measure(t, "started again", w.placed)
		require.Less(t, took, 10*time.Second)
		w.run(settle)
	}
}

// A node of a small fleet loses every second message on its way to it, and another comes back as a new
// process with another address for callers. News is told behind the place that was confirmed last, so
// that it arrives all the same.
func TestNewsThatIsLostOnceIsToldAgain(t *testing.T) {
	w := emptyMesh(9)
	for i := range 12 {
		w.addWith(Config{Self: place(i), Incarnation: firstStart})
	}
	w.seed(w.nodes)
	require.Less(t, w.runUntil(time.Minute, w.placed), 10*time.Second)
	loser, moved, odd := w.nodes[3], w.nodes[6], false
	w.blocked = func(_, to *node) bool {
		odd = to == loser && !odd
		return odd
	}
	moved.stopped = true
	moved.CallerAddress = "10.9.9.9:7001"
	w.restart([]*node{moved})
	require.Less(t, w.runUntil(time.Minute, func() bool {
		known, ok := loser.view.Node(moved.ID)
		return ok && known.CallerAddress == moved.CallerAddress
	}), 10*time.Second)
}
