package route

import (
	"sort"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Order returns all nodes in the rendezvous order of a key, those of the given data centre first. The caller owns
// the slice.
func (v *View) Order(key core.BundleID, dataCentre string) []Node {
	seed := core.Mix64(uint64(key))
	indexes := make([]int, len(v.nodes))
	for i := range indexes {
		indexes[i] = i
	}
	sort.Slice(indexes, func(i, j int) bool {
		a, b := indexes[i], indexes[j]
		localA, localB := v.nodes[a].DataCentre == dataCentre, v.nodes[b].DataCentre == dataCentre
		if localA != localB {
			return localA
		}
		return precedes(core.Mix64(v.hashes[a]^seed), a, core.Mix64(v.hashes[b]^seed), b)
	})
	ordered := make([]Node, 0, len(indexes))
	for _, i := range indexes {
		ordered = append(ordered, v.nodes[i])
	}
	return ordered
}
