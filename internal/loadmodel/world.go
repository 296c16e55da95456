// Package loadmodel simulates load patterns in virtual time with the production code for decisions:
// nodes, replicas and callers without a network, in seconds for hundreds of seeds. It estimates the
// benefit of a policy before the real programs are measured.
package loadmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/comeback"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// Mechanism names a mechanism of the decisions that can be disabled to measure its benefit.
type Mechanism string

// The mechanisms, with the names used in reports.
const (
	Hedges         Mechanism = "hedges"
	Retries        Mechanism = "retries"
	PartialAnswers Mechanism = "partial answers"
	OverdueMarks   Mechanism = "overdue marks"
	Slowness       Mechanism = "slowness"
	// Pauses predicts the next pause of a replica from those observed.
	Pauses          Mechanism = "pauses"
	Failures        Mechanism = "failures"
	Refusals        Mechanism = "refusals"
	ExtraSendBound  Mechanism = "bound on extra sends"
	EarlyRejection  Mechanism = "early rejection"
	SelectiveHedges Mechanism = "hedges to fast replicas only"
	// Places keeps sends at the node until one of its places at the replica is free.
	Places Mechanism = "places at replicas"
	// Word is what nodes tell each other of replicas.
	Word Mechanism = "word of other nodes"
)

// Mechanisms returns all mechanisms that can be disabled.
func Mechanisms() []Mechanism {
	return []Mechanism{Hedges, Retries, PartialAnswers, OverdueMarks, Pauses, Slowness, Failures, Refusals, ExtraSendBound, EarlyRejection, SelectiveHedges, Places, Word}
}

// Options configure a run of a pattern.
type Options struct {
	Seed uint64
	// Without lists the disabled mechanisms.
	Without []Mechanism
	// Oracle chooses replicas by their actual state.
	Oracle bool
	// HoldAbove lets a node hold a single request while it has that many in flight at each replica; 0 holds none.
	HoldAbove int
	// OracleOfSpeeds chooses replicas by their speeds, their faults and all requests there, without knowledge of noise and
	// pauses.
	OracleOfSpeeds bool
}

func (o Options) without(mechanism Mechanism) bool { return slices.Contains(o.Without, mechanism) }

// apply disables mechanisms in the plan.
func (o Options) apply(plan *scatter.Plan) {
	if o.without(Hedges) {
		plan.HedgeAfter = 0
	}
	if o.without(Retries) {
		plan.MaxReplicas = 1
	}
	if o.without(PartialAnswers) {
		plan.PartialAt = plan.Deadline
	}
}

type simulation struct {
	pattern     Pattern
	options     Options
	clock       clock
	random      *rand.Rand
	upstreams   []*upstream
	byService   map[string][]*upstream
	byID        map[string]*upstream
	nodes       []*node
	routes      map[string]*policy.Route
	helperIndex int
	// requests counts the requests of callers, so that each has a key of its own.
	requests comeback.Key
	report   *Report
}

// maxReplicas limits the replicas of a shard to which a request may be sent.
const maxReplicas = 2

// Run simulates a pattern and returns the report.
func Run(p Pattern, options Options) *Report {
	const stream = 0x9e3779b97f4a7c15
	s := &simulation{
		pattern: p, options: options, random: rand.New(rand.NewPCG(options.Seed, stream)),
		byService: map[string][]*upstream{}, byID: map[string]*upstream{}, routes: map[string]*policy.Route{},
		report: newReport(p),
	}
	s.startUpstreams()
	for _, dataCentre := range p.DataCentres {
		for range dataCentre.Nodes {
			s.nodes = append(s.nodes, newNode(s, dataCentre))
		}
	}
	for _, n := range s.nodes {
		for _, u := range s.upstreams {
			n.places[u] = newPlaces(s, n.id, u)
		}
	}
	for _, fault := range p.Faults {
		s.scheduleFault(fault)
	}
	for _, burst := range p.Bursts {
		s.clock.at(burst.At, func() { s.scheduleBurst(burst) })
	}
	for _, end := range p.NodeEnds {
		s.clock.at(end.At, func() { s.endNode(end.DataCentre) })
	}
	s.startTellers()
	s.scheduleNextRequest()
	s.clock.runUntil(p.Duration + time.Second)
	return s.report
}

