package catalog

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Difference is what a change from one text to another does.
type Difference struct {
	ServicesAdded   []string           `json:"services_added"`
	ServicesRemoved []string           `json:"services_removed"`
	ServicesChanged []ServiceChange    `json:"services_changed"`
	ShardsAdded     []string           `json:"shards_added"`
	ShardsRemoved   []string           `json:"shards_removed"`
	ReplicasAdded   []ReplicaPlacement `json:"replicas_added"`
	ReplicasRemoved []ReplicaPlacement `json:"replicas_removed"`
	// DrainsBegun and DrainsEnded are replicas that stay in the text.
	DrainsBegun []ReplicaPlacement `json:"drains_begun"`
	DrainsEnded []ReplicaPlacement `json:"drains_ended"`
	// BundlesMoved lists the bundles whose shards or data centre differ, also
	// those that are new or gone: their owners may change.
	BundlesMoved []BundleChange  `json:"bundles_moved"`
	BundlesKept  int             `json:"bundles_kept"`
	Customers    []SettingChange `json:"customers_changed"`
	Policy       []SettingChange `json:"policy_changed"`
}

// ServiceChange is a service that stays with other settings.
type ServiceChange struct {
	Service  string          `json:"service"`
	Settings []SettingChange `json:"settings"`
}

// SettingChange is a setting with its value before and after, as text. A value
// of a customer that is not listed is empty.
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

// BundleChange is a bundle with its shards before and after.
type BundleChange struct {
	Bundle core.BundleID `json:"bundle"`
	Before []string      `json:"before"`
	After  []string      `json:"after"`
}

// Empty reports whether the two texts mean the same.
func (d *Difference) Empty() bool {
	return len(d.ServicesAdded)+len(d.ServicesRemoved)+len(d.ServicesChanged) == 0 &&
		len(d.ShardsAdded)+len(d.ShardsRemoved)+len(d.ReplicasAdded)+len(d.ReplicasRemoved) == 0 &&
		len(d.DrainsBegun)+len(d.DrainsEnded)+len(d.BundlesMoved) == 0 &&
		len(d.Customers)+len(d.Policy) == 0
}

// Diff compares two accepted texts. The lists are in the order of the texts,
// what the old one has first.
func Diff(before, after *Catalog) *Difference {
	d := &Difference{}
	d.services(before, after)
	d.replicas(before, after)
	d.bundles(before, after)
	d.Customers = settingChanges(customerSettings(before), customerSettings(after))
	d.Policy = settingChanges(policySettings(before), policySettings(after))
	return d
}

func (d *Difference) services(before, after *Catalog) {
	for _, name := range before.ServiceNames {
		if after.Services[name] == nil {
			d.ServicesRemoved = append(d.ServicesRemoved, name)
		}
		d.ShardsRemoved = append(d.ShardsRemoved, shardsMissing(before.Services[name], after)...)
	}
	for _, name := range after.ServiceNames {
		d.ShardsAdded = append(d.ShardsAdded, shardsMissing(after.Services[name], before)...)
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

// shardsMissing lists the shards of a service that the other text lacks.
func shardsMissing(service *Service, other *Catalog) []string {
	var missing []string
	for _, shard := range service.Shards {
		if other.Shard(shard.Ref) == nil {
			missing = append(missing, shard.Ref.String())
		}
	}
	return missing
}

// placed is a replica with its place, by which two texts are compared.
type placed struct {
	place    ReplicaPlacement
	draining bool
}

func (d *Difference) replicas(before, after *Catalog) {
	old, now := before.placed(), after.placed()
	present := map[ReplicaPlacement]bool{}
	draining := map[ReplicaPlacement]bool{}
	for _, replica := range old {
		present[replica.place] = true
		draining[replica.place] = replica.draining
	}
	kept := map[ReplicaPlacement]bool{}
	for _, replica := range now {
		kept[replica.place] = true
		switch {
		case !present[replica.place]:
			d.ReplicasAdded = append(d.ReplicasAdded, replica.place)
		case replica.draining && !draining[replica.place]:
			d.DrainsBegun = append(d.DrainsBegun, replica.place)
		case !replica.draining && draining[replica.place]:
			d.DrainsEnded = append(d.DrainsEnded, replica.place)
		}
	}
	for _, replica := range old {
		if !kept[replica.place] {
			d.ReplicasRemoved = append(d.ReplicasRemoved, replica.place)
		}
	}
}

func (c *Catalog) placed() []placed {
	var list []placed
	for _, name := range c.ServiceNames {
		for _, shard := range c.Services[name].Shards {
			for _, replica := range shard.Replicas {
				list = append(list, placed{ReplicaPlacement{shard.Ref.String(), replica.Address, replica.DataCentre}, replica.Draining})
			}
		}
	}
	return list
}

func (d *Difference) bundles(before, after *Catalog) {
	ids := slices.Collect(maps.Keys(before.Bundles))
	for id := range after.Bundles {
		if before.Bundles[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		old, now := before.Bundles[id], after.Bundles[id]
		if old != nil && now != nil && old.DataCentre == now.DataCentre && slices.Equal(old.Shards, now.Shards) {
			d.BundlesKept++
			continue
		}
		d.BundlesMoved = append(d.BundlesMoved, BundleChange{id, old.names(), now.names()})
	}
}

// names lists a bundle's shards; a nil bundle has none.
func (b *Bundle) names() []string {
	names := []string{}
	if b == nil {
		return names
	}
	for _, ref := range b.Shards {
		names = append(names, ref.String())
	}
	return names
}

// setting is one setting, as text.
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
		list = append(list, setting{string(name), c.Customers[name].share()})
	}
	unlisted := c.DefaultCustomer.share()
	if c.RefuseUnlisted {
		unlisted = "refused"
	}
	return append(list, setting{"(unlisted)", unlisted})
}

func (c Customer) share() string {
	return fmt.Sprintf("weight %g, in_flight %d", c.Weight, c.InFlight)
}

// settingChanges lists the settings whose values differ, the old ones first.
func settingChanges(before, after []setting) []SettingChange {
	values := map[string]string{}
	for _, one := range after {
		values[one.key] = one.value
	}
	var changes []SettingChange
	seen := map[string]bool{}
	for _, one := range before {
		seen[one.key] = true
		if values[one.key] != one.value {
			changes = append(changes, SettingChange{one.key, one.value, values[one.key]})
		}
	}
	for _, one := range after {
		if !seen[one.key] {
			changes = append(changes, SettingChange{one.key, "", one.value})
		}
	}
	return changes
}
