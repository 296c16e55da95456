// Package catalog parses and validates the operators' text: services, what
// each depends on, their shards and replicas, and the customers' shares.
// Validation is a pure function of the text, so all nodes judge alike.
package catalog

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// MaxTextBytes is the largest text accepted, the platform's limit for a value.
const MaxTextBytes = 1 << 20

// Routing says who talks to a replica.
type Routing string

// The routing policies.
const (
	// RoutingOwner gives each bundle one owner that holds its connections.
	RoutingOwner Routing = "owner"
	// RoutingDirect lets every node connect with its share 1/n. It is the
	// baseline that owners were measured against.
	RoutingDirect Routing = "direct"
)

// Policy holds the fleet-wide choices of the text.
type Policy struct {
	Routing    Routing
	BundleSize int
}

// Customer is a customer's share: its weight in queues and the most requests
// an entry runs for it at once.
type Customer struct {
	Name     core.Customer
	Weight   float64
	InFlight int
}

// Replica is one upstream address of a shard.
type Replica struct {
	Address    string
	DataCentre string
	Draining   bool
}

// Shard is one shard of a service, with the bundle that it belongs to.
type Shard struct {
	Ref      core.ShardRef
	Bundle   core.BundleID
	Replicas []Replica
}

// Service is one service of the text.
type Service struct {
	Name        string
	Index       string
	DependsOn   []string
	Slots       int
	Connections int
	ConnectCost time.Duration
	Timeout     time.Duration
	Idempotent  bool
	Shards      []Shard
}

// Bundle is a group of shards owned and asked together. DataCentre is where
// most of its replicas are.
type Bundle struct {
	ID         core.BundleID
	DataCentre string
	Shards     []core.ShardRef
}

// Catalog is an accepted text.
type Catalog struct {
	Policy          Policy
	Indexes         []string
	Customers       map[core.Customer]Customer
	DefaultCustomer Customer
	RefuseUnlisted  bool
	Services        map[string]*Service
	// Names lists the services in the order of the text.
	Names   []string
	Bundles map[core.BundleID]*Bundle
}

// Customer returns the share of the named customer; false when the text
// refuses unlisted customers and does not list it.
func (c *Catalog) Customer(name core.Customer) (Customer, bool) {
	if customer, ok := c.Customers[name]; ok {
		return customer, true
	}
	customer := c.DefaultCustomer
	customer.Name = name
	return customer, !c.RefuseUnlisted
}

// Closure returns the service and all it depends on, dependencies first.
func (c *Catalog) Closure(name string) []*Service {
	var ordered []*Service
	seen := map[string]bool{}
	var visit func(string)
	visit = func(next string) {
		service := c.Services[next]
		if seen[next] || service == nil {
			return
		}
		seen[next] = true
		for _, dependency := range service.DependsOn {
			visit(dependency)
		}
		ordered = append(ordered, service)
	}
	visit(name)
	return ordered
}

// Shard finds a shard by reference, or nil.
func (c *Catalog) Shard(ref core.ShardRef) *Shard {
	service := c.Services[ref.Service]
	if service == nil || ref.Shard < 0 || ref.Shard >= len(service.Shards) {
		return nil
	}
	return &service.Shards[ref.Shard]
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
	for _, name := range c.Names {
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
	dependents := make(map[string][]string, len(c.Names))
	for _, name := range c.Names {
		for _, dependency := range c.Services[name].DependsOn {
			dependents[dependency] = append(dependents[dependency], name)
		}
	}
	return dependents
}

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

func hashID(name string) core.BundleID {
	return core.BundleID(xxhash.Sum64String(name))
}

func familyKey(service *Service, dependents []string) string {
	parts := []string{service.Index, strings.Join(service.DependsOn, ","), strings.Join(dependents, ",")}
	return strings.Join(parts, "|")
}
