package entry

import (
	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
)

// plans keeps the plan of each service asked, for one text. A plan follows from
// the text alone and is immutable, so questions share it. Its size is bounded
// by the services of the text.
type plans struct {
	config *belief.Config
	made   map[string]*query.Plan
	// shards caches the names of the shards of each plan, by service.
	shards map[*query.Plan][][]string
}

// shardNames returns the names of the shards of one service of a plan, in the order of its Shards.
func (p *plans) shardNames(plan *query.Plan, service int) []string {
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

// get returns the service's plan, or nil when the text does not list it.
func (p *plans) get(config *belief.Config, service string) *query.Plan {
	if p.config != config {
		p.config = config
		p.made = map[string]*query.Plan{}
		p.shards = map[*query.Plan][][]string{}
	}
	plan := p.made[service]
	if plan == nil && config.Catalog.Services[service] != nil {
		plan = makePlan(config.Catalog, service)
		p.made[service] = plan
	}
	return plan
}

// makePlan lists what a question to the service needs, from the text alone.
func makePlan(text *catalog.Catalog, service string) *query.Plan {
	closure := text.Closure(service)
	position := make(map[string]int, len(closure))
	services := make([]query.ServicePlan, 0, len(closure))
	var needs []query.Need
	for i, one := range closure {
		position[one.Name] = i
		written := query.ServicePlan{Name: one.Name}
		for _, dependency := range one.DependsOn {
			written.DependsOn = append(written.DependsOn, position[dependency])
		}
		for _, shard := range one.Shards {
			written.Shards = append(written.Shards, len(needs))
			needs = append(needs, query.Need{Ref: shard.Ref, Bundle: shard.Bundle, Service: i})
		}
		services = append(services, written)
	}
	return query.NewPlan(services, needs)
}
