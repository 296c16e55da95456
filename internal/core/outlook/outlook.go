// Package outlook holds a node's expectations: the latency of each route, the behaviour of each replica and the
// remaining budget for extra sends of each service. It plans requests and chooses the replicas that they are
// sent to.
package outlook

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// Outlook holds the expectations of one node. It is not safe for concurrent use.
type Outlook struct {
	Replicas *replica.Table
	Budget   *extra.Budget
	splitter *policy.Splitter
	routes   map[string]*routeLatency
}

// New returns the outlook of a node in a data centre. The random source, which returns 0 to 1, breaks ties
// between replicas.
func New(dataCentre string, regions map[string]string, bound extra.Bound, random func() float64) *Outlook {
	return &Outlook{
		Replicas: replica.NewTable(dataCentre, regions, random),
		Budget:   extra.New(bound),
		splitter: policy.NewSplitter(),
		routes:   map[string]*routeLatency{},
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

// Chooser returns a chooser of replicas for the requests of one route.
func (o *Outlook) Chooser(route *policy.Route) scatter.Chooser {
	typical, _ := o.routeLatency(route).latencies.Quantile(typicalQuantile)
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
	typical, _ := observed.latencies.Quantile(typicalQuantile)
	observed.latencies.Record(took)
	o.Replicas.Answered(incarnation, took, typical, now)
}

// AnsweredLate records an answer that arrived after it was no longer needed. It counts towards the latency of
// the replica, but not of the route.
func (o *Outlook) AnsweredLate(route *policy.Route, incarnation replica.Incarnation, took time.Duration, now core.Time) {
	typical, _ := o.routeLatency(route).latencies.Quantile(typicalQuantile)
	o.Replicas.Answered(incarnation, took, typical, now)
}
