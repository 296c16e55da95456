package budget

import "github.com/pistachiopier/pistachiopier/internal/core"

// DefaultMaxKeys is the default capacity of each of the two tables of a Group.
const DefaultMaxKeys = 1024

// maxEvictionSteps is the maximum number of buckets checked to make room for a new key.
const maxEvictionSteps = 8

// Group holds a budget for each service and for each customer. An extra attempt needs a token of both.
// It is not safe for concurrent use.
//
// Its memory is bounded although callers choose the customer names: a full bucket equals a new one and
// may be evicted without breaking the bound. While no full bucket is found, new names share one
// overflow bucket. Each table thus allows at most
//
//	extra attempts <= Ratio x first attempts + Floor x (MaxKeys + 1)
type Group struct {
	services  table[string]
	customers table[core.Customer]
}

// GroupConfig configures a Group. Zero values select the defaults.
type GroupConfig struct {
	Service  Config
	Customer Config
	// MaxKeys is the maximum number of services and of customers that are kept.
	MaxKeys int
}

// NewGroup returns an empty Group.
func NewGroup(config GroupConfig) *Group {
	if config.MaxKeys <= 0 {
		config.MaxKeys = DefaultMaxKeys
	}
	return &Group{
		services:  newTable[string](config.Service, config.MaxKeys),
		customers: newTable[core.Customer](config.Customer, config.MaxKeys),
	}
}

// AddFirst records n first attempts to a service for a customer.
func (g *Group) AddFirst(service string, customer core.Customer, n int) {
	g.services.get(service).AddFirst(n)
	g.customers.get(customer).AddFirst(n)
}

// TakeExtra takes a token of the service and one of the customer, or neither.
func (g *Group) TakeExtra(service string, customer core.Customer) bool {
	serviceBudget, customerBudget := g.services.get(service), g.customers.get(customer)
	if !serviceBudget.CanTakeExtra() || !customerBudget.CanTakeExtra() {
		return false
	}
	return serviceBudget.TakeExtra() && customerBudget.TakeExtra()
}

// Size returns the number of buckets.
func (g *Group) Size() int { return len(g.services.entries) + len(g.customers.entries) }

// table is a bounded map of buckets. The eviction cursor cycles through the entries, so that eviction
// takes a bounded number of steps and is deterministic.
type table[K comparable] struct {
	config         Config
	maxKeys        int
	indexByKey     map[K]int
	entries        []entry[K]
	evictionCursor int
	overflow       *Budget
}

type entry[K comparable] struct {
	key    K
	budget *Budget
}

func newTable[K comparable](config Config, maxKeys int) table[K] {
	return table[K]{config: config, maxKeys: maxKeys, indexByKey: map[K]int{}, overflow: New(config)}
}

func (t *table[K]) get(key K) *Budget {
	if i, ok := t.indexByKey[key]; ok {
		return t.entries[i].budget
	}
	if len(t.entries) < t.maxKeys {
		t.indexByKey[key] = len(t.entries)
		t.entries = append(t.entries, entry[K]{key: key, budget: New(t.config)})
		return t.entries[len(t.entries)-1].budget
	}
	for range min(maxEvictionSteps, len(t.entries)) {
		i := t.evictionCursor
		t.evictionCursor = (t.evictionCursor + 1) % len(t.entries)
		if t.entries[i].budget.Full() {
			delete(t.indexByKey, t.entries[i].key)
			t.indexByKey[key] = i
			t.entries[i].key = key
			return t.entries[i].budget
		}
	}
	return t.overflow
}