func (s *simulation) startUpstreams() {
	var shards []string
	for shard := range s.pattern.Shards {
		service := shardName(shard)
		shards = append(shards, service)
		for _, dataCentre := range s.pattern.DataCentres {
			for i := range dataCentre.Replicas {
				u := &upstream{
					simulation: s, workFactor: 1, speed: s.speed(len(s.byService[service])), phase: time.Duration(s.random.Float64() * float64(s.pattern.PauseInterval)),
					replica: replica.Replica{ID: fmt.Sprintf("%s-%s-%d", service, dataCentre.Name, i), Service: service, DataCentre: dataCentre.Name, Slots: s.pattern.Slots},
				}
				s.upstreams = append(s.upstreams, u)
				s.byService[service] = append(s.byService[service], u)
				s.byID[u.replica.ID] = u
			}
		}
	}
	for _, kind := range s.pattern.Kinds {
		if kind.Once {
			s.routes[kind.Name] = &policy.Route{Name: kind.Name, Timeout: kind.Deadline, TargetLatency: kind.TargetLatency, MaxReplicas: maxReplicas, Shares: []policy.Share{{Service: shards[0], Weight: 1}}}
			continue
		}
		s.routes[kind.Name] = &policy.Route{
			Name: kind.Name, Priority: kind.Priority, Idempotent: true, Timeout: kind.Deadline, TargetLatency: kind.TargetLatency, MaxReplicas: maxReplicas,
			Gather: &policy.Gather{Shards: shards, MinCoverage: kind.MinCoverage},
		}
	}
}

// speed returns the speed of the n-th replica of a shard.
func (s *simulation) speed(n int) float64 {
	if len(s.pattern.Speeds) == 0 {
		return 1
	}
	return s.pattern.Speeds[n%len(s.pattern.Speeds)]
}

func shardName(shard int) string { return fmt.Sprintf("shard-%d", shard) }

func (s *simulation) route(kind Kind) *policy.Route { return s.routes[kind.Name] }

func (s *simulation) nodeCount() int {
	count := 0
	for _, dataCentre := range s.pattern.DataCentres {
		count += dataCentre.Nodes
	}
	return count
}

// connections returns a node's share of a replica's connections, divided as the edge divides them.
func (s *simulation) connections(dataCentre, replicaDataCentre string) int {
	localNodes := 0
	for _, centre := range s.pattern.DataCentres {
		if centre.Name == replicaDataCentre {
			localNodes = centre.Nodes
		}
	}
	return outlook.ConnectionsPerNode(s.pattern.Connections, s.nodeCount(), localNodes, dataCentre == replicaDataCentre)
}

// helper returns the next node of a data centre in round-robin order, or nil.
func (s *simulation) helper(dataCentre string) *node {
	s.helperIndex++
	for i := range s.nodes {
		if n := s.nodes[(s.helperIndex+i)%len(s.nodes)]; n.dataCentre.Name == dataCentre && !n.ended {
			return n
		}
	}
	return nil
}

// scheduleFault schedules the begin and the end of a fault on random replicas.
func (s *simulation) scheduleFault(fault Fault) {
	for _, shard := range s.random.Perm(s.pattern.Shards)[:fault.Shards] {
		affected := s.byService[shardName(shard)]
		if !fault.AllReplicas {
			chosen := make([]*upstream, 0, len(affected))
			for _, i := range s.random.Perm(len(affected))[:max(fault.Replicas, 1)] {
				chosen = append(chosen, affected[i])
			}
			affected = chosen
		}
		for _, u := range affected {
			s.clock.at(fault.At, func() { s.beginFault(u, fault) })
			s.clock.at(fault.At+fault.Duration, func() { s.endFault(u, fault) })
		}
	}
}

