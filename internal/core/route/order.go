package route

import (
	"sort"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Order returns all nodes in the rendezvous order of a key, those of the data
// centre first. The slice is the caller's.
func (v *View) Order(key core.BundleID, dataCentre string) []Node {
	seed := core.Mix64(uint64(key))
	places := make([]int, len(v.nodes))
	for i := range places {
		places[i] = i
	}
	sort.Slice(places, func(i, j int) bool {
		a, b := places[i], places[j]
		localA, localB := v.nodes[a].DataCentre == dataCentre, v.nodes[b].DataCentre == dataCentre
		if localA != localB {
			return localA
		}
		return before(core.Mix64(v.hashes[a]^seed), a, core.Mix64(v.hashes[b]^seed), b)
	})
	ordered := make([]Node, 0, len(places))
	for _, i := range places {
		ordered = append(ordered, v.nodes[i])
	}
	return ordered
}
