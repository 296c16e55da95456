package night

import (
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/night"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// ownerKey is what the owner of a bundle depends on besides the view.
type ownerKey struct {
	bundle     core.BundleID
	dataCentre string
}

// ownerTable holds the owner of each bundle. An update costs time in proportion to the bundles
// and to the nodes that came or went. Choosing all owners again would cost bundles times nodes
// for each VM that is replaced.
type ownerTable struct {
	view   *route.View
	owners map[ownerKey]route.Node
}

func newOwnerTable() *ownerTable {
	return &ownerTable{view: route.NewView(nil), owners: map[ownerKey]route.Node{}}
}

// update adopts a configuration and a view. Known bundles keep their owner unless it is gone or
// moved, or an added node ranks higher.
func (o *ownerTable) update(cat *catalog.Catalog, view *route.View) {
	added := addedNodes(view, o.view)
	previous := o.owners
	o.owners = make(map[ownerKey]route.Node, len(cat.Bundles))
	o.view = view
	for _, bundle := range cat.Bundles {
		key := ownerKey{bundle.ID, bundle.DataCentre}
		owner, ok := previous[key]
		if current, live := view.Node(owner.ID); !ok || !live || current.DataCentre != owner.DataCentre {
			owner, ok = view.Rank(key.bundle, key.dataCentre, 0)
			if ok {
				o.owners[key] = owner
			}
			continue
		}
		for _, candidate := range added {
			owner = route.First(owner, candidate, key.bundle, key.dataCentre)
		}
		o.owners[key] = owner
	}
}

// addedNodes lists the nodes of a view that the other view lacks or has in another data centre.
func addedNodes(view, other *route.View) []route.Node {
	var list []route.Node
	for _, node := range view.Nodes() {
		former, ok := other.Node(node.ID)
		if !ok || former.DataCentre != node.DataCentre {
			list = append(list, node)
		}
	}
	return list
}

// targets lists the replicas of the node's bundles that do not drain, in the order of the configuration. draining reports
// whether any node has seen an address draining.
func (o *ownerTable) targets(cat *catalog.Catalog, self core.NodeID, draining func(address string) bool) []night.Target {
	var list []night.Target
	for _, name := range cat.ServiceNames {
		for _, shard := range cat.Services[name].Shards {
			bundle := cat.Bundles[shard.Bundle]
			if o.owners[ownerKey{bundle.ID, bundle.DataCentre}].ID != self {
				continue
			}
			for _, replica := range shard.Replicas {
				if !replica.Draining && !draining(replica.Address) {
					list = append(list, night.Target{Ref: shard.Ref, Address: replica.Address})
				}
			}
		}
	}
	return list
}
