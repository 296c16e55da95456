package catalog

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Bundle is a group of shards owned and asked together. DataCentre is where
// most of its replicas are.
type Bundle struct {
	ID         core.BundleID
	DataCentre string
	Shards     []core.ShardRef
}

// makeBundles groups shards that are asked together: shards of services with
// the same index, dependencies and dependents, in the order of the text. A
// bundle ends where the hash of the next shard's name says so, within half and
// one and a half times BundleSize. So the ends follow from names, not from
// counts: a service added in the middle of a family changes the bundle around
// it and the few up to the next common end, and all later bundles stay.
func (c *Catalog) makeBundles() {
	c.Bundles = map[core.BundleID]*Bundle{}
	dependents := c.dependents()
	open := map[string]*Bundle{}
	for _, name := range c.ServiceNames {
		service := c.Services[name]
		family := familyKey(service, dependents[name])
		for i := range service.Shards {
			shard := &service.Shards[i]
			bundle := open[family]
			if bundle == nil || c.endsBefore(bundle, shard.Ref) {
				bundle = c.newBundle(shard.Ref)
				open[family] = bundle
			}
			bundle.Shards = append(bundle.Shards, shard.Ref)
			shard.Bundle = bundle.ID
		}
	}
	for _, bundle := range c.Bundles {
		bundle.DataCentre = c.mainDataCentre(bundle)
	}
}

// endsBefore reports whether the bundle is complete without the next shard.
func (c *Catalog) endsBefore(bundle *Bundle, next core.ShardRef) bool {
	half := max(1, c.Policy.BundleSize/2)
	most := c.Policy.BundleSize + c.Policy.BundleSize/2
	switch {
	case len(bundle.Shards) < half:
		return false
	case len(bundle.Shards) >= most:
		return true
	}
	return xxhash.Sum64String(next.String())%uint64(half) == 0
}

// newBundle makes a bundle whose id follows from its first shard's name.
func (c *Catalog) newBundle(first core.ShardRef) *Bundle {
	id := hashID(first.String())
	for c.Bundles[id] != nil {
		id++
	}
	bundle := &Bundle{ID: id}
	c.Bundles[id] = bundle
	return bundle
}

// dependents maps each service to those that depend on it, in the text's order.
func (c *Catalog) dependents() map[string][]string {
	dependents := make(map[string][]string, len(c.ServiceNames))
	for _, name := range c.ServiceNames {
		for _, dependency := range c.Services[name].DependsOn {
			dependents[dependency] = append(dependents[dependency], name)
		}
	}
	return dependents
}

// mainDataCentre is where most replicas of a bundle are; of equals, the first by
// name, so that all nodes agree.
func (c *Catalog) mainDataCentre(bundle *Bundle) string {
	counts := map[string]int{}
	best := ""
	for _, ref := range bundle.Shards {
		for _, replica := range c.Shard(ref).Replicas {
			counts[replica.DataCentre]++
		}
	}
	for dataCentre, count := range counts {
		if count > counts[best] || count == counts[best] && dataCentre < best {
			best = dataCentre
		}
	}
	return best
}

// hashID is the id of a bundle by the name of its first shard.
func hashID(name string) core.BundleID {
	return core.BundleID(xxhash.Sum64String(name))
}

// familyKey is equal for services whose shards are asked together.
func familyKey(service *Service, dependents []string) string {
	parts := []string{service.Index, strings.Join(service.DependsOn, ","), strings.Join(dependents, ",")}
	return strings.Join(parts, "|")
}
