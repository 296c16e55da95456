package catalog

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Difference describes the effect of a change from one text to another.
type Difference struct {
	ServicesAdded   []string           `json:"services_added"`
	ServicesRemoved []string           `json:"services_removed"`
	ServicesChanged []ServiceChange    `json:"services_changed"`
	ShardsAdded     []string           `json:"shards_added"`
	ShardsRemoved   []string           `json:"shards_removed"`
	ReplicasAdded   []ReplicaPlacement `json:"replicas_added"`
	ReplicasRemoved []ReplicaPlacement `json:"replicas_removed"`
	// DrainsBegun and DrainsEnded list replicas that are in both texts.
	DrainsBegun []ReplicaPlacement `json:"drains_begun"`
	DrainsEnded []ReplicaPlacement `json:"drains_ended"`
	// BundlesMoved lists the bundles whose shards or data centre differ,
	// including added and removed ones. Their owners may change.
	BundlesMoved []BundleChange  `json:"bundles_moved"`
	BundlesKept  int             `json:"bundles_kept"`
	Customers    []SettingChange `json:"customers_changed"`
	Policy       []SettingChange `json:"policy_changed"`
}

// ServiceChange is a service that is in both texts with different settings.
type ServiceChange struct {
	Service  string          `json:"service"`
	Settings []SettingChange `json:"settings"`
}

