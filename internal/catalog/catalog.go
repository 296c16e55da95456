// Package catalog parses and validates the operators' text: services, what
// each depends on, their shards and replicas, and the customers' shares.
// Validation is a pure function of the text, so all nodes judge alike.
package catalog

import (
	"time"

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
	Name  string
	Index string
	// DependsOn names services; those of a group are listed one by one.
	DependsOn []string
	// Slots is how many requests a replica runs at once, Connections how many
	// connections it accepts and ConnectCost how long a new one takes.
	Slots       int
	Connections int
	ConnectCost time.Duration
	// Timeout is the time of a question whose caller states none.
	Timeout time.Duration
	// Idempotent is false when a request must not be repeated.
	Idempotent bool
	Shards     []Shard
}

// Catalog is an accepted text.
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
