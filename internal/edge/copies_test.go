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

// nodesIn returns the given number of nodes, spread evenly over data centres.
func nodesIn(count, dataCentres int) []route.Node {
	var nodes []route.Node
	for i := range count {
		id := fmt.Sprintf("10.0.0.%d:7380", i)
		nodes = append(nodes, route.Node{ID: core.NodeID(id), PeerAddress: id, DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	return nodes
}

// Guards against excessive traffic between data centres. If each of 100 nodes in four data centres read a
// changed configuration of 40 KB from any node, three quarters of 4 MB would cross between data centres.
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

// Guards against a node that learns of no change because the store refuses it, the readers and the heads of
// its data centre. Its last source must rotate over all other nodes of the data centre.
func TestTheLastSourceRotatesOverTheOtherNodes(t *testing.T) {
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
		for _, target := range usual {
			reached[target.Node] = true
		}
		for _, node := range nodes {
			require.True(t, reached[node.ID] || node.ID == self.ID || node.DataCentre != self.DataCentre)
		}
	}
}

func TestALoneNodeReadsTheStore(t *testing.T) {
	self := route.Node{ID: "a", PeerAddress: "a", DataCentre: "dc"}
	targets, role := sources(route.NewView([]route.Node{self}), self, 3, 0)
	require.Empty(t, targets)
	require.Equal(t, mirror.Reader, role)
}

// Guards against reset connections after all nodes lose power and restart: the replicas still count the
// former connections. If these were more than half of the limit, new ones would be reset for many seconds.
func TestConnectionsOfAllNodesLeaveRoomForTheirSuccessors(t *testing.T) {
	for _, test := range []struct{ limit, nodes, near int }{{26, 7, 2}, {26, 8, 3}, {26, 7, 1}, {60, 8, 2}, {100, 7, 2}, {520, 8, 2}} {
		sum := test.near*outlook.ConnectionsPerNode(test.limit, test.nodes, test.near, true) + (test.nodes-test.near)*outlook.ConnectionsPerNode(test.limit, test.nodes, test.near, false)
		require.LessOrEqual(t, 2*sum, test.limit, "%+v", test)
	}
}
