package catalog

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

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
	if len(b.catalog.Names) == 0 {
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

func (b *builder) service(key string, written *serviceText) {
	service := &Service{
		Name:        written.Name,
		Index:       written.Index,
		DependsOn:   written.DependsOn,
		Slots:       b.count(key+".slots", written.Slots, defaultSlots),
		Connections: b.count(key+".connections", written.Connections, defaultConnections),
		ConnectCost: written.ConnectCost,
		Timeout:     b.duration(key+".timeout", written.Timeout, defaultTimeout),
		Idempotent:  written.Idempotent == nil || *written.Idempotent,
	}
	if len(written.Shards) == 0 {
		b.doc.Report(key+".shards", "the service has no shards", "write at least one shard with a replica")
	}
	for i, shard := range written.Shards {
		b.shard(fmt.Sprintf("%s.shards[%d]", key, i), service, i, shard)
	}
	b.add(key, service)
}

func (b *builder) shard(key string, service *Service, index int, written shardText) {
	shard := Shard{Ref: core.ShardRef{Service: service.Name, Shard: index}}
	if len(written.Replicas) == 0 {
		b.doc.Report(key+".replicas", "the shard has no replicas", "write at least one replica")
	}
	for i, replica := range written.Replicas {
		at := fmt.Sprintf("%s.replicas[%d].address", key, i)
		b.address(at, replica.Address)
		shard.Replicas = append(shard.Replicas, Replica(replica))
	}
	service.Shards = append(service.Shards, shard)
}

// add registers a service, whose name must be new.
func (b *builder) add(key string, service *Service) {
	if service.Name == "" {
		b.doc.Report(key+".name", "the service has no name", "write name: NAME")
		return
	}
	if _, ok := b.catalog.Services[service.Name]; ok {
		b.doc.Report(key+".name", fmt.Sprintf("service %q stands twice", service.Name), "rename one")
		return
	}
	if !slices.Contains(b.written.Indexes, service.Index) {
		b.doc.Report(key+".index", fmt.Sprintf("index %q is not listed", service.Index), "add it to indexes")
	}
	if service.Slots > service.Connections {
		b.doc.Report(key+".slots", fmt.Sprintf("%d slots need more than %d connections", service.Slots, service.Connections), "raise connections or lower slots")
	}
	b.catalog.Services[service.Name] = service
	b.catalog.Names = append(b.catalog.Names, service.Name)
	b.keys[service.Name] = key
}

func (b *builder) address(key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		b.doc.Report(key, fmt.Sprintf("%q is not IP:PORT", address), "write an IP number and a port, such as 10.1.0.7:8080")
		return
	}
	if other, ok := b.addresses[address]; ok {
		b.doc.Report(key, fmt.Sprintf("address %s is used at %s too", address, other), "give each replica its own address")
		return
	}
	b.addresses[address] = key
}

// dependencies replaces group names by their services and checks each name.
func (b *builder) dependencies() {
	for _, name := range b.catalog.Names {
		service := b.catalog.Services[name]
		key := b.keys[name] + ".depends_on"
		var expanded []string
		seen := map[string]bool{}
		for _, dependency := range service.DependsOn {
			names := []string{dependency}
			if b.catalog.Services[dependency] == nil && b.groups[dependency] != nil {
				names = b.groups[dependency]
			}
			for _, one := range names {
				if seen[one] {
					continue
				}
				seen[one] = true
				b.dependency(key, service, one)
				expanded = append(expanded, one)
			}
		}
		service.DependsOn = expanded
	}
}

func (b *builder) dependency(key string, service *Service, name string) {
	dependency := b.catalog.Services[name]
	switch {
	case dependency == nil:
		b.doc.Report(key, fmt.Sprintf("%s depends on %q, which is not written", service.Name, name), "add the service or remove the dependency")
	case dependency.Index != service.Index:
		b.doc.Report(key, fmt.Sprintf("%s (index %s) depends on %s (index %s)", service.Name, service.Index, name, dependency.Index), "an answer is drawn from one index: use one index for both")
	case !dependency.Idempotent:
		b.doc.Report(key, fmt.Sprintf("%s depends on %s, which must not be repeated", service.Name, name), "only idempotent services can be depended on")
	case !service.Idempotent:
		b.doc.Report(key, fmt.Sprintf("%s must not be repeated and depends on %s", service.Name, name), "a service with idempotent: false takes no dependencies")
	}
}

// cycles reports each cycle of depends_on once, by its path.
func (b *builder) cycles() {
	done := map[string]bool{}
	place := map[string]int{}
	var path []string
	var visit func(string)
	visit = func(name string) {
		if at, ok := place[name]; ok {
			cycle := append(slices.Clone(path[at:]), name)
			b.doc.Report(b.keys[name]+".depends_on", "cycle: "+strings.Join(cycle, " -> "), "remove one of these dependencies")
			return
		}
		service := b.catalog.Services[name]
		if done[name] || service == nil {
			return
		}
		place[name] = len(path)
		path = append(path, name)
		for _, dependency := range service.DependsOn {
			visit(dependency)
		}
		path = path[:len(path)-1]
		delete(place, name)
		done[name] = true
	}
	for _, name := range b.catalog.Names {
		visit(name)
	}
}

// count returns a count of at least 1, or the default when it is not written.
func (b *builder) count(key string, value, fallback int) int {
	if !b.doc.Has(key) {
		return fallback
	}
	if value < 1 {
		b.doc.Report(key, fmt.Sprintf("%d is too small", value), "write a number of 1 or more")
	}
	return value
}

func (b *builder) duration(key string, value, fallback time.Duration) time.Duration {
	if !b.doc.Has(key) {
		return fallback
	}
	if value <= 0 {
		b.doc.Report(key, fmt.Sprintf("%s is too short", value), "write a duration above 0")
	}
	return value
}

func (b *builder) between(key string, value, least, most int) {
	if value < least || value > most {
		b.doc.Report(key, fmt.Sprintf("%d is outside %d to %d", value, least, most), "choose a value inside")
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func hashID(name string) core.BundleID {
	return core.BundleID(xxhash.Sum64String(name))
}

func familyKey(service *Service, dependents []string) string {
	parts := []string{service.Index, strings.Join(service.DependsOn, ","), strings.Join(dependents, ",")}
	return strings.Join(parts, "|")
}
