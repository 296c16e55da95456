// Package query decides one caller's question: which shards to ask when, which
// index version the answer is drawn from, and what the answer covers.
//
// docs/design/query.md gives the reasons.
package query

import (
	"math"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Need is one shard that the question needs.
type Need struct {
	Ref     core.ShardRef
	Bundle  core.BundleID
	Service int
}

// ServicePlan is one service of the closure. DependsOn and Shards are indexes
// into the plan's Services and Needs. The number of shards is the service's
// layout: it says which data a shard number stands for.
type ServicePlan struct {
	Name      string
	DependsOn []int
	Shards    []int
	// dependents are the services that depend on this one.
	dependents []int
}

// Plan is what a question needs, dependencies before their dependents; the last
// service is the one asked. It is immutable, so questions may share it.
type Plan struct {
	Services []ServicePlan
	Needs    []Need
	bundles  int
}

// NewPlan makes a plan of services in order and their needs.
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

// Equal reports whether both plans ask the same shards in the same bundles and
// order.
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

// sameService reports whether a service has the same name, layout and direct
// dependencies in both plans.
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
	// PreferEarly answers as soon as the least coverage is reached and the
	// service asked has answered or cannot. A service is asked as soon as its
	// dependencies reach the least coverage together.
	PreferEarly
)

// DefaultEarlyCoverage is the least coverage of an early answer whose caller
// states none: one straggler in twenty shards is not waited for.
const DefaultEarlyCoverage = 0.95

// Budget bounds the tries beyond the first ones.
type Budget interface {
	// FirstTry notes n first tries to a service.
	FirstTry(service string, n int)
	// TryExtra takes the right to one more try of one shard of a service.
	TryExtra(service string) bool
}

// Options are the choices of one question.
type Options struct {
	// Deadline is when the caller stops waiting, on this node's clock.
	Deadline core.Time
	// LeastCoverage is the share of shards, 0 to 1, that the caller wants at
	// least. An early answer that states 0 takes DefaultEarlyCoverage.
	LeastCoverage float64
	Preference    Preference
	// Preferred is the newest version that all shards are believed to serve,
	// or 0 when nothing is known.
	Preferred core.Version
	// RetryPause is the wait before a shard is asked again; it doubles each
	// time that the shard could not be routed.
	RetryPause time.Duration
	// MaxTries bounds how often a shard may fail at one version.
	MaxTries int
	// MaxReroutes bounds how often a shard is asked again at one version after
	// it reached nobody who could run it; these tries put no load on upstreams.
	MaxReroutes int
	// MaxSwitches bounds how often the question moves to another version, and
	// SwitchReserve is the time before the deadline in which it does not.
	MaxSwitches   int
	SwitchReserve time.Duration
	// MaxReplans bounds how often the question takes over a newer text.
	MaxReplans int
	// FallbackAfter is how long an owner may stay silent before the next
	// node in the bundle's order is asked as well; 0 is never.
	FallbackAfter time.Duration
	// Budget bounds retries and fallbacks; nil is no bound.
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

// roundingSlack keeps a share such as 0.9 of 10, which floats put a little
// above 9, from asking for one shard more.
const roundingSlack = 1e-9

// leastOf is how many of n shards the least coverage asks for.
func (o Options) leastOf(n int) int {
	return int(math.Ceil(o.LeastCoverage*float64(n) - roundingSlack))
}
