// Package loadmodel plays load patterns against the product's own decisions in virtual time:
// nodes, replicas and callers without a network, in seconds for hundreds of seeds. It tells what
// a policy is worth before the real programs are measured.
package loadmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// Mechanism is one that can be left out, to see what it is worth.
type Mechanism string

// The mechanisms.
const (
	Hedges   Mechanism = "hedges"
	Retries  Mechanism = "retries"
	Partial  Mechanism = "partial answers"
	Overdue  Mechanism = "overdue marks"
	Slowness Mechanism = "slowness"
	// Pauses expects the next pause of a replica from those that were seen.
	Pauses   Mechanism = "pauses"
	Failures Mechanism = "failures"
	Refusals Mechanism = "refusals"
	Extra    Mechanism = "bound on extra sends"
	Early    Mechanism = "early rejection"
	Reach    Mechanism = "hedges to fast replicas only"
)

// Mechanisms lists those that can be left out.
func Mechanisms() []Mechanism {
	return []Mechanism{Hedges, Retries, Partial, Overdue, Pauses, Slowness, Failures, Refusals, Extra, Early, Reach}
}

// Options change how a pattern is played.
type Options struct {
	Seed uint64
	// Without are the mechanisms left out.
	Without []Mechanism
	// Oracle chooses replicas by what they really do.
	Oracle bool
}

func (o Options) without(one Mechanism) bool { return slices.Contains(o.Without, one) }

// change leaves mechanisms of the plan out.
func (o Options) change(plan *scatter.Plan) {
	if o.without(Hedges) {
		plan.HedgeAfter = 0
	}
	if o.without(Retries) {
		plan.MaxReplicas = 1
	}
	if o.without(Partial) {
		plan.PartialAt = plan.Deadline
	}
}

type world struct {
	pattern   Pattern
	options   Options
	clock     clock
	random    *rand.Rand
	upstreams []*upstream
	byService map[string][]*upstream
	byID      map[string]*upstream
	nodes     []*node
	routes    map[string]*policy.Route
	turn      int
	report    *Report
}

// maxReplicas is how many replicas of a shard a request may be sent to.
const maxReplicas = 2

// Run plays a pattern.
func Run(p Pattern, options Options) *Report {
	const stream = 0x9e3779b97f4a7c15
	w := &world{
		pattern: p, options: options, random: rand.New(rand.NewPCG(options.Seed, stream)),
		byService: map[string][]*upstream{}, byID: map[string]*upstream{}, routes: map[string]*policy.Route{},
		report: newReport(p),
	}
	w.startUpstreams()
	for _, place := range p.Places {
		for range place.Nodes {
			w.nodes = append(w.nodes, newNode(w, place))
		}
	}
	for _, fault := range p.Faults {
		w.strike(fault)
	}
	w.nextCaller()
	w.clock.runUntil(p.Length + time.Second)
	return w.report
}

func (w *world) startUpstreams() {
	var shards []string
	for shard := range w.pattern.Shards {
		service := shardName(shard)
		shards = append(shards, service)
		for _, place := range w.pattern.Places {
			for i := range place.Replicas {
				u := &upstream{
					world: w, slow: 1, phase: time.Duration(w.random.Float64() * float64(w.pattern.PauseEvery)),
					entry: replica.Replica{ID: fmt.Sprintf("%s-%s-%d", service, place.Name, i), Service: service, DataCentre: place.Name, Slots: w.pattern.Slots},
				}
				w.upstreams = append(w.upstreams, u)
				w.byService[service] = append(w.byService[service], u)
				w.byID[u.entry.ID] = u
			}
		}
	}
	for _, kind := range w.pattern.Kinds {
		w.routes[kind.Name] = &policy.Route{
			Name: kind.Name, Idempotent: true, Timeout: kind.Deadline, TargetLatency: kind.Aim, MaxReplicas: maxReplicas,
			Gather: &policy.Gather{Shards: shards, MinCoverage: kind.Least},
		}
	}
}

func shardName(shard int) string { return fmt.Sprintf("shard-%d", shard) }

func (w *world) route(kind Kind) *policy.Route { return w.routes[kind.Name] }

func (w *world) nodeCount() int {
	count := 0
	for _, place := range w.pattern.Places {
		count += place.Nodes
	}
	return count
}

// connections is a node's share of a replica's connections, as the edge divides them.
func (w *world) connections(place, of string) int {
	near := 0
	for _, one := range w.pattern.Places {
		if one.Name == of {
			near = one.Nodes
		}
	}
	return outlook.ConnectionsPerNode(w.pattern.Connections, w.nodeCount(), near, place == of)
}

// helper takes the nodes of a data centre in turn.
func (w *world) helper(place string) *node {
	w.turn++
	for i := range w.nodes {
		if one := w.nodes[(w.turn+i)%len(w.nodes)]; one.place.Name == place {
			return one
		}
	}
	return nil
}

// strike sets a fault on replicas drawn by lot.
func (w *world) strike(fault Fault) {
	for _, shard := range w.random.Perm(w.pattern.Shards)[:fault.Shards] {
		struck := w.byService[shardName(shard)]
		if !fault.Both {
			i := w.random.IntN(len(struck))
			struck = struck[i : i+1]
		}
		for _, u := range struck {
			w.clock.at(fault.At, func() { w.begin(u, fault) })
			w.clock.at(fault.At+fault.For, func() { w.cease(u, fault) })
		}
	}
}

// forgottenAfter is when the registry drops a replica that is silent, restartSlow how much slower
// one is that has just started, for restartFor.
const (
	forgottenAfter = 3600 * time.Millisecond
	restartSlow    = 1.6
	restartFor     = 3 * time.Second
)

func (w *world) begin(u *upstream, fault Fault) {
	if fault.Slow > 0 {
		u.slow *= fault.Slow
	}
	u.refuses = max(u.refuses, fault.Refuses)
	if fault.Down {
		u.crash()
		w.clock.after(forgottenAfter, func() {
			for _, n := range w.nodes {
				if u.down {
					n.outlook.Replicas.Remove(u.entry.ID)
				}
			}
		})
	}
}

func (w *world) cease(u *upstream, fault Fault) {
	if fault.Slow > 0 {
		u.slow /= fault.Slow
	}
	if fault.Refuses > 0 {
		u.refuses = 0
	}
	if fault.Down {
		u.down = false
		u.entry.Born++
		u.slow *= restartSlow
		w.clock.after(restartFor, func() { u.slow /= restartSlow })
		for _, n := range w.nodes {
			n.outlook.Replicas.Put(u.entry)
		}
	}
}

// work draws the work of a send: log-normal around the kind's mean, one in a hundred five times as long.
func (w *world) work(kind Kind) time.Duration {
	const spread, tail, tailTimes = 0.35, 0.01, 5
	work := float64(kind.Work) * math.Exp(spread*w.random.NormFloat64()-spread*spread/2)
	if w.random.Float64() < tail {
		work *= tailTimes
	}
	return time.Duration(work)
}

// nextCaller sets when the next request comes: a Poisson stream.
func (w *world) nextCaller() {
	wait := time.Duration(w.random.ExpFloat64() / w.pattern.Rate * float64(time.Second))
	if w.clock.now+wait >= w.pattern.Length {
		return
	}
	w.clock.after(wait, func() {
		w.call()
		w.nextCaller()
	})
}
