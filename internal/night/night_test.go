package night

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

const fleetText = "version: 1\nindexes: [a]\ngroups:\n  - {name: s, services: 100, shards: 30, replicas: 2, index: a, data_centres: [dc0, dc1, dc2, dc3], first_address: \"10.0.0.1:80\"}\n"

func fleetOf(nodes int) *route.View {
	var list []route.Node
	for i := range nodes {
		list = append(list, route.Node{ID: core.NodeID(fmt.Sprintf("vm-%03d", i)), DataCentre: fmt.Sprintf("dc%d", i%4)})
	}
	return route.NewView(list)
}

// Each replica must be watched by one node and no more: none would leave it
// unseen, and several would multiply the probes.
func TestEachReplicaIsWatchedByOneNode(t *testing.T) {
	text, err := catalog.Parse([]byte(fleetText))
	require.NoError(t, err)
	view := fleetOf(8)
	known := newOwners()
	known.update(text, view)
	watched := map[string]int{}
	for _, node := range view.Nodes() {
		for _, target := range known.targets(text, node.ID) {
			watched[target.Address]++
		}
	}
	require.Len(t, watched, 6000)
	for address, count := range watched {
		require.Equal(t, 1, count, address)
	}
}

// VMs come and go for a day. The owners that are carried along must stay those
// that the view itself names, or a replica would be watched by the wrong node.
func TestOwnersCarriedAlongAreThoseOfTheView(t *testing.T) {
	text, err := catalog.Parse([]byte(fleetText))
	require.NoError(t, err)
	known := newOwners()
	random := rand.New(rand.NewPCG(1, 2))
	for range 30 {
		var live []route.Node
		for _, node := range fleetOf(24).Nodes() {
			if random.IntN(4) > 0 {
				live = append(live, node)
			}
		}
		view := route.NewView(live)
		known.update(text, view)
		for _, bundle := range text.Bundles {
			want, ok := view.Rank(bundle.ID, bundle.DataCentre, 0)
			require.True(t, ok)
			require.Equal(t, want.ID, known.owners[place{bundle.ID, bundle.DataCentre}].ID)
		}
	}
	known.update(text, route.NewView(nil))
	require.Empty(t, known.owners)
}

// BenchmarkOwners takes up one replaced VM in a fleet of 780 with 6,000 replicas:
// carried along, and all chosen anew.
func BenchmarkOwners(b *testing.B) {
	text, err := catalog.Parse([]byte(fleetText))
	require.NoError(b, err)
	before := fleetOf(780)
	after := route.NewView(before.Nodes()[1:])
	b.Run("carried", func(b *testing.B) {
		known := newOwners()
		known.update(text, before)
		for b.Loop() {
			known.update(text, after)
			known.update(text, before)
		}
	})
	b.Run("anew", func(b *testing.B) {
		for b.Loop() {
			newOwners().update(text, after)
			newOwners().update(text, before)
		}
	})
}
