package entry

import (
	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
)

// planCache caches the plan of each queried service for one configuration. A plan depends
// only on the configuration and is immutable, so queries share it. The size of the cache
// is bounded by the number of services in the configuration.
type planCache struct {
	config *belief.Config
	plans  map[string]*query.Plan
	// shards caches the names of the shards of each plan, by service.
	shards map[*query.Plan][][]string
}

// shardNames returns the names of the shards of one service of a plan, in the order of its Shards.
func (p *planCache) shardNames(plan *query.Plan, service int) []string {
	if p.shards[plan] == nil {
		names := make([][]string, len(plan.Services))
		for i := range plan.Services {
			for _, need := range plan.Services[i].Shards {
				names[i] = append(names[i], plan.Needs[need].Ref.String())
			}
		}
		p.shards[plan] = names
	}
	return p.shards[plan][service]
}

// get returns the plan of a service, or nil if the configuration does not list it.
func (p *planCache) get(config *belief.Config, service string) *query.Plan {
	if p.config != config {
		p.config = config
		p.plans = map[string]*query.Plan{}
		p.shards = map[*query.Plan][][]string{}
	}
	plan := p.plans[service]
	if plan == nil && config.Catalog.Services[service] != nil {
		plan = makePlan(config.Catalog, service)
		p.plans[service] = plan
	}
	return plan
}

// makePlan returns the plan for a query to the service.
func makePlan(cat *catalog.Catalog, service string) *query.Plan {
	closure := cat.Closure(service)
	indexes := make(map[string]int, len(closure))
	services := make([]query.ServicePlan, 0, len(closure))
	var needs []query.Need
	for i, one := range closure {
		indexes[one.Name] = i
		servicePlan := query.ServicePlan{Name: one.Name}
		for _, dependency := range one.DependsOn {
			servicePlan.DependsOn = append(servicePlan.DependsOn, indexes[dependency])
		}
		for _, shard := range one.Shards {
			servicePlan.Shards = append(servicePlan.Shards, len(needs))
			needs = append(needs, query.Need{Ref: shard.Ref, Bundle: shard.Bundle, Service: i})
		}
		services = append(services, servicePlan)
	}
	return query.NewPlan(services, needs)
}
