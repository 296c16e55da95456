// Package catalog parses and validates the operators' configuration text:
// services with their dependencies, shards and replicas, and the customers'
// shares. Validation is a pure function of the text, so that all nodes accept
// or reject the same texts.
package catalog

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// MaxTextBytes is the maximum size of a text: the platform's limit for a value.
const MaxTextBytes = 1 << 20

// Routing selects the nodes that connect to a replica.
type Routing string

// The routing policies.
const (
	// RoutingOwner gives each bundle one owner, which holds all connections to
	// its replicas.
	RoutingOwner Routing = "owner"
	// RoutingDirect lets each of n nodes connect with 1/n of the capacity. It
	// is the baseline that RoutingOwner was measured against.
	RoutingDirect Routing = "direct"
)

// Policy holds the fleet-wide settings of the text.
type Policy struct {
	Routing    Routing
	BundleSize int
}

// Customer is a customer's share: its weight in queues and the maximum number
// of its requests that an entry runs at once.
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

// Shard is one shard of a service and the bundle that it belongs to.
type Shard struct {
	Ref      core.ShardRef
	Bundle   core.BundleID
	Replicas []Replica
}

// Service is one service of the text.
type Service struct {
	Name  string
	Index string
	// DependsOn names services; a group is replaced by its services.
	DependsOn []string
	// Slots is the number of requests that a replica runs at once, Connections
	// the number of connections that it accepts, and ConnectCost the time that
	// a new connection takes.
	Slots       int
	Connections int
	ConnectCost time.Duration
	// Timeout applies to queries whose caller states none.
	Timeout time.Duration
	// Idempotent is false when a request must not be repeated.
	Idempotent bool
	Shards     []Shard
}

// Catalog is a parsed and validated text.
type Catalog struct {
	Policy          Policy
	Indexes         []string
	Customers       map[core.Customer]Customer
	DefaultCustomer Customer
	RefuseUnlisted  bool
	Services        map[string]*Service
	// ServiceNames lists the services in the order of the text.
	ServiceNames []string
	Bundles      map[core.BundleID]*Bundle
}

// Customer returns the share of the named customer, and false if the customer
// is not listed and the text refuses unlisted customers.
func (c *Catalog) Customer(name core.Customer) (Customer, bool) {
	if customer, ok := c.Customers[name]; ok {
		return customer, true
	}
	customer := c.DefaultCustomer
	customer.Name = name
	return customer, !c.RefuseUnlisted
}

// Closure returns the service and its transitive dependencies, dependencies
// first.
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

// Shard returns the referenced shard, or nil if there is none.
func (c *Catalog) Shard(ref core.ShardRef) *Shard {
	service := c.Services[ref.Service]
	if service == nil || ref.Shard < 0 || ref.Shard >= len(service.Shards) {
		return nil
	}
	return &service.Shards[ref.Shard]
}
