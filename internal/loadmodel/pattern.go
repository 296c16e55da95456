package loadmodel

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Kind is one kind of request.
type Kind struct {
	Name string
	// Share is the fraction of all requests that are of this kind.
	Share float64
	// Credit is earned by an answer within TargetLatency; a later one earns the fraction LateCreditShare.
	Credit, LateCreditShare float64
	TargetLatency, Deadline time.Duration
	// MeanWork is the mean service time at a replica of normal speed.
	MeanWork time.Duration
	// MinCoverage is the fraction of shards that an answer needs.
	MinCoverage float64
	// Priority ranks the kind; 0 is the most urgent.
	Priority int
	// Once marks requests to one replica of the only shard that must not be repeated.
	Once bool
}

// Repeater is a caller that sends more than its share, or repeats without waiting.
type Repeater struct {
	// Rate multiplies the rate of its requests: 1 is that of any other caller.
	Rate float64
	// Attempts bounds its attempts of one request; AtOnce makes it ignore the time that it was told.
	Attempts int
	AtOnce   bool
}

// DataCentre is a data centre with nodes of the forwarding tier and a number of replicas of each shard.
type DataCentre struct {
	Name            string
	Nodes, Replicas int
	// CallerShare is the fraction of all requests that come from callers in it.
	CallerShare float64
}

// Fault changes the behaviour of replicas for a time.
type Fault struct {
	At, Duration core.Time
	// Shards is the number of shards affected, chosen at random. AllReplicas affects all their replicas,
	// otherwise Replicas random ones of each, at least one.
	Shards      int
	Replicas    int
	AllReplicas bool
	// WorkFactor multiplies service times, RefuseShare is the fraction of requests refused, Down stops the replica.
	WorkFactor  float64
	RefuseShare float64
	Down        bool
}

// Burst multiplies the rate of one kind of request by Factor for a time.
type Burst struct {
	At, Duration core.Time
	Kind         string
	Factor       float64
}

// NodeEnd ends one node of a data centre.
type NodeEnd struct {
	At         core.Time
	DataCentre string
}

// Noise models other work on a replica's machine: in the fraction Share of the intervals of length
// Interval, requests take WorkFactor times as long. The zero value is none.
type Noise struct {
	Share, WorkFactor float64
	Interval          time.Duration
}

// Pattern is a load with its faults.
type Pattern struct {
	Name, Description string
	DataCentres       []DataCentre
	Kinds             []Kind
	Shards            int
	// Slots and Queue are the capacities of a replica; Connections is its limit over all nodes.
	Slots, Queue, Connections int
	// Each replica pauses for PauseLength in every PauseInterval.
	PauseLength, PauseInterval time.Duration
	// Speeds are the speeds of the replicas of each shard, by turns; empty means that all are of speed 1.
	Speeds []float64
	// Noise slows each replica down for short intervals, independently of the others.
	Noise Noise
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration core.Time
	Faults   []Fault
	Bursts   []Burst
	NodeEnds []NodeEnd
	// Callers is the number of callers with an address of their own, 0 for one. Repeater describes the last of them;
	// its zero value is a caller like the others.
	Callers  int
	Repeater Repeater
}

// searchPattern models a customer's search service: three data centres of which two hold replicas, 20
// shards of two replicas, pauses of 150 ms every 3.6 s, two kinds of requests to all shards. One
// replica has the capacity for about 1.5 times the load of its shard at the normal rate.
func searchPattern() Pattern {
	return Pattern{
		DataCentres: []DataCentre{
			{Name: "a", Nodes: 3, Replicas: 1, CallerShare: 0.37},
			{Name: "b", Nodes: 2, Replicas: 1, CallerShare: 0.28},
			{Name: "c", Nodes: 1, CallerShare: 0.35},
		},
		Kinds: []Kind{
			{Name: "full", Share: 0.75, Credit: 2, LateCreditShare: 0.1, TargetLatency: 120 * time.Millisecond, Deadline: 800 * time.Millisecond, MeanWork: 15 * time.Millisecond, MinCoverage: 0.89},
			{Name: "quick", Share: 0.25, Credit: 1, LateCreditShare: 0.1, TargetLatency: 60 * time.Millisecond, Deadline: 300 * time.Millisecond, MeanWork: 5 * time.Millisecond, MinCoverage: 0.75},
		},
		Shards: 20, Slots: 2, Queue: 12, Connections: 25,
		PauseLength: 150 * time.Millisecond, PauseInterval: 3600 * time.Millisecond,
		Rate: 100, Duration: 20 * time.Second,
	}
}

func searchVariant(name, description string, change func(*Pattern)) Pattern {
	p := searchPattern()
	p.Name, p.Description = name, description
	change(&p)
	return p
}

