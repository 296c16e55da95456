package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

func TestFirstAgreesWithTheView(t *testing.T) {
	var nodes []Node
	for i := range 6 {
		nodes = append(nodes, Node{ID: core.NodeID(fmt.Sprintf("vm-%d", i)), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	view := NewView(nodes)
	for bundle := range core.BundleID(200) {
		first := nodes[0]
		for _, node := range nodes[1:] {
			first = First(first, node, bundle, "dc1")
		}
		owner, ok := view.Rank(bundle, "dc1", 0)
		require.True(t, ok)
		require.Equal(t, owner, first)
	}
}
