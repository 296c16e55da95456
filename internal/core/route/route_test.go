package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

func testView(nodes int) *View {
	var list []Node
	for i := range nodes {
		list = append(list, Node{ID: core.NodeID(fmt.Sprintf("vm-%03d", i)), DataCentre: fmt.Sprintf("dc%d", i%4+1)})
	}
	return NewView(list)
}

func TestRankOrdersEveryNodeOnceAndItsDataCentreFirst(t *testing.T) {
	view := testView(16)
	for bundle := range core.BundleID(50) {
		seen := map[core.NodeID]bool{}
		for rank := range 16 {
			node, ok := view.Rank(bundle, "dc2", rank)
			require.True(t, ok)
			require.Equal(t, rank < 4, node.DataCentre == "dc2")
			seen[node.ID] = true
			if rank > 0 {
				previous, _ := view.Rank(bundle, "dc2", rank-1)
				require.Equal(t, previous, First(node, previous, bundle, "dc2"))
			}
			require.Equal(t, node, view.Order(bundle, "dc2")[rank])
			require.Equal(t, rank, view.RankOf(bundle, "dc2", node))
		}
		require.Len(t, seen, 16)
		_, ok := view.Rank(bundle, "dc2", 16)
		require.False(t, ok)
	}
}

// When a node is lost, only the bundles that it owned may move, each to the node that was next in its order.
func TestALostNodeMovesOnlyItsOwnBundles(t *testing.T) {
	before := testView(16)
	lost := before.Nodes()[6].ID
	var rest []Node
	for _, node := range before.Nodes() {
		if node.ID != lost {
			rest = append(rest, node)
		}
	}
	after := NewView(rest)
	for bundle := range core.BundleID(600) {
		owner, _ := before.Rank(bundle, "dc1", 0)
		if owner.ID == lost {
			owner, _ = before.Rank(bundle, "dc1", 1)
		}
		now, _ := after.Rank(bundle, "dc1", 0)
		require.Equal(t, owner, now)
	}
}

func TestBundlesAreSpreadEvenly(t *testing.T) {
	view := testView(8)
	counts := map[core.NodeID]int{}
	const bundles = 8000
	for bundle := range core.BundleID(bundles) {
		node, _ := view.Rank(bundle, "", 0)
		counts[node.ID]++
	}
	for id, count := range counts {
		require.InDelta(t, bundles/8, count, bundles/8*0.15, "node %s", id)
	}
}

func BenchmarkRank(b *testing.B) {
	for _, rank := range []int{0, 1, 2} {
		b.Run(fmt.Sprintf("780 nodes, rank %d", rank), func(b *testing.B) {
			view := testView(780)
			b.ReportAllocs()
			bundle := core.BundleID(0)
			for b.Loop() {
				bundle++
				view.Rank(bundle, "dc2", rank)
			}
		})
	}
}
