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

const catalogText = "version: 1\nindexes: [a]\ngroups:\n  - {name: s, services: 100, shards: 30, replicas: 2, index: a, data_centres: [dc0, dc1, dc2, dc3], first_address: \"10.0.0.1:80\"}\n"

func viewOf(nodes int) *route.View {
	var list []route.Node
	for i := range nodes {
		list = append(list, route.Node{ID: core.NodeID(fmt.Sprintf("vm-%03d", i)), DataCentre: fmt.Sprintf("dc%d", i%4)})
	}
	return route.NewView(list)
}

func nothingDrains(string) bool { return false }

// Each replica must be watched by exactly one node: without one its failure would go unnoticed, and
// several would multiply the probes.
func TestEachReplicaIsWatchedByOneNode(t *testing.T) {
	cat, err := catalog.Parse([]byte(catalogText))
	require.NoError(t, err)
	view := viewOf(8)
	table := newOwnerTable()
	table.update(cat, view)
	watched := map[string]int{}
	for _, node := range view.Nodes() {
		for _, target := range table.targets(cat, node.ID, nothingDrains) {
			watched[target.Address]++
		}
	}
	require.Len(t, watched, 6000)
	for address, count := range watched {
		require.Equal(t, 1, count, address)
	}
}

// Nodes come and go. The incrementally updated owners must equal those that the view ranks first,
// or a replica would be watched by the wrong node.
func TestIncrementallyUpdatedOwnersMatchTheView(t *testing.T) {
	cat, err := catalog.Parse([]byte(catalogText))
	require.NoError(t, err)
	table := newOwnerTable()
	random := rand.New(rand.NewPCG(1, 2))
	for range 30 {
		var live []route.Node
		for _, node := range viewOf(24).Nodes() {
			if random.IntN(4) > 0 {
				live = append(live, node)
			}
		}
		view := route.NewView(live)
		table.update(cat, view)
		for _, bundle := range cat.Bundles {
			want, ok := view.Rank(bundle.ID, bundle.DataCentre, 0)
			require.True(t, ok)
			require.Equal(t, want.ID, table.owners[ownerKey{bundle.ID, bundle.DataCentre}].ID)
		}
	}
	table.update(cat, route.NewView(nil))
	require.Empty(t, table.owners)
}

// BenchmarkOwners measures the replacement of one node among 780 with 6,000 replicas: with an
// incremental update ("carried") and with all owners chosen again ("anew").
func BenchmarkOwners(b *testing.B) {
	cat, err := catalog.Parse([]byte(catalogText))
	require.NoError(b, err)
	before := viewOf(780)
	after := route.NewView(before.Nodes()[1:])
	b.Run("carried", func(b *testing.B) {
		table := newOwnerTable()
		table.update(cat, before)
		for b.Loop() {
			table.update(cat, after)
			table.update(cat, before)
		}
	})
	b.Run("anew", func(b *testing.B) {
		for b.Loop() {
			newOwnerTable().update(cat, after)
			newOwnerTable().update(cat, before)
		}
	})
}
