// Package sharedbudget shares one budget.Group between the goroutines of a
// duty, so that its bound holds for the node's role and not for each goroutine:
// with a Group each, the floors would add up.
package sharedbudget

import (
	"sync"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
)

// Group is a budget.Group that is safe for concurrent use. One mutex is held
// for one or two map look-ups; BenchmarkSharedGroup measures it.
type Group struct {
	mutex sync.Mutex
	group *budget.Group
}

// New makes an empty Group.
func New(config budget.GroupConfig) *Group { return &Group{group: budget.NewGroup(config)} }

// RecordFirst notes n first tries to a service for a customer.
func (g *Group) RecordFirst(service string, customer core.Customer, n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.group.RecordFirst(service, customer, n)
}

// TryTakeExtra takes a token of the service and one of the customer, or neither.
func (g *Group) TryTakeExtra(service string, customer core.Customer) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.group.TryTakeExtra(service, customer)
}
