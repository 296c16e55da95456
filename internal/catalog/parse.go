package catalog

import (
	"fmt"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/strictyaml"
)

// Defaults and limits of the text.
const (
	textVersion         = 1
	defaultBundleSize   = 1
	maxBundleSize       = 100
	defaultSlots        = 2
	defaultConnections  = 25
	defaultTimeout      = 500 * time.Millisecond
	defaultWeight       = 1.0
	defaultInFlight     = 256
	maxGroupServices    = 1000
	maxShardsPerService = 1000
	maxReplicasPerShard = 100
	// maxReplicas is the limit for the whole text: without it, a few extra
	// digits in a group would make all nodes run out of memory at once.
	maxReplicas = 50_000
)

const (
	stepHost = "host"
	stepPort = "port"
)

// Parse parses and validates a text. The error is a strictyaml.Problems.
func Parse(data []byte) (*Catalog, error) {
	if len(data) > MaxTextBytes {
		return nil, strictyaml.Problems{{
			Line: 1, Column: 1, Key: "",
			Message: fmt.Sprintf("the text has %d bytes, the limit is %d", len(data), MaxTextBytes),
			Fix:     "use groups to define similar services once",
		}}
	}
	var source configText
	doc, err := strictyaml.Decode(data, &source)
	if err != nil {
		return nil, err
	}
	b := &builder{doc: doc, source: &source, addresses: map[string]string{}, keys: map[string]string{}}
	catalog := b.build()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return catalog, nil
}

// builder builds a catalog from the decoded text and reports its problems.
type builder struct {
	doc     *strictyaml.Document
	source  *configText
	catalog *Catalog
	// groups maps a group's name to the names of its services.
	groups    map[string][]string
	addresses map[string]string
	// keys maps a service's name to its key in the text, such as services[0].
	keys map[string]string
}

func (b *builder) build() *Catalog {
	b.catalog = &Catalog{
		Customers: map[core.Customer]Customer{},
		Services:  map[string]*Service{},
		Indexes:   b.source.Indexes,
	}
	b.groups = map[string][]string{}
	if b.source.Version != textVersion {
		b.doc.Report("version", fmt.Sprintf("version is %d, only %d is supported", b.source.Version, textVersion), "write version: 1")
	}
	b.buildPolicy()
	b.buildCustomers()
	for i := range b.source.Services {
		b.buildService(fmt.Sprintf("services[%d]", i), &b.source.Services[i])
	}
	for i := range b.source.Groups {
		b.buildGroup(fmt.Sprintf("groups[%d]", i), &b.source.Groups[i])
	}
	if len(b.catalog.ServiceNames) == 0 {
		b.doc.Report("services", "no service is defined", "write at least one service or group")
	}
	b.resolveDependencies()
	b.checkCycles()
	if b.doc.Err() == nil {
		b.catalog.makeBundles()
	}
	return b.catalog
}

func (b *builder) buildPolicy() {
	policy := &b.catalog.Policy
	policy.Routing = Routing(b.source.Policy.Routing)
	if policy.Routing == "" {
		policy.Routing = RoutingOwner
	}
	if policy.Routing != RoutingOwner && policy.Routing != RoutingDirect {
		b.doc.Report("policy.routing", fmt.Sprintf("%q is not a routing policy", policy.Routing), "write owner or direct")
	}
	scope := b.source.Policy.OwnershipScope
	if scope != "" && scope != "fleet" {
		b.doc.Report("policy.ownership_scope", fmt.Sprintf("%q is not an ownership scope", scope), "write fleet")
	}
	policy.BundleSize = orDefault(b.source.Policy.BundleSize, defaultBundleSize)
	b.checkRange("policy.bundle_size", policy.BundleSize, 1, maxBundleSize)
}

func (b *builder) buildCustomers() {
	for i, source := range b.source.Customers {
		key := fmt.Sprintf("customers[%d]", i)
		customer := b.buildCustomer(key, source)
		if source.Name == "" {
			b.doc.Report(key+".name", "the customer has no name", "write name: NAME")
		}
		if _, ok := b.catalog.Customers[customer.Name]; ok {
			b.doc.Report(key+".name", fmt.Sprintf("duplicate customer %q", customer.Name), "keep one")
		}
		b.catalog.Customers[customer.Name] = customer
	}
	b.catalog.DefaultCustomer = b.buildCustomer("default_customer", b.source.DefaultCustomer)
	switch b.source.UnlistedCustomers {
	case "", "default":
	case "refuse":
		b.catalog.RefuseUnlisted = true
	default:
		b.doc.Report("unlisted_customers", fmt.Sprintf("%q is not a policy for unlisted customers", b.source.UnlistedCustomers), "write default or refuse")
	}
}

func (b *builder) buildCustomer(key string, source customerText) Customer {
	customer := Customer{
		Name:     core.Customer(source.Name),
		Weight:   orDefault(source.Weight, defaultWeight),
		InFlight: orDefault(source.InFlight, defaultInFlight),
	}
	if customer.Weight < 0 {
		b.doc.Report(key+".weight", fmt.Sprintf("weight is %g", customer.Weight), "write a number above 0")
	}
	if customer.InFlight < 0 {
		b.doc.Report(key+".in_flight", fmt.Sprintf("in_flight is %d", customer.InFlight), "write a number of 1 or more")
	}
	return customer
}
