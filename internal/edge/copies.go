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
	// readerOrderKey is the hash key of the order in which nodes are chosen to read the store.
	readerOrderKey = core.BundleID(0)
	// headsPerDataCentre is the number of nodes of a data centre that follow the readers. The other nodes
	// there follow these heads, so that a change crosses between data centres once for each head and not once
	// for each node.
	headsPerDataCentre = 2
	// fallbackReaders is the number of readers that a follower lists after the heads.
	fallbackReaders = 2
)

// copySources lists the nodes whose copies of the store this node reads.
type copySources struct {
	node *Node
	// rotation counts the lists returned so far.
	rotation *atomic.Uint64
	mirror.PeerClient
}

// Sources implements mirror.Peers. Readers and heads follow from one hashed order of the live nodes, so that
// nodes with the same view agree on them.
func (c copySources) Sources(readers int) ([]peer.Target, mirror.Role) {
	return sources(c.node.view(), c.node.views.Self(), readers, c.rotation.Add(1))
}

// sources lists readers and heads, followed by one further node of the data centre, a different one with each
// rotation.
//
// The further node guards against this failure: the store refuses a third of the nodes, among them most
// readers and the heads of a data centre. Followers that the store still serves read it themselves, but the
// others have no source with newer data and keep an outdated configuration. The further node is read only if
// all other sources are stale, and most nodes of the data centre have the store's data.
func sources(view *route.View, self route.Node, readers int, rotation uint64) ([]peer.Target, mirror.Role) {
	all := view.Order(readerOrderKey, "")
	readerNodes := all[:min(readers, len(all))]
	// The nodes of a data centre keep the order of the whole list, so that one sort is enough.
	local := slices.DeleteFunc(slices.Clone(all), func(node route.Node) bool { return node.DataCentre != self.DataCentre })
	heads := headsOf(local, readerNodes)
	isSelf := func(node route.Node) bool { return node.ID == self.ID }
	role := mirror.Other
	switch {
	case slices.ContainsFunc(readerNodes, isSelf):
		role = mirror.Reader
	case slices.ContainsFunc(heads, isSelf):
		role = mirror.Head
	}
	var order []route.Node
	if role != mirror.Other {
		order = append(order, readerNodes...)
		order = append(order, heads...)
	} else {
		// The followers of a data centre are spread over its heads.
		if len(heads) > 0 {
			first := int(xxhash.Sum64String(string(self.ID)) % uint64(len(heads)))
			heads = append(slices.Clone(heads[first:]), heads[:first]...)
		}
		order = append(order, heads...)
		order = append(order, readerNodes[:min(fallbackReaders, len(readerNodes))]...)
	}
	unlisted := slices.DeleteFunc(local, func(node route.Node) bool { return isSelf(node) || slices.Contains(order, node) })
	if len(unlisted) > 0 {
		order = append(order, unlisted[rotation%uint64(len(unlisted))])
	}
	var targets []peer.Target
	for _, node := range order {
		target := peer.Target{Node: node.ID, Address: node.PeerAddress}
		if !isSelf(node) && !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	return targets, role
}

// headsOf returns the heads of a data centre, whose nodes are given in their hashed order. Nodes that are
// readers themselves come first.
func headsOf(local, readerNodes []route.Node) []route.Node {
	var heads []route.Node
	for _, node := range readerNodes {
		if slices.Contains(local, node) {
			heads = append(heads, node)
		}
	}
	for _, node := range local {
		if len(heads) >= headsPerDataCentre {
			break
		}
		if !slices.Contains(heads, node) {
			heads = append(heads, node)
		}
	}
	return heads
}
