package spread

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

func named(kind string, count int) []core.NodeID {
	var ids []core.NodeID
	for i := range count {
		ids = append(ids, core.NodeID(fmt.Sprintf("%s-%d:7380", kind, i)))
	}
	return ids
}

func services(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("shard~%d", i))
	}
	return names
}

// A question of a large deployment: 90 of its 180 shards have a replica in the data centre, which has
// 49 idle nodes of a fifth of a core beside the strong ones. Sent by one node of 0.8 cores they take it
// 22 ms; shared, no helper may need as long as that.
func TestALargeQuestionTakesNoHelperLong(t *testing.T) {
	const parts, weak, strong = 90, 192, 800
	require.GreaterOrEqual(t, parts, From(strong))
	team := NewTeam(named("weak", 49))
	require.Len(t, team.Groups, 16)
	seen := 0
	for place, share := range team.Shares(services(parts)) {
		seen += len(share)
		require.LessOrEqual(t, len(share), From(weak)+2, "group %d", place)
	}
	require.Equal(t, parts, seen)
	require.LessOrEqual(t, team.Holders(), 10, "few nodes hold connections to a replica")
}

// The deployments of 20 to 30 shards on nodes of 0.4 cores stay as they are: sharing would cost them
// more than it saves.
func TestSmallQuestionsAreSentByOneNode(t *testing.T) {
	require.Less(t, 20, From(400))
	require.Zero(t, From(0))
}

// Nodes of a tenth of a core, four in each data centre, and nobody idle: all share alike, the node
// that was asked too.
func TestFewNodesShareEvenly(t *testing.T) {
	team := NewTeam(named("node", 3))
	shares := team.Shares(services(90))
	require.Len(t, shares, 4)
	for _, share := range shares {
		require.InDelta(t, 90/4, len(share), 1)
	}
	require.Equal(t, 4, team.Holders())
	require.Equal(t, [][]int{{0, 1}}, NewTeam(nil).Shares(services(2)), "a node alone keeps all")
}

// One of 49 helpers restarts. The others must keep their replicas, or hundreds of connections are
// opened for each restart.
func TestALostHelperMovesOnlyItsOwnGroup(t *testing.T) {
	all := named("weak", 49)
	before, after := NewTeam(all), NewTeam(append(all[:20:20], all[21:]...))
	changed := 0
	for i := range before.Groups {
		if len(before.Groups[i]) != len(after.Groups[i]) {
			changed++
		}
	}
	require.Equal(t, 1, changed)
}