// registryTimeout is the time after which the registry removes a replica without heartbeats.
// restartWorkFactor multiplies service times of a restarted replica for restartDuration.
const (
	registryTimeout   = 3600 * time.Millisecond
	restartWorkFactor = 1.6
	restartDuration   = 3 * time.Second
)

func (s *simulation) beginFault(u *upstream, fault Fault) {
	if fault.WorkFactor > 0 {
		u.workFactor *= fault.WorkFactor
	}
	u.refuseShare = max(u.refuseShare, fault.RefuseShare)
	if fault.Down {
		u.crash()
		s.clock.after(registryTimeout, func() {
			for _, n := range s.nodes {
				if u.down {
					n.outlook.Replicas.Remove(u.replica.ID)
				}
			}
		})
	}
}

func (s *simulation) endFault(u *upstream, fault Fault) {
	if fault.WorkFactor > 0 {
		u.workFactor /= fault.WorkFactor
	}
	if fault.RefuseShare > 0 {
		u.refuseShare = 0
	}
	if fault.Down {
		u.down = false
		u.replica.Born++
		u.workFactor *= restartWorkFactor
		s.clock.after(restartDuration, func() { u.workFactor /= restartWorkFactor })
		for _, n := range s.nodes {
			n.outlook.Replicas.Put(u.replica)
		}
	}
}

// drawWork draws the service time of a send: log-normal around the kind's mean, and five times as long
// for one send in a hundred.
func (s *simulation) drawWork(kind Kind) time.Duration {
	const spread, tail, tailTimes = 0.35, 0.01, 5
	work := float64(kind.MeanWork) * math.Exp(spread*s.random.NormFloat64()-spread*spread/2)
	if s.random.Float64() < tail {
		work *= tailTimes
	}
	return time.Duration(work)
}

// scheduleBurst schedules the next request of a burst.
func (s *simulation) scheduleBurst(burst Burst) {
	i := slices.IndexFunc(s.pattern.Kinds, func(k Kind) bool { return k.Name == burst.Kind })
	kind := s.pattern.Kinds[i]
	wait := time.Duration(s.random.ExpFloat64() / (s.pattern.Rate * kind.Share * (burst.Factor - 1)) * float64(time.Second))
	if s.clock.now+wait >= burst.At+burst.Duration {
		return
	}
	s.clock.after(wait, func() {
		s.startRequestOf(kind)
		s.scheduleBurst(burst)
	})
}

// viewDelay is the time after which the other nodes notice that a node has ended.
const viewDelay = time.Second

// endNode ends a node: it gets no further requests, and the others divide its places once they notice.
func (s *simulation) endNode(dataCentre string) {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.dataCentre.Name == dataCentre && !n.ended })
	s.nodes[i].ended = true
	s.clock.after(viewDelay, s.divideAgain)
}

// scheduleNextRequest schedules the next request of a Poisson process.
func (s *simulation) scheduleNextRequest() {
	wait := time.Duration(s.random.ExpFloat64() / (s.pattern.Rate + s.repeaterRate()) * float64(time.Second))
	if s.clock.now+wait >= s.pattern.Duration {
		return
	}
	s.clock.after(wait, func() {
		s.startRequest()
		s.scheduleNextRequest()
	})
}

// repeaterRate returns the requests per second that the repeater sends beyond a usual caller's.
func (s *simulation) repeaterRate() float64 {
	return s.pattern.Rate * max(s.pattern.Repeater.Rate-1, 0) / float64(max(s.pattern.Callers, 1))
}

// drawCaller returns the index of the caller that sends the next request.
func (s *simulation) drawCaller() int {
	if s.pattern.Callers <= 1 {
		return 0
	}
	if s.random.Float64() < s.repeaterRate()/(s.pattern.Rate+s.repeaterRate()) {
		return s.pattern.Callers - 1
	}
	return s.random.IntN(s.pattern.Callers)
}
