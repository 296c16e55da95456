package edge

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
)

// One entry of a data centre is overloaded, then all of them. The directory's answers must shift callers, first within the
// data centre and then within the region, and never be empty.
func TestDirectoryAnswersShiftCallersFromOverloadedEntries(t *testing.T) {
	n := newNode(&settings.Edge{DataCentre: "a", PeerAddress: "n", Regions: map[string]string{"a": "north", "b": "north", "c": "south"}}, io.Discard)
	n.entries.Store(&[]route.Node{
		{ID: "1", DataCentre: "a", CallerAddress: "a1"}, {ID: "2", DataCentre: "a", CallerAddress: "a2"},
		{ID: "3", DataCentre: "b", CallerAddress: "b1"}, {ID: "4", DataCentre: "c", CallerAddress: "c1"},
	})
	const answers = 200
	count := func(address string) int {
		named := 0
		for range answers {
			list := n.addresses("a")
			require.NotEmpty(t, list)
			for _, other := range list {
				if other == address {
					named++
				}
			}
		}
		return named
	}
	require.Equal(t, []string{"a1", "a2"}, n.addresses("a"))
	n.views.SetDraining([]string{"a1"})
	require.InDelta(t, answers/2, count("a1"), answers/4)
	require.Equal(t, answers, count("a2"))
	require.Zero(t, count("b1"))
	require.Equal(t, []string{"a1"}, n.relievedEntries())
	n.views.SetDraining([]string{"a1", "a2"})
	require.Equal(t, []string{"a1", "a2", "b1"}, n.addresses("a"))
	n.views.SetDraining([]string{"a1", "a2", "b1", "c1"})
	require.Equal(t, []string{"a1", "a2"}, n.addresses("a"))
	n.views.SetDraining(nil)
	require.Equal(t, []string{"a1", "a2"}, n.addresses("a"))
}