// SettingChange is a setting with its value before and after, as text. The value
// is empty on the side that does not list the customer.
type SettingChange struct {
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// ReplicaPlacement is a replica and the shard that it serves.
type ReplicaPlacement struct {
	Shard      string `json:"shard"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// BundleChange lists a bundle's shards before and after.
type BundleChange struct {
	Bundle core.BundleID `json:"bundle"`
	Before []string      `json:"before"`
	After  []string      `json:"after"`
}

// Empty reports whether the two texts are equivalent.
func (d *Difference) Empty() bool {
	return len(d.ServicesAdded)+len(d.ServicesRemoved)+len(d.ServicesChanged) == 0 &&
		len(d.ShardsAdded)+len(d.ShardsRemoved)+len(d.ReplicasAdded)+len(d.ReplicasRemoved) == 0 &&
		len(d.DrainsBegun)+len(d.DrainsEnded)+len(d.BundlesMoved) == 0 &&
		len(d.Customers)+len(d.Policy) == 0
}

// Diff compares two accepted texts. Lists follow the order of the texts, with
// entries of the old text first.
func Diff(before, after *Catalog) *Difference {
	d := &Difference{}
	d.compareServices(before, after)
	d.compareReplicas(before, after)
	d.compareBundles(before, after)
	d.Customers = settingChanges(customerSettings(before), customerSettings(after))
	d.Policy = settingChanges(policySettings(before), policySettings(after))
	return d
}

func (d *Difference) compareServices(before, after *Catalog) {
	for _, name := range before.ServiceNames {
		if after.Services[name] == nil {
			d.ServicesRemoved = append(d.ServicesRemoved, name)
		}
		d.ShardsRemoved = append(d.ShardsRemoved, missingShards(before.Services[name], after)...)
	}
	for _, name := range after.ServiceNames {
		d.ShardsAdded = append(d.ShardsAdded, missingShards(after.Services[name], before)...)
		former := before.Services[name]
		if former == nil {
			d.ServicesAdded = append(d.ServicesAdded, name)
			continue
		}
		if changed := settingChanges(serviceSettings(former), serviceSettings(after.Services[name])); len(changed) > 0 {
			d.ServicesChanged = append(d.ServicesChanged, ServiceChange{name, changed})
		}
	}
}

// missingShards lists the shards of a service that are not in the other text.
func missingShards(service *Service, other *Catalog) []string {
	var missing []string
	for _, shard := range service.Shards {
		if other.Shard(shard.Ref) == nil {
			missing = append(missing, shard.Ref.String())
		}
	}
	return missing
}

// placedReplica is a replica with its placement, the key for comparing two texts.
type placedReplica struct {
	placement ReplicaPlacement
	draining  bool
}

func (d *Difference) compareReplicas(before, after *Catalog) {
	old, current := before.placedReplicas(), after.placedReplicas()
	present := map[ReplicaPlacement]bool{}
	draining := map[ReplicaPlacement]bool{}
	for _, replica := range old {
		present[replica.placement] = true
		draining[replica.placement] = replica.draining
	}
	kept := map[ReplicaPlacement]bool{}
	for _, replica := range current {
		kept[replica.placement] = true
		switch {
		case !present[replica.placement]:
			d.ReplicasAdded = append(d.ReplicasAdded, replica.placement)
		case replica.draining && !draining[replica.placement]:
			d.DrainsBegun = append(d.DrainsBegun, replica.placement)
		case !replica.draining && draining[replica.placement]:
			d.DrainsEnded = append(d.DrainsEnded, replica.placement)
		}
	}
	for _, replica := range old {
		if !kept[replica.placement] {
			d.ReplicasRemoved = append(d.ReplicasRemoved, replica.placement)
		}
	}
}

func (c *Catalog) placedReplicas() []placedReplica {
	var list []placedReplica
	for _, name := range c.ServiceNames {
		for _, shard := range c.Services[name].Shards {
			for _, replica := range shard.Replicas {
				list = append(list, placedReplica{ReplicaPlacement{shard.Ref.String(), replica.Address, replica.DataCentre}, replica.Draining})
			}
		}
	}
	return list
}

func (d *Difference) compareBundles(before, after *Catalog) {
	ids := slices.Collect(maps.Keys(before.Bundles))
	for id := range after.Bundles {
		if before.Bundles[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		old, current := before.Bundles[id], after.Bundles[id]
		if old != nil && current != nil && old.DataCentre == current.DataCentre && slices.Equal(old.Shards, current.Shards) {
			d.BundlesKept++
			continue
		}
		d.BundlesMoved = append(d.BundlesMoved, BundleChange{id, old.shardNames(), current.shardNames()})
	}
}

// shardNames lists a bundle's shards; the list is empty for a nil bundle.
func (b *Bundle) shardNames() []string {
	names := []string{}
	if b == nil {
		return names
	}
	for _, ref := range b.Shards {
		names = append(names, ref.String())
	}
	return names
}

// setting is a key and its value as text.
type setting struct{ key, value string }

func policySettings(c *Catalog) []setting {
	return []setting{
		{"routing", string(c.Policy.Routing)},
		{"bundle_size", fmt.Sprint(c.Policy.BundleSize)},
		{"indexes", fmt.Sprint(c.Indexes)},
	}
}

func serviceSettings(s *Service) []setting {
	return []setting{
		{"index", s.Index},
		{"depends_on", fmt.Sprint(s.DependsOn)},
		{"slots", fmt.Sprint(s.Slots)},
		{"connections", fmt.Sprint(s.Connections)},
		{"connect_cost", s.ConnectCost.String()},
		{"timeout", s.Timeout.String()},
		{"idempotent", fmt.Sprint(s.Idempotent)},
	}
}

func customerSettings(c *Catalog) []setting {
	var list []setting
	for _, name := range slices.Sorted(maps.Keys(c.Customers)) {
		list = append(list, setting{string(name), c.Customers[name].shareText()})
	}
	unlisted := c.DefaultCustomer.shareText()
	if c.RefuseUnlisted {
		unlisted = "refused"
	}
	return append(list, setting{"(unlisted)", unlisted})
}

func (c Customer) shareText() string {
	return fmt.Sprintf("weight %g, in_flight %d", c.Weight, c.InFlight)
}

// settingChanges lists the settings whose values differ, in the order of before,
// followed by those only in after.
func settingChanges(before, after []setting) []SettingChange {
	values := map[string]string{}
	for _, s := range after {
		values[s.key] = s.value
	}
	var changes []SettingChange
	seen := map[string]bool{}
	for _, s := range before {
		seen[s.key] = true
		if values[s.key] != s.value {
			changes = append(changes, SettingChange{s.key, s.value, values[s.key]})
		}
	}
	for _, s := range after {
		if !seen[s.key] {
			changes = append(changes, SettingChange{s.key, "", s.value})
		}
	}
	return changes
}
