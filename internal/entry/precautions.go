package entry

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	corequarantine "github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// precautions converts the standings of a query at the services and shards of its plan.
func (l *loop) precautions(plan *query.Plan, q Query) query.Precautions {
	var precautions query.Precautions
	if l.options.Assessor == nil || l.options.Assessor.Empty() {
		return precautions
	}
	overall := l.options.Assessor.Assess(func() corequarantine.Identity {
		return corequarantine.ClosureQuery(q.Customer, q.Body)
	}, nil)
	precautions.Suspect = overall.Request == corequarantine.Suspect
	if overall.Request == corequarantine.SetAside {
		for need := range plan.Needs {
			precautions.SetAside = addIndex(precautions.SetAside, need)
		}
		return precautions
	}
	for i := range plan.Services {
		service := &plan.Services[i]
		assessment := l.options.Assessor.Assess(func() corequarantine.Identity {
			return corequarantine.ServiceQuery(service.Name, q.Customer, q.Body)
		}, l.plans.shardNames(plan, i))
		if assessment.Request == corequarantine.Suspect {
			precautions.SuspectServices = addIndex(precautions.SuspectServices, i)
		}
		for at, need := range service.Shards {
			switch {
			case assessment.IsSetAside(at):
				precautions.SetAside = addIndex(precautions.SetAside, need)
			case assessment.Shards != nil && assessment.Shards[at] == corequarantine.Suspect:
				precautions.SuspectNeeds = addIndex(precautions.SuspectNeeds, need)
			}
		}
	}
	return precautions
}

func addIndex(indexes map[int]bool, index int) map[int]bool {
	if indexes == nil {
		indexes = map[int]bool{}
	}
	indexes[index] = true
	return indexes
}

// refuseSetAside returns an error if the query is set aside at all shards of the queried service, or at so many shards
// that the caller's least coverage cannot be reached, and nil otherwise.
func refuseSetAside(plan *query.Plan, precautions query.Precautions, least float64) error {
	if len(precautions.SetAside) == 0 {
		return nil
	}
	asked := plan.Services[len(plan.Services)-1].Shards
	remaining := 0
	for _, need := range asked {
		if !precautions.SetAside[need] {
			remaining++
		}
	}
	reachable := float64(len(plan.Needs)-len(precautions.SetAside)) / float64(len(plan.Needs))
	if remaining > 0 && reachable >= least {
		return nil
	}
	return &fault.Error{
		Code: fault.CodeSetAside, Outcome: core.NotRun, Message: "replicas ended each time this query ran",
		Fix: "change the query, or have the service fixed", RetryAfter: corequarantine.RetryAfter,
	}
}
