package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// In a fleet of hundreds every node gets a request now and then. If each spread its sends over
// all entries, every entry would hold a link to every node.
func TestANodeThatIsNoEntryKeepsToOneHelper(t *testing.T) {
	nodes := []peer.Target{{Node: "a"}, {Node: "b"}, {Node: "c"}}
	first := map[core.NodeID]bool{}
	for turn := range uint64(9) {
		h := helpers{turn: turn}
		begin, ok := h.choose(nodes, false, 0)
		require.True(t, ok)
		for range 5 {
			again, _ := h.choose(nodes, false, 0)
			require.Equal(t, begin, again)
		}
		first[begin.Node] = true
		h.avoid(begin.Node, 0)
		other, ok := h.choose(nodes, false, helperAvoid/2)
		require.True(t, ok)
		require.NotEqual(t, begin, other, "one that was not heard is left for a while")
		back, _ := h.choose(nodes, false, helperAvoid+time.Millisecond)
		require.Equal(t, begin, back)
	}
	require.Len(t, first, 3, "other nodes keep to other ones")
	seen := map[core.NodeID]int{}
	h := helpers{}
	for range 9 {
		one, _ := h.choose(nodes, true, 0)
		seen[one.Node]++
	}
	require.Equal(t, map[core.NodeID]int{"a": 3, "b": 3, "c": 3}, seen, "an entry takes them in turn")
}