// largePattern models a grown search service: 180 shards of three replicas in three data centres with
// three nodes each, a light load, pauses of 120 ms every 3 s. A query meets seven paused replicas on
// average and needs nearly all parts.
func largePattern(name, description string, change func(*Pattern)) Pattern {
	p := Pattern{
		Name: name, Description: description,
		DataCentres: []DataCentre{{Name: "a", Nodes: 3, Replicas: 1, CallerShare: 0.34}, {Name: "b", Nodes: 3, Replicas: 1, CallerShare: 0.33}, {Name: "c", Nodes: 3, Replicas: 1, CallerShare: 0.33}},
		Kinds: []Kind{
			{Name: "full", Share: 0.75, Credit: 2, LateCreditShare: 0.1, TargetLatency: 100 * time.Millisecond, Deadline: time.Second, MeanWork: 11 * time.Millisecond, MinCoverage: 0.95},
			{Name: "quick", Share: 0.25, Credit: 1, LateCreditShare: 0.1, TargetLatency: 50 * time.Millisecond, Deadline: 500 * time.Millisecond, MeanWork: 3800 * time.Microsecond, MinCoverage: 0.85},
		},
		Shards: 180, Slots: 3, Queue: 18, Connections: 175,
		PauseLength: 120 * time.Millisecond, PauseInterval: 3 * time.Second,
		Rate: 45, Duration: 12 * time.Second,
	}
	change(&p)
	return p
}

// quickPattern models a search service with a larger share of quick queries: 90 shards of three replicas in
// three of four data centres, two nodes in each. Replicas pause for 200 ms every 4.5 s and share their
// machines with other work, so that a query meets seven slow replicas on average.
func quickPattern() Pattern {
	return Pattern{
		Name: "quick-calm", Description: "90 shards with three replicas, more quick queries, pauses and noise only",
		DataCentres: []DataCentre{
			{Name: "a", Nodes: 2, Replicas: 1, CallerShare: 0.25}, {Name: "b", Nodes: 2, Replicas: 1, CallerShare: 0.25},
			{Name: "c", Nodes: 2, Replicas: 1, CallerShare: 0.25}, {Name: "d", Nodes: 2, CallerShare: 0.25},
		},
		Kinds: []Kind{
			{Name: "full", Share: 0.63, Credit: 2, LateCreditShare: 0.1, TargetLatency: 150 * time.Millisecond, Deadline: 1500 * time.Millisecond, MeanWork: 20 * time.Millisecond, MinCoverage: 0.95},
			{Name: "quick", Share: 0.37, Credit: 1, LateCreditShare: 0.1, TargetLatency: 60 * time.Millisecond, Deadline: 600 * time.Millisecond, MeanWork: 6700 * time.Microsecond, MinCoverage: 0.85},
		},
		Shards: 90, Slots: 2, Queue: 12, Connections: 55,
		PauseLength: 200 * time.Millisecond, PauseInterval: 4500 * time.Millisecond,
		Noise: Noise{Share: 0.03, WorkFactor: 4, Interval: 500 * time.Millisecond},
		Rate:  45, Duration: 30 * time.Second,
	}
}

// rankedPattern models a search service whose most urgent kind is light and whose middle one is heavy: three data centres of
// two nodes, shards of three replicas, one in each. The rates, times and coverages are those of a customer's calendar search.
func rankedPattern(name, description string, change func(*Pattern)) Pattern {
	p := Pattern{
		Name: name, Description: description,
		DataCentres: []DataCentre{{Name: "a", Nodes: 2, Replicas: 1, CallerShare: 0.34}, {Name: "b", Nodes: 2, Replicas: 1, CallerShare: 0.33}, {Name: "c", Nodes: 2, Replicas: 1, CallerShare: 0.33}},
		Kinds: []Kind{
			{Name: "middle", Priority: 1, Share: 0.63, Credit: 1.8, LateCreditShare: 0.05, TargetLatency: 150 * time.Millisecond, Deadline: time.Second, MeanWork: 11 * time.Millisecond, MinCoverage: 0.95},
			{Name: "urgent", Priority: 0, Share: 0.37, Credit: 1.7, LateCreditShare: 0.04, TargetLatency: 50 * time.Millisecond, Deadline: 500 * time.Millisecond, MeanWork: 3800 * time.Microsecond, MinCoverage: 0.85},
		},
		Shards: 40, Slots: 2, Queue: 12, Connections: 65,
		PauseLength: 120 * time.Millisecond, PauseInterval: 3 * time.Second,
		Rate: 80, Duration: 14 * time.Second,
	}
	change(&p)
	return p
}

