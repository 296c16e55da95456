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

// largeSize is the size of the largest deployment so far; the target is 781:
//
//	go test ./internal/core/member -run TestALargeFleet -v -large 781
var largeSize = flag.Int("large", 295, "the fleet size of the large-fleet tests")

const (
	largeDataCentres = 6
	firstStart       = 1_790_000_000_000_000_000
	bytesPerMB       = 1e6
)

// largeFleet returns nodes in six data centres that start at once and know the addresses of three
// seeds.
func largeFleet() *network {
	w := emptyNetwork(5)
	for i := range *largeSize {
		ip := fmt.Sprintf("10.%d.%d.%d", i%largeDataCentres, i/250, i%250)
		w.addWith(Config{Incarnation: firstStart, Self: route.Node{
			ID: core.NodeID(ip + ":7380"), DataCentre: fmt.Sprintf("hall-%c", 'a'+i%largeDataCentres),
			PeerAddress: ip + ":7380", CallerAddress: ip + ":8104", Weight: 192,
		}})
	}
	w.listSeeds(w.nodes)
	return w
}

// listSeeds gives nodes the addresses of three seeds as their VM list.
func (w *network) listSeeds(nodes []*node) {
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

// complete reports whether every node knows all nodes with their data centres and addresses.
func (w *network) complete() bool {
	for _, n := range w.nodes {
		for _, known := range n.view.Nodes() {
			if known.CallerAddress == "" || known.DataCentre == "" {
				return false
			}
		}
	}
	return w.countViews(len(w.nodes), w.nodes...) == len(w.nodes)
}

// restart starts stopped nodes as new processes at the same addresses.
func (w *network) restart(lost []*node) {
	w.nodes = slices.DeleteFunc(w.nodes, func(n *node) bool { return slices.Contains(lost, n) })
	for _, n := range lost {
		w.addWith(Config{Self: n.Node, Incarnation: firstStart + uint64(w.now)})
	}
	w.listSeeds(w.nodes[len(w.nodes)-len(lost):])
}

// measure runs until a condition holds and returns how long that took and the megabytes sent
// between data centres.
func (w *network) measure(t *testing.T, name string, condition func() bool) (took time.Duration, crossing float64) {
	bytes, before := w.bytes, w.crossDataCentreBytes
	took = w.runUntil(time.Minute, condition)
	crossing = float64(w.crossDataCentreBytes-before) / bytesPerMB
	t.Logf("%d nodes, %s: %v, %.1f MB sent, %.1f MB between data centres", len(w.nodes), name, took, float64(w.bytes-bytes)/bytesPerMB, crossing)
	return took, crossing
}

// Hundreds of nodes start at once with three seeds as their VM list. Until they know each other,
// callers are sent to few of them, and many nodes take themselves for readers of the store. Then
// half of the nodes, or a whole data centre, fail and restart as new processes. Each time all nodes
// must agree soon and send few bytes between data centres.
//
// Reason for the limits: callers wait 14 s for a start at the users' sites; the bytes are a
// tenth of those of ten transmissions per update (91 MB at the start, 46 and 70 MB for the loss of
// half).
func TestALargeFleetFindsItselfSoon(t *testing.T) {
	t.Parallel()
	w := largeFleet()
	took, crossing := w.measure(t, "start", w.complete)
	require.Less(t, took, 2*time.Second)
	require.Less(t, crossing, 10.0*float64(*largeSize*(*largeSize))/(295*295))
	w.run(settle)
	bytes, before := w.bytes, w.crossDataCentreBytes
	w.run(settle)
	t.Logf("idle: %.0f bytes/s per node, %.0f between data centres", float64(w.bytes-bytes)/settle.Seconds()/float64(*largeSize), float64(w.crossDataCentreBytes-before)/settle.Seconds()/float64(*largeSize))
	for _, loss := range []struct {
		name  string
		lost  func(i int, n *node) bool
		limit time.Duration
	}{
		{"half stopped", func(i int, _ *node) bool { return i%2 == 0 }, 25 * time.Second},
		{"a data centre stopped", func(_ int, n *node) bool { return n.DataCentre == "hall-b" }, 15 * time.Second},
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
		took, _ = w.measure(t, loss.name, w.allViews(len(rest), rest))
		require.Less(t, took, loss.limit)
		require.Equal(t, len(rest), w.countViews(len(rest), rest...), "no other node is declared dead")
		w.restart(lost)
		took, _ = w.measure(t, "restarted all", w.complete)
		require.Less(t, took, 10*time.Second)
		w.run(settle)
	}
}

// Every second message to one node of a small fleet is lost while another node restarts with a new
// address for callers. Updates are sent until they are acknowledged, so that the node receives the
// new address.
func TestNewsThatIsLostOnceIsToldAgain(t *testing.T) {
	w := emptyNetwork(9)
	for i := range 12 {
		w.addWith(Config{Self: testNode(i), Incarnation: firstStart})
	}
	w.listSeeds(w.nodes)
	require.Less(t, w.runUntil(time.Minute, w.complete), 10*time.Second)
	lossyNode, moved, dropped := w.nodes[3], w.nodes[6], false
	w.blocked = func(_, to *node) bool {
		dropped = to == lossyNode && !dropped
		return dropped
	}
	moved.stopped = true
	moved.CallerAddress = "10.9.9.9:7001"
	w.restart([]*node{moved})
	require.Less(t, w.runUntil(time.Minute, func() bool {
		known, ok := lossyNode.view.Node(moved.ID)
		return ok && known.CallerAddress == moved.CallerAddress
	}), 10*time.Second)
}
