// Package outlook holds a node's expectations: the latency of each route, the behaviour of each replica and the
// remaining budget for extra sends of each service. It plans requests and chooses the replicas that they are
// sent to.
package outlook

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/callers"
	"github.com/pistachiopier/pistachiopier/internal/core/comeback"
	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// Outlook holds the expectations of one node. It is not safe for concurrent use.
type Outlook struct {
	Replicas *replica.Table
	// Callers tells which callers have more than their share.
	Callers *callers.Table
	// Refusals spreads the returns of callers that are refused for a reason other than load.
	Refusals comeback.Schedule
	Budget   *extra.Budget
	splitter *policy.Splitter
	routes   map[string]*routeLatency
	// admissions decide on whole requests, by group.
	admissions map[string]*placement.Admission
	// planned counts the plans of gathered requests, which are spread over short shards in turn.
	planned uint64
}

// New returns the outlook of a node in a data centre. The random source, which returns 0 to 1, breaks ties
// between replicas.
func New(dataCentre string, regions map[string]string, bound extra.Bound, random func() float64) *Outlook {
	return &Outlook{
		Replicas:   replica.NewTable(dataCentre, regions, random),
		Callers:    callers.NewTable(),
		Budget:     extra.New(bound),
		splitter:   policy.NewSplitter(),
		routes:     map[string]*routeLatency{},
		admissions: map[string]*placement.Admission{},
	}
}

// Services returns the services that a request on a route goes to, and counts the request towards the budget
// of each. It is empty if no service of the route has a positive weight.
func (o *Outlook) Services(route *policy.Route, now core.Time) []string {
	if route.Gather != nil {
		for _, shard := range route.Gather.Shards {
			o.Budget.RecordRequest(shard, now)
		}
		return route.Gather.Shards
	}
	service := o.splitter.Next(route)
	if service == "" {
		return nil
	}
	o.Budget.RecordRequest(service, now)
	return []string{service}
}

// admission returns the admission of a group of requests that compete with each other.
func (o *Outlook) admission(group string) *placement.Admission {
	known := o.admissions[group]
	if known == nil {
		if len(o.admissions) >= maxRoutes {
			clear(o.admissions)
		}
		known = &placement.Admission{Returns: comeback.Schedule{Offset: o.Refusals.Offset}}
		o.admissions[group] = known
	}
	return known
}

// ReturnsExpected estimates how many rejected callers were told to return after now.
func (o *Outlook) ReturnsExpected(now core.Time) int {
	count := 0
	for _, admission := range o.admissions {
		count += admission.Returns.Expected(now)
	}
	return count
}

// Chooser returns a chooser of replicas for the requests of one route.
func (o *Outlook) Chooser(route *policy.Route) scatter.Chooser {
	typical, _ := o.routeLatency(route).latencies.Median()
	return chooser{outlook: o, typical: typical, regions: route.Regions}
}

type chooser struct {
	outlook *Outlook
	typical time.Duration
	regions []string
}

// Pick implements scatter.Chooser.
func (c chooser) Pick(service string, tried []string, now core.Time) (replica.Choice, bool) {
	return c.outlook.Replicas.Pick(replica.Criteria{Service: service, Tried: tried, Regions: c.regions, TypicalLatency: c.typical}, now)
}

// Admit implements scatter.Chooser.
func (c chooser) Admit(request placement.Request, forecast placement.Forecast, now core.Time) placement.Outcome {
	outcome := c.outlook.admission(request.Group).Decide(now, request, forecast)
	if outcome.Verdict == placement.Send {
		c.outlook.Callers.Admitted(request.Caller, now)
	}
	return outcome
}

// TakeExtra implements scatter.Chooser.
func (c chooser) TakeExtra(service string, now core.Time) bool {
	return c.outlook.Budget.Take(service, now)
}

// ReturnExtra implements scatter.Chooser.
func (c chooser) ReturnExtra(service string, now core.Time) { c.outlook.Budget.Return(service, now) }

// scarceShare is the used share of the budget above which extra sends are scarce. Days of normal load use a
// quarter of the budget, overloaded ones more than half.
const scarceShare = 0.5

// ExtraScarce implements scatter.Chooser.
func (c chooser) ExtraScarce(service string, now core.Time) bool {
	return c.outlook.Budget.UsedFraction(service, now) > scarceShare
}

// Answered records a complete answer that the request was waiting for.
func (o *Outlook) Answered(route *policy.Route, incarnation replica.Incarnation, took time.Duration, now core.Time) {
	observed := o.routeLatency(route)
	typical, _ := observed.latencies.Median()
	observed.latencies.Record(took)
	o.Replicas.Answered(incarnation, took, typical, now)
}

// AnsweredLate records an answer that arrived after it was no longer needed. It counts towards the latency of
// the replica, but not of the route.
func (o *Outlook) AnsweredLate(route *policy.Route, incarnation replica.Incarnation, took time.Duration, now core.Time) {
	typical, _ := o.routeLatency(route).latencies.Median()
	o.Replicas.Answered(incarnation, took, typical, now)
}
