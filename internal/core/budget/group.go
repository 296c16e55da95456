package budget

import "github.com/pistachiopier/pistachiopier/internal/core"

// DefaultMaxKeys bounds each of a Group's two tables.
const DefaultMaxKeys = 1024

// evictionSteps bounds the buckets looked at to make room for one new key.
const evictionSteps = 8

// Group holds a budget for each service and one for each customer. An extra
// try needs a token of both. It is not safe for concurrent use.
//
// Its memory is bounded although callers choose customers' names: a full bucket
// equals a new one, so it may be forgotten without breaking the bound; while
// none is found, new names share one bucket. Each table thus allows at most
//
//	extra tries <= Ratio x first tries + Floor x (MaxKeys + 1)
type Group struct {
	services  table[string]
	customers table[core.Customer]
}

// GroupConfig chooses the bounds of a Group. Zero values take the defaults.
type GroupConfig struct {
	Service  Config
	Customer Config
	// MaxKeys bounds the services and the customers remembered, each.
	MaxKeys int
}

// NewGroup makes an empty Group.
func NewGroup(config GroupConfig) *Group {
	if config.MaxKeys <= 0 {
		config.MaxKeys = DefaultMaxKeys
	}
	return &Group{
		services:  newTable[string](config.Service, config.MaxKeys),
		customers: newTable[core.Customer](config.Customer, config.MaxKeys),
	}
}

// FirstTry notes n first tries to a service for a customer.
func (g *Group) FirstTry(service string, customer core.Customer, n int) {
	g.services.get(service).FirstTry(n)
	g.customers.get(customer).FirstTry(n)
}

// TryExtra takes a token of the service and one of the customer, or neither.
func (g *Group) TryExtra(service string, customer core.Customer) bool {
	ofService, ofCustomer := g.services.get(service), g.customers.get(customer)
	if !ofService.CanExtra() || !ofCustomer.CanExtra() {
		return false
	}
	return ofService.TryExtra() && ofCustomer.TryExtra()
}

// Size is the number of buckets held.
func (g *Group) Size() int { return len(g.services.slots) + len(g.customers.slots) }

// table is a bounded map of buckets. The hand goes round the slots, so that
// making room costs a fixed number of steps and is deterministic.
type table[K comparable] struct {
	config   Config
	max      int
	at       map[K]int
	slots    []slot[K]
	hand     int
	overflow *Budget
}

type slot[K comparable] struct {
	key    K
	budget *Budget
}

func newTable[K comparable](config Config, limit int) table[K] {
	return table[K]{config: config, max: limit, at: map[K]int{}, overflow: New(config)}
}

func (t *table[K]) get(key K) *Budget {
	if i, ok := t.at[key]; ok {
		return t.slots[i].budget
	}
	if len(t.slots) < t.max {
		t.at[key] = len(t.slots)
		t.slots = append(t.slots, slot[K]{key: key, budget: New(t.config)})
		return t.slots[len(t.slots)-1].budget
	}
	for range min(evictionSteps, len(t.slots)) {
		i := t.hand
		t.hand = (t.hand + 1) % len(t.slots)
		if t.slots[i].budget.Full() {
			delete(t.at, t.slots[i].key)
			t.at[key] = i
			t.slots[i].key = key
			return t.slots[i].budget
		}
	}
	return t.overflow
}
