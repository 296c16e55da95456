package edge

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/mirror"
)

// nodesIn are so many nodes, dealt out to data centres in turn.
func nodesIn(count, dataCentres int) []route.Node {
	var nodes []route.Node
	for i := range count {
		id := fmt.Sprintf("10.0.0.%d:7380", i)
		nodes = append(nodes, route.Node{ID: core.NodeID(id), PeerAddress: id, DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	return nodes
}

// A configuration of 40 KB changes in a fleet of 100 nodes in four data centres. Were each
// node to read from anywhere, three quarters of 4 MB would cross between data centres.
func TestChangesCrossBetweenDataCentresFewTimes(t *testing.T) {
	nodes := nodesIn(100, 4)
	view := route.NewView(nodes)
	readers, crossing := 0, 0
	followers := map[core.NodeID]int{}
	for _, self := range nodes {
		targets, role := sources(view, self, 3, 0)
		require.NotEmpty(t, targets)
		if role == mirror.Reader {
			readers++
			continue
		}
		first, ok := view.Node(targets[0].Node)
		require.True(t, ok)
		require.NotEqual(t, self.ID, first.ID)
		followers[first.ID]++
		if first.DataCentre != self.DataCentre {
			crossing++
		}
	}
	require.Equal(t, 3, readers)
	require.LessOrEqual(t, crossing, 4*headsPerDataCentre)
	for id, count := range followers {
		require.Less(t, count, 20, "followers of %s", id)
	}
}

// The store turns away the readers and a data centre's heads. A node that it turns away too must in turn reach
// all others of its data centre, behind those that it always asks, or it learns of no change.
func TestFurtherNodesAreAskedInTurnBehindTheOthers(t *testing.T) {
	nodes := nodesIn(24, 2)
	view := route.NewView(nodes)
	for _, self := range nodes {
		first, _ := sources(view, self, 3, 0)
		usual := first[:len(first)-1]
		reached := map[core.NodeID]bool{}
		for turn := range uint64(len(nodes)) {
			targets, _ := sources(view, self, 3, turn)
			require.Equal(t, usual, targets[:len(targets)-1])
			last := targets[len(targets)-1]
			require.NotEqual(t, self.ID, last.Node)
			reached[last.Node] = true
		}
		for _, one := range usual {
			reached[one.Node] = true
		}
		for _, one := range nodes {
			require.True(t, reached[one.ID] || one.ID == self.ID || one.DataCentre != self.DataCentre)
		}
	}
}

func TestALoneNodeReadsTheStore(t *testing.T) {
	self := route.Node{ID: "a", PeerAddress: "a", DataCentre: "dc"}
	targets, role := sources(route.NewView([]route.Node{self}), self, 3, 0)
	require.Empty(t, targets)
	require.Equal(t, mirror.Reader, role)
}

// All nodes lose power and start again. The replicas still count the former connections:
// were these more than half of the limit, the new ones would be reset for many seconds.
func TestConnectionsOfAllNodesLeaveRoomForTheirSuccessors(t *testing.T) {
	for _, one := range []struct{ limit, nodes, near int }{{26, 7, 2}, {26, 8, 3}, {26, 7, 1}, {60, 8, 2}, {100, 7, 2}, {520, 8, 2}} {
		sum := one.near*outlook.ConnectionsPerNode(one.limit, one.nodes, one.near, true) + (one.nodes-one.near)*outlook.ConnectionsPerNode(one.limit, one.nodes, one.near, false)
		require.LessOrEqual(t, 2*sum, one.limit, "%+v", one)
	}
}
