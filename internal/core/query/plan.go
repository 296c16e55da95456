// Package query decides how one caller's query is run: which shards are asked when, which index
// version the answer is taken from, and what the answer covers.
//
// docs/design/query.md gives the reasons.
package query

import (
	"math"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Need is one shard that the query needs.
type Need struct {
	Ref     core.ShardRef
	Bundle  core.BundleID
	Service int
}

// ServicePlan is one service of the closure. DependsOn and Shards are indexes into the plan's
// Services and Needs. The number of shards is the service's layout: it determines which data a
// shard number refers to.
type ServicePlan struct {
	Name      string
	DependsOn []int
	Shards    []int
	// dependents are the indexes of the services that depend on this one.
	dependents []int
}

// Plan lists the services and shards that a query needs. Dependencies precede their dependents; the
// last service is the queried one. A plan is immutable, so queries may share it.
type Plan struct {
	Services []ServicePlan
	Needs    []Need
	bundles  int
}

// NewPlan creates a plan from ordered services and their needs.
func NewPlan(services []ServicePlan, needs []Need) *Plan {
	bundles := map[core.BundleID]bool{}
	for _, need := range needs {
		bundles[need.Bundle] = true
	}
	for i := range services {
		for _, dependency := range services[i].DependsOn {
			services[dependency].dependents = append(services[dependency].dependents, i)
		}
	}
	return &Plan{Services: services, Needs: needs, bundles: len(bundles)}
}

// Equal reports whether both plans ask the same shards in the same bundles and order.
func (p *Plan) Equal(other *Plan) bool {
	if len(p.Services) != len(other.Services) || len(p.Needs) != len(other.Needs) {
		return false
	}
	for i := range p.Needs {
		if p.Needs[i] != other.Needs[i] {
			return false
		}
	}
	for i := range p.Services {
		if !sameService(p, i, other, i) {
			return false
		}
	}
	return true
}

// sameService reports whether a service has the same name, layout and direct dependencies in both
// plans.
func sameService(a *Plan, i int, b *Plan, j int) bool {
	first, second := &a.Services[i], &b.Services[j]
	if first.Name != second.Name || len(first.Shards) != len(second.Shards) || len(first.DependsOn) != len(second.DependsOn) {
		return false
	}
	for k := range first.DependsOn {
		if a.Services[first.DependsOn[k]].Name != b.Services[second.DependsOn[k]].Name {
			return false
		}
	}
	return true
}

// Preference is the caller's choice between an early and a whole answer.
type Preference uint8

const (
	// PreferWhole waits for stragglers until the deadline.
	PreferWhole Preference = iota
	// PreferEarly answers as soon as the least coverage is reached and the queried service has
	// answered or cannot answer. A service is asked as soon as its dependencies together reach the
	// least coverage.
	PreferEarly
)

// DefaultEarlyCoverage is the least coverage of an early answer if the caller specifies none: of
// twenty shards, one straggler is not waited for.
const DefaultEarlyCoverage = 0.95

// Budget limits the attempts beyond the first ones.
type Budget interface {
	// AddFirst records n first attempts to a service.
	AddFirst(service string, n int)
	// TakeExtra takes a token for one further attempt of one shard of a service, and reports whether
	// there was one.
	TakeExtra(service string) bool
}

// Options are the parameters of one query.
type Options struct {
	// Deadline is when the caller stops waiting, on this node's clock.
	Deadline core.Time
	// LeastCoverage is the minimum share of shards, 0 to 1, that the caller requires. For an early
	// answer, 0 stands for DefaultEarlyCoverage.
	LeastCoverage float64
	Preference    Preference
	// Preferred is the newest version that all shards are believed to serve, or 0 if nothing is
	// known.
	Preferred core.Version
	// RetryPause is the delay before a shard is asked again. It doubles with each attempt that
	// could not be routed.
	RetryPause time.Duration
	// MaxTries limits how often a shard may fail at one version.
	MaxTries int
	// MaxReroutes limits how often a shard is asked again at one version after it reached no owner
	// that could run it. These attempts put no load on upstreams.
	MaxReroutes int
	// MaxSwitches limits how often the query switches to another version. SwitchReserve is the time
	// before the deadline in which it does not switch.
	MaxSwitches   int
	SwitchReserve time.Duration
	// MaxReplans limits how often the query adopts the plan of a newer configuration.
	MaxReplans int
	// FallbackAfter is how long an owner may stay silent before the next node in the bundle's owner
	// order is asked as well; 0 means never.
	FallbackAfter time.Duration
	// Budget limits retries and fallbacks; nil means no limit.
	Budget Budget
	// Precautions restrict how the shards of the plan are asked.
	Precautions Precautions
}

func (o Options) withDefaults() Options {
	if o.Preference == PreferEarly && o.LeastCoverage <= 0 {
		o.LeastCoverage = DefaultEarlyCoverage
	}
	return o
}

// roundingSlack prevents floating-point error from requiring one shard more, for example if 0.9 of
// 10 is computed as slightly above 9.
const roundingSlack = 1e-9

// minParts returns how many of n shards the least coverage requires.
func (o Options) minParts(n int) int {
	return int(math.Ceil(o.LeastCoverage*float64(n) - roundingSlack))
}
