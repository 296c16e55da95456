package edge

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/mirror"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

const (
	// mirrorKey is what the nodes' order for reading the store is hashed from.
	mirrorKey = core.BundleID(0)
	// headsPerDataCentre is the number of nodes of a data centre that follow the
	// readers; the others there follow these, so that a change crosses between data
	// centres so many times, and not once for each node.
	headsPerDataCentre = 2
	// spareSources is how many readers are tried behind the heads.
	spareSources = 2
)

// copies names the nodes whose copies of the store can be read.
type copies struct {
	node *Node
	// turn counts the lists that were made.
	turn *atomic.Uint64
	mirror.PeerClient
}

// Sources implements mirror.Peers. Readers and heads follow from one hashed order of the
// live nodes, so that nodes with the same view agree on them.
func (c copies) Sources(readers int) ([]peer.Target, mirror.Role) {
	return sources(c.node.view(), c.node.views.Self(), readers, c.turn.Add(1))
}

// sources lists readers and heads, and behind them one further node of the data centre, each turn another.
//
// The failure: the store turns a third of the nodes away, among them most readers and the heads of a data
// centre. Their followers that the store serves read it themselves; the others would have nobody to ask who
// knows more, and go on with an outdated configuration. The further node
// is asked only when all others are stale; most such nodes have what the store gives.
func sources(view *route.View, self route.Node, readers int, turn uint64) ([]peer.Target, mirror.Role) {
	all := view.Order(mirrorKey, "")
	reading := all[:min(readers, len(all))]
	// Sorted once: a data centre's nodes stand in the same order among all.
	near := slices.DeleteFunc(slices.Clone(all), func(one route.Node) bool { return one.DataCentre != self.DataCentre })
	heads := headsOf(near, reading)
	same := func(one route.Node) bool { return one.ID == self.ID }
	role := mirror.Other
	switch {
	case slices.ContainsFunc(reading, same):
		role = mirror.Reader
	case slices.ContainsFunc(heads, same):
		role = mirror.Head
	}
	var order []route.Node
	if role != mirror.Other {
		order = append(order, reading...)
		order = append(order, heads...)
	} else {
		// The followers of a data centre share its heads out among them.
		if len(heads) > 0 {
			turn := int(xxhash.Sum64String(string(self.ID)) % uint64(len(heads)))
			heads = append(slices.Clone(heads[turn:]), heads[:turn]...)
		}
		order = append(order, heads...)
		order = append(order, reading[:min(spareSources, len(reading))]...)
	}
	further := slices.DeleteFunc(near, func(one route.Node) bool { return same(one) || slices.Contains(order, one) })
	if len(further) > 0 {
		order = append(order, further[turn%uint64(len(further))])
	}
	var targets []peer.Target
	for _, one := range order {
		target := peer.Target{Node: one.ID, Address: one.PeerAddress}
		if !same(one) && !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	return targets, role
}

// headsOf lists those of a data centre's nodes, given in their order, that follow the readers; those that
// are readers themselves come first.
func headsOf(near, reading []route.Node) []route.Node {
	var heads []route.Node
	for _, one := range reading {
		if slices.Contains(near, one) {
			heads = append(heads, one)
		}
	}
	for _, one := range near {
		if len(heads) >= headsPerDataCentre {
			break
		}
		if !slices.Contains(heads, one) {
			heads = append(heads, one)
		}
	}
	return heads
}
