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
	// maxReplicas bounds the whole text: a few digits too many in a group would
	// otherwise make every node of the fleet run out of memory at once.
	maxReplicas = 50_000
)

const (
	stepHost = "host"
	stepPort = "port"
)

// Parse reads and validates a text. The error is a strictyaml.Problems.
func Parse(data []byte) (*Catalog, error) {
	if len(data) > MaxTextBytes {
		return nil, strictyaml.Problems{{
			Line: 1, Column: 1, Key: "",
			Message: fmt.Sprintf("the text has %d bytes, the limit is %d", len(data), MaxTextBytes),
			Fix:     "use groups to write like services once",
		}}
	}
	var written text
	doc, err := strictyaml.Decode(data, &written)
	if err != nil {
		return nil, err
	}
	b := &builder{doc: doc, written: &written, addresses: map[string]string{}, keys: map[string]string{}}
	catalog := b.build()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return catalog, nil
}

// builder turns the written text into a catalog and reports what is wrong.
type builder struct {
	doc     *strictyaml.Document
	written *text
	catalog *Catalog
	// groups maps a group's name to its services.
	groups    map[string][]string
	addresses map[string]string
	// keys maps a service to the key of its text.
	keys map[string]string
}

func (b *builder) build() *Catalog {
	b.catalog = &Catalog{
		Customers: map[core.Customer]Customer{},
		Services:  map[string]*Service{},
		Indexes:   b.written.Indexes,
	}
	b.groups = map[string][]string{}
	if b.written.Version != textVersion {
		b.doc.Report("version", fmt.Sprintf("version is %d, only %d is known", b.written.Version, textVersion), "write version: 1")
	}
	b.policy()
	b.customers()
	for i := range b.written.Services {
		b.service(fmt.Sprintf("services[%d]", i), &b.written.Services[i])
	}
	for i := range b.written.Groups {
		b.group(fmt.Sprintf("groups[%d]", i), &b.written.Groups[i])
	}
	if len(b.catalog.ServiceNames) == 0 {
		b.doc.Report("services", "no service is written", "write at least one service or group")
	}
	b.dependencies()
	b.cycles()
	if b.doc.Err() == nil {
		b.catalog.makeBundles()
	}
	return b.catalog
}

func (b *builder) policy() {
	policy := &b.catalog.Policy
	policy.Routing = Routing(b.written.Policy.Routing)
	if policy.Routing == "" {
		policy.Routing = RoutingOwner
	}
	if policy.Routing != RoutingOwner && policy.Routing != RoutingDirect {
		b.doc.Report("policy.routing", fmt.Sprintf("%q is not a routing", policy.Routing), "write owner or direct")
	}
	scope := b.written.Policy.OwnershipScope
	if scope != "" && scope != "fleet" {
		b.doc.Report("policy.ownership_scope", fmt.Sprintf("%q is not a scope", scope), "write fleet")
	}
	policy.BundleSize = orDefault(b.written.Policy.BundleSize, defaultBundleSize)
	b.between("policy.bundle_size", policy.BundleSize, 1, maxBundleSize)
}

func (b *builder) customers() {
	for i, written := range b.written.Customers {
		key := fmt.Sprintf("customers[%d]", i)
		customer := b.customer(key, written)
		if written.Name == "" {
			b.doc.Report(key+".name", "the customer has no name", "write name: NAME")
		}
		if _, ok := b.catalog.Customers[customer.Name]; ok {
			b.doc.Report(key+".name", fmt.Sprintf("customer %q stands twice", customer.Name), "keep one")
		}
		b.catalog.Customers[customer.Name] = customer
	}
	b.catalog.DefaultCustomer = b.customer("default_customer", b.written.DefaultCustomer)
	switch b.written.UnlistedCustomers {
	case "", "default":
	case "refuse":
		b.catalog.RefuseUnlisted = true
	default:
		b.doc.Report("unlisted_customers", fmt.Sprintf("%q is not a choice", b.written.UnlistedCustomers), "write default or refuse")
	}
}

func (b *builder) customer(key string, written customerText) Customer {
	customer := Customer{
		Name:     core.Customer(written.Name),
		Weight:   orDefault(written.Weight, defaultWeight),
		InFlight: orDefault(written.InFlight, defaultInFlight),
	}
	if customer.Weight < 0 {
		b.doc.Report(key+".weight", fmt.Sprintf("weight is %g", customer.Weight), "write a number above 0")
	}
	if customer.InFlight < 0 {
		b.doc.Report(key+".in_flight", fmt.Sprintf("in_flight is %d", customer.InFlight), "write a number of 1 or more")
	}
	return customer
}
