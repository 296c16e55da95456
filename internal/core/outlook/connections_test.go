package outlook

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// connectionsOfAll sums the connections that the nodes of one view may hold to a replica, apart from requests that reach
// nodes which are no entries.
func connectionsOfAll(limit, entries, near int) int {
	share := ConnectionShare{Limit: limit, Entries: entries, NearEntries: near, IsEntry: true}
	sum := (entries - near) * share.Connections()
	share.IsNear = true
	return sum + near*share.Connections()
}

// A fleet is split, and each side takes the other one for lost: both give out the whole share. Together they must stay
// within the limit, or the replica resets connections of both.
func TestTwoViewsTogetherStayWithinTheLimit(t *testing.T) {
	for _, limit := range []int{26, 65, 88, 580, 732} {
		for entries := 1; entries <= 12; entries++ {
			for near := range entries + 1 {
				require.LessOrEqual(t, 2*connectionsOfAll(limit, entries, near), max(limit, 2*entries), "limit %d, %d entries, %d near", limit, entries, near)
			}
		}
	}
}

// After a loss of power each node knows itself alone and would take the whole share for its own.
func TestANodeThatKnowsNoOthersTakesASmallShare(t *testing.T) {
	alone := ConnectionShare{Limit: 65, Entries: 1, NearEntries: 1, IsEntry: true, IsNear: true}
	require.Equal(t, 29, alone.Connections())
	alone.ViewIncomplete = true
	require.Equal(t, 3, alone.Connections())
	require.LessOrEqual(t, assumedEntries*alone.Connections(), 29)
}

// With a hundred nodes that callers are not sent to, an entry's share for each would be several times the limit.
func TestANodeThatIsNoEntryHoldsOneConnection(t *testing.T) {
	for _, near := range []bool{false, true} {
		require.Equal(t, 1, ConnectionShare{Limit: 732, Entries: 6, NearEntries: 2, IsNear: near}.Connections())
	}
}
