package catalog

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Bundle is a group of shards that have one owner and are queried together.
// DataCentre is the data centre with the most replicas of the bundle.
type Bundle struct {
	ID         core.BundleID
	DataCentre string
	Shards     []core.ShardRef
}

// makeBundles groups shards that are queried together: shards of services with
// the same index, dependencies and dependents, in the order of the text. The
// hash of the next shard's name decides where a bundle ends, between half and
// one and a half times BundleSize. Boundaries thus depend on names, not on
// counts: an added service changes the bundle around it and those up to the
// next boundary common to both texts; all later bundles stay the same.
func (c *Catalog) makeBundles() {
	c.Bundles = map[core.BundleID]*Bundle{}
	dependents := c.dependents()
	current := map[string]*Bundle{}
	for _, name := range c.ServiceNames {
		service := c.Services[name]
		affinity := affinityKey(service, dependents[name])
		for i := range service.Shards {
			shard := &service.Shards[i]
			bundle := current[affinity]
			if bundle == nil || c.isCompleteBefore(bundle, shard.Ref) {
				bundle = c.newBundle(shard.Ref)
				current[affinity] = bundle
			}
			bundle.Shards = append(bundle.Shards, shard.Ref)
			shard.Bundle = bundle.ID
		}
	}
	for _, bundle := range c.Bundles {
		bundle.DataCentre = c.mainDataCentre(bundle)
	}
}

// isCompleteBefore reports whether the bundle ends before the next shard.
func (c *Catalog) isCompleteBefore(bundle *Bundle, next core.ShardRef) bool {
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

// newBundle creates a bundle whose id is derived from its first shard's name.
func (c *Catalog) newBundle(first core.ShardRef) *Bundle {
	id := bundleID(first.String())
	for c.Bundles[id] != nil {
		id++
	}
	bundle := &Bundle{ID: id}
	c.Bundles[id] = bundle
	return bundle
}

// dependents maps each service to the services that depend on it, in the order
// of the text.
func (c *Catalog) dependents() map[string][]string {
	dependents := make(map[string][]string, len(c.ServiceNames))
	for _, name := range c.ServiceNames {
		for _, dependency := range c.Services[name].DependsOn {
			dependents[dependency] = append(dependents[dependency], name)
		}
	}
	return dependents
}

// mainDataCentre returns the data centre with the most replicas of a bundle. A
// tie goes to the first by name, so that all nodes agree.
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

// bundleID derives the id of a bundle from the name of its first shard.
func bundleID(name string) core.BundleID {
	return core.BundleID(xxhash.Sum64String(name))
}

// affinityKey returns a key that is equal for services whose shards are queried
// together.
func affinityKey(service *Service, dependents []string) string {
	parts := []string{service.Index, strings.Join(service.DependsOn, ","), strings.Join(dependents, ",")}
	return strings.Join(parts, "|")
}
