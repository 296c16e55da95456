// Package sharedbudget shares one budget.Group between the goroutines of a role, so that
// the limit applies to the role as a whole. With one Group for each goroutine, their
// floors would add up.
package sharedbudget

import (
	"sync"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
)

// Group is a budget.Group that is safe for concurrent use. Its mutex is held for one or
// two map lookups; BenchmarkSharedGroup measures the cost.
type Group struct {
	mutex sync.Mutex
	group *budget.Group
}

// New creates an empty Group.
func New(config budget.GroupConfig) *Group { return &Group{group: budget.NewGroup(config)} }

// AddFirst records n first attempts to a service for a customer.
func (g *Group) AddFirst(service string, customer core.Customer, n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.group.AddFirst(service, customer, n)
}

// TakeExtra takes a token of the service and one of the customer, or neither.
func (g *Group) TakeExtra(service string, customer core.Customer) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.group.TakeExtra(service, customer)
}