// patientPattern models a search whose callers wait ten times as long as an answer has its full value, at replicas of which
// a quarter is slow while twice as many callers come: the queues of some shards are longer than the target.
func patientPattern(name, description string, change func(*Pattern)) Pattern {
	p := Pattern{
		Name: name, Description: description,
		DataCentres: []DataCentre{{Name: "a", Nodes: 2, Replicas: 1, CallerShare: 0.34}, {Name: "b", Nodes: 2, Replicas: 1, CallerShare: 0.33}, {Name: "c", Nodes: 2, Replicas: 1, CallerShare: 0.33}},
		Kinds: []Kind{
			{Name: "sweep", Share: 0.75, Credit: 2, LateCreditShare: 0.1, TargetLatency: 300 * time.Millisecond, Deadline: 3 * time.Second, MeanWork: 28 * time.Millisecond, MinCoverage: 0.95, Priority: 1},
			{Name: "check", Share: 0.25, Credit: 1, LateCreditShare: 0.1, TargetLatency: 80 * time.Millisecond, Deadline: 1200 * time.Millisecond, MeanWork: 9200 * time.Microsecond, MinCoverage: 0.85},
		},
		Shards: 45, Slots: 2, Queue: 12, Connections: 88,
		PauseLength: 250 * time.Millisecond, PauseInterval: 6 * time.Second,
		Rate: 85, Duration: 16 * time.Second, Callers: 17,
		Faults: []Fault{
			{At: 4 * time.Second, Duration: 4 * time.Second, Shards: 30, WorkFactor: 8},
			{At: 4 * time.Second, Duration: 4 * time.Second, Shards: 30, WorkFactor: 8},
			{At: 4 * time.Second, Duration: 4 * time.Second, Shards: 15, Down: true},
		},
	}
	change(&p)
	return p
}

// longPattern models single requests of 220 ms that must not be repeated: 14 replicas of two slots in three data centres,
// of three speeds, with pauses and noise, and six nodes, each of which sends to one replica about every three seconds. A
// quarter of the capacity is used.
func longPattern(name, description string, change func(*Pattern)) Pattern {
	p := Pattern{
		Name: name, Description: description,
		DataCentres: []DataCentre{{Name: "a", Nodes: 2, Replicas: 5, CallerShare: 0.34}, {Name: "b", Nodes: 2, Replicas: 5, CallerShare: 0.33}, {Name: "c", Nodes: 2, Replicas: 4, CallerShare: 0.33}},
		Kinds: []Kind{
			{Name: "long", Share: 1, Credit: 1, LateCreditShare: 0.3, TargetLatency: 800 * time.Millisecond, Deadline: 15 * time.Second, MeanWork: 220 * time.Millisecond, Once: true},
		},
		Shards: 1, Slots: 2, Queue: 12, Connections: 732,
		PauseLength: 250 * time.Millisecond, PauseInterval: 6 * time.Second,
		Speeds: []float64{0.8, 1, 1.3},
		Noise:  Noise{Share: 0.15, WorkFactor: 2.5, Interval: 600 * time.Millisecond},
		Rate:   30, Duration: 40 * time.Second,
	}
	change(&p)
	return p
}

// shortShards leaves ranked shards with one replica each, of which none may be missing for all kinds.
func shortShards(p *Pattern) {
	p.Faults = []Fault{{At: time.Second, Duration: 12 * time.Second, Shards: 8, Replicas: 2, Down: true}}
}

// makeAllSlow slows every replica down and adds callers, so that the load exceeds the capacity.
func makeAllSlow(p *Pattern) {
	p.Rate = 120
	p.Faults = []Fault{{At: 4 * time.Second, Duration: 8 * time.Second, Shards: 20, AllReplicas: true, WorkFactor: 2.2}}
}

