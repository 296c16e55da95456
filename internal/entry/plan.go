package entry

import (
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
)

// makePlan lists what a question to the service needs, from the text alone.
func makePlan(text *catalog.Catalog, service string) *query.Plan {
	closure := text.Closure(service)
	plan := &query.Plan{}
	position := make(map[string]int, len(closure))
	for i, one := range closure {
		position[one.Name] = i
		written := query.ServicePlan{Name: one.Name}
		for _, dependency := range one.DependsOn {
			written.DependsOn = append(written.DependsOn, position[dependency])
		}
		for _, shard := range one.Shards {
			written.Shards = append(written.Shards, len(plan.Needs))
			plan.Needs = append(plan.Needs, query.Need{Ref: shard.Ref, Bundle: shard.Bundle, Service: i})
		}
		plan.Services = append(plan.Services, written)
	}
	return plan
}
