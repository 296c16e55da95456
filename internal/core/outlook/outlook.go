// Package outlook is what a node expects: of each route, how long its answers take; of each
// replica, how it answers; of each service, how many further arrivals its bound allows. From it
// come the plan of a request and the replicas that it is sent to.
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
	routes   map[string]*routeTimes
}

// New makes an outlook of a node in a data centre. The random source, 0 to 1, breaks ties
// between replicas.
func New(dataCentre string, regions map[string]string, bound extra.Bound, random func() float64) *Outlook {
	return &Outlook{
		Replicas: replica.NewTable(dataCentre, regions, random),
		Budget:   extra.New(bound),
		splitter: policy.NewSplitter(),
		routes:   map[string]*routeTimes{},
	}
}

// Services names the services that a request on a route goes to, and counts it at each of them.
// It is empty where the route has no service with a weight.
func (o *Outlook) Services(route *policy.Route, now core.Time) []string {
	if route.Gather != nil {
		for _, shard := range route.Gather.Shards {
			o.Budget.Request(shard, now)
		}
		return route.Gather.Shards
	}
	service := o.splitter.Next(route)
	if service == "" {
		return nil
	}
	o.Budget.Request(service, now)
	return []string{service}
}

// Chooser chooses replicas for the requests of one route.
func (o *Outlook) Chooser(route *policy.Route) scatter.Chooser {
	usual, _ := o.times(route).answers.Quantile(usualQuantile)
	return chooser{outlook: o, usual: usual, regions: route.Regions}
}

type chooser struct {
	outlook *Outlook
	usual   time.Duration
	regions []string
}

// Pick implements scatter.Chooser.
func (c chooser) Pick(service string, tried []string, now core.Time) (replica.Choice, bool) {
	return c.outlook.Replicas.Pick(replica.Criteria{Service: service, Tried: tried, Regions: c.regions, TypicalLatency: c.usual}, now)
}

// TakeExtra implements scatter.Chooser.
func (c chooser) TakeExtra(service string, now core.Time) bool {
	return c.outlook.Budget.Take(service, now)
}

// scarceFrom is the part of the bound on extra arrivals from which on they are scarce. Calm days
// spend a quarter of the bound, overloaded ones more than half.
const scarceFrom = 0.5

// ExtraScarce implements scatter.Chooser.
func (c chooser) ExtraScarce(service string, now core.Time) bool {
	return c.outlook.Budget.Used(service, now) > scarceFrom
}

// Answered learns from a whole answer that was waited for.
func (o *Outlook) Answered(route *policy.Route, life replica.Incarnation, took time.Duration, now core.Time) {
	times := o.times(route)
	usual, _ := times.answers.Quantile(usualQuantile)
	times.answers.Record(took)
	o.Replicas.Answered(life, took, usual, now)
}

// AnsweredLate learns from an answer that nobody waited for any more. It says how fast the
// replica is, but not how long answers take that are waited for.
func (o *Outlook) AnsweredLate(route *policy.Route, life replica.Incarnation, took time.Duration, now core.Time) {
	usual, _ := o.times(route).answers.Quantile(usualQuantile)
	o.Replicas.Answered(life, took, usual, now)
}