// Patterns returns all load patterns.
func Patterns() []Pattern {
	return []Pattern{
		largePattern("large-calm", "180 shards with three replicas, pauses only", func(*Pattern) {}),
		largePattern("large-slow", "180 shards with three replicas, one slow replica in 80 of them", func(p *Pattern) {
			p.Faults = []Fault{{At: 2 * time.Second, Duration: 8 * time.Second, Shards: 80, WorkFactor: 8}}
		}),
		largePattern("large-refusing", "180 shards with three replicas, of which one or two refuse 60% of requests at any load in most shards", func(p *Pattern) {
			refuse := Fault{At: 2 * time.Second, Duration: 9 * time.Second, Shards: 140, RefuseShare: 0.6}
			p.Faults = []Fault{refuse, refuse}
		}),
		longPattern("long-uneven", "single requests of 220 ms, replicas of three speeds, pauses and noise", func(*Pattern) {}),
		longPattern("long-slow", "the same at a third of the rate, four replicas are 4.5 times slower for eight seconds", func(p *Pattern) {
			p.Rate = 10.6
			slow := Fault{At: 20 * time.Second, Duration: 8 * time.Second, Shards: 1, WorkFactor: 4.5}
			p.Faults = []Fault{slow, slow, slow, slow}
		}),
		quickPattern(),
		rankedPattern("ranked-short", "one replica left in 8 of 40 shards, an urgent and a middle kind", shortShards),
		rankedPattern("ranked-burst", "one replica left in 8 of 40 shards, the middle kind comes three times as often", func(p *Pattern) {
			shortShards(p)
			p.Bursts = []Burst{{At: 4 * time.Second, Duration: 6 * time.Second, Kind: "middle", Factor: 3}}
		}),
		rankedPattern("five-short", "five of 90 shards have only a slow replica, one more than an answer may lack", func(p *Pattern) {
			p.Shards, p.Rate, p.PauseLength = 90, 40, 0
			for i := range p.DataCentres[1:] {
				p.DataCentres[1+i].Replicas = 0
			}
			p.Faults = []Fault{{At: 3 * time.Second, Duration: 8 * time.Second, Shards: 5, AllReplicas: true, WorkFactor: 8}}
		}),
		rankedPattern("ranked-refusing", "two of three replicas in 80 of 100 shards refuse 60% of requests at any load", func(p *Pattern) {
			p.Shards, p.Rate = 100, 40
			p.Faults = []Fault{{At: 2 * time.Second, Duration: 9 * time.Second, Shards: 80, Replicas: 2, RefuseShare: 0.6}}
		}),
		rankedPattern("ranked-node-ends", "one replica left in 8 of 40 shards, and one of the two nodes near the replicas ends", func(p *Pattern) {
			shortShards(p)
			p.NodeEnds = []NodeEnd{{At: 6 * time.Second, DataCentre: "a"}, {At: 6 * time.Second, DataCentre: "b"}, {At: 6 * time.Second, DataCentre: "c"}}
		}),
		searchVariant("calm", "pauses only", func(*Pattern) {}),
		searchVariant("some-slow", "one slow replica in each of six shards, at about half the usual rate", func(p *Pattern) {
			p.Rate = 54
			p.Faults = []Fault{{At: 4 * time.Second, Duration: 8 * time.Second, Shards: 6, WorkFactor: 11}}
		}),
		searchVariant("refusing", "one replica of each shard refuses 60% of requests at any load", func(p *Pattern) {
			p.Faults = []Fault{{At: 4 * time.Second, Duration: 10 * time.Second, Shards: 20, RefuseShare: 0.6}}
		}),
		searchVariant("short-shards", "one replica of most shards is slow or down, in some shards both are", func(p *Pattern) {
			p.Faults = []Fault{
				{At: 4 * time.Second, Duration: 8 * time.Second, Shards: 8, WorkFactor: 11},
				{At: 5 * time.Second, Duration: 5 * time.Second, Shards: 5, Down: true},
				{At: 6 * time.Second, Duration: 6 * time.Second, Shards: 7, WorkFactor: 9},
			}
		}),
		searchVariant("one-too-few", "one shard is down and two have only slow replicas, where only one more may be missing", func(p *Pattern) {
			p.Faults = []Fault{
				{At: 4 * time.Second, Duration: 6 * time.Second, Shards: 1, AllReplicas: true, Down: true},
				{At: 4 * time.Second, Duration: 6 * time.Second, Shards: 2, AllReplicas: true, WorkFactor: 6},
			}
		}),
		patientPattern("patient", "callers with deadlines of ten targets at shards of which several have one usual replica left", func(*Pattern) {}),
		patientPattern("middle-burst", "three times the requests of the middle priority beside the most urgent", func(p *Pattern) {
			p.Faults = []Fault{{At: 4 * time.Second, Duration: 4 * time.Second, Shards: 30, WorkFactor: 8}}
			p.Bursts = []Burst{{At: 4 * time.Second, Duration: 4 * time.Second, Kind: "sweep", Factor: 3}}
		}),
		searchVariant("repeater", "all-slow with 17 callers, of which one repeats at once and often", func(p *Pattern) {
			makeAllSlow(p)
			p.Callers, p.Repeater = 17, Repeater{Rate: 1, Attempts: 20, AtOnce: true}
		}),
		searchVariant("ten-shares", "all-slow with 17 callers, of which one sends ten times its share", func(p *Pattern) {
			makeAllSlow(p)
			p.Callers, p.Repeater = 17, Repeater{Rate: 10, Attempts: 2}
		}),
		searchVariant("all-slow", "every replica is 2.2 times slower at 20% more load, which exceeds the capacity", makeAllSlow),
	}
}
