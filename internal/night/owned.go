package night

import (
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/night"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// place is what the owner of a bundle is chosen by, besides the view.
type place struct {
	bundle     core.BundleID
	dataCentre string
}

// owners knows the owner of each bundle. A change costs in proportion to the
// bundles and to the nodes that came or went: choosing all owners anew would
// cost bundles times nodes with each VM that is replaced.
type owners struct {
	view   *route.View
	owners map[place]route.Node
}

func newOwners() *owners {
	return &owners{view: route.NewView(nil), owners: map[place]route.Node{}}
}

// update takes up a text and a view. Bundles that were known keep their owner,
// unless it went or a node that came precedes it.
func (o *owners) update(text *catalog.Catalog, view *route.View) {
	came := difference(view, o.view)
	known := o.owners
	o.owners = make(map[place]route.Node, len(text.Bundles))
	o.view = view
	for _, bundle := range text.Bundles {
		at := place{bundle.ID, bundle.DataCentre}
		owner, ok := known[at]
		if now, live := view.Node(owner.ID); !ok || !live || now.DataCentre != owner.DataCentre {
			owner, ok = view.Rank(at.bundle, at.dataCentre, 0)
			if ok {
				o.owners[at] = owner
			}
			continue
		}
		for _, candidate := range came {
			owner = route.First(owner, candidate, at.bundle, at.dataCentre)
		}
		o.owners[at] = owner
	}
}

// difference lists the nodes of one view that the other lacks.
func difference(view, other *route.View) []route.Node {
	var list []route.Node
	for _, node := range view.Nodes() {
		known, ok := other.Node(node.ID)
		if !ok || known.DataCentre != node.DataCentre {
			list = append(list, node)
		}
	}
	return list
}

// targets lists the replicas of the node's bundles, in the order of the text.
func (o *owners) targets(text *catalog.Catalog, self core.NodeID) []night.Target {
	var list []night.Target
	for _, name := range text.ServiceNames {
		for _, shard := range text.Services[name].Shards {
			bundle := text.Bundles[shard.Bundle]
			if o.owners[place{bundle.ID, bundle.DataCentre}].ID != self {
				continue
			}
			for _, replica := range shard.Replicas {
				if !replica.Draining {
					list = append(list, night.Target{Ref: shard.Ref, Address: replica.Address})
				}
			}
		}
	}
	return list
}
