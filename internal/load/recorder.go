package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// The range and precision of the latency histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Group holds the measurements of one class of customers, one service or all requests.
type Group struct {
	histogram *hdrhistogram.Histogram
	Requests  int
	// Unsent counts arrivals above the maximum of outstanding requests.
	Unsent   int
	Outcomes map[string]int
	// Missing counts the shards without a part by reason.
	Missing map[core.Reason]int
	// Asked and Answered count shards over all answers.
	Asked    int
	Answered int
	// Incomplete counts the answers that lack a shard.
	Incomplete int
	Mixed      int
	Crossed    int
	// LowestCoverage is the lowest coverage of any answer, 0 to 1.
	LowestCoverage float64
	coverageSum    float64
	answers        int
}

// NewGroup returns an empty group.
func NewGroup() *Group {
	return &Group{
		histogram:      hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		Outcomes:       map[string]int{},
		Missing:        map[core.Reason]int{},
		LowestCoverage: 1,
	}
}

// Quantile returns the latency quantile q, 0 to 1.
func (g *Group) Quantile(q float64) time.Duration {
	const percent = 100
	return time.Duration(g.histogram.ValueAtQuantile(q*percent)) * time.Microsecond
}

// MeanCoverage returns the mean coverage of the answers, 0 to 1.
func (g *Group) MeanCoverage() float64 {
	if g.answers == 0 {
		return 0
	}
	return g.coverageSum / float64(g.answers)
}

// IncompleteShare returns the share of the answers that lack a shard, 0 to 1.
func (g *Group) IncompleteShare() float64 {
	if g.answers == 0 {
		return 0
	}
	return float64(g.Incomplete) / float64(g.answers)
}

func (g *Group) add(latency time.Duration, reply Reply) {
	_ = g.histogram.RecordValue(min(max(latency.Microseconds(), lowestMicros), highestMicros))
	g.Requests++
	g.Outcomes[outcomeName(reply)]++
	if reply.Outcome != core.Done.String() || reply.Asked == 0 {
		return
	}
	for _, reason := range reply.Missing {
		g.Missing[reason]++
	}
	coverage := float64(reply.Answered) / float64(reply.Asked)
	g.answers++
	g.coverageSum += coverage
	g.LowestCoverage = min(g.LowestCoverage, coverage)
	g.Asked += reply.Asked
	g.Answered += reply.Answered
	g.Incomplete += boolToInt(reply.Answered < reply.Asked)
	g.Mixed += boolToInt(reply.Mixed)
	g.Crossed += boolToInt(reply.Crossed)
}

func outcomeName(reply Reply) string {
	if reply.Code == "" {
		return reply.Outcome
	}
	return reply.Outcome + "/" + string(reply.Code)
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Merge adds another group's measurements.
func (g *Group) Merge(other *Group) {
	g.histogram.Merge(other.histogram)
	g.Requests += other.Requests
	g.Unsent += other.Unsent
	g.Asked += other.Asked
	g.Answered += other.Answered
	g.Incomplete += other.Incomplete
	g.Mixed += other.Mixed
	g.Crossed += other.Crossed
	g.coverageSum += other.coverageSum
	g.answers += other.answers
	g.LowestCoverage = min(g.LowestCoverage, other.LowestCoverage)
	for reason, number := range other.Missing {
		g.Missing[reason] += number
	}
	for name, number := range other.Outcomes {
		g.Outcomes[name] += number
	}
}

// Recorder collects the replies of a load. It is safe for concurrent use.
type Recorder struct {
	mutex sync.Mutex
	All   *Group
	// ByClass groups by the class of the mix entries.
	ByClass   map[string]*Group
	ByService map[string]*Group
	Elapsed   time.Duration
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{All: NewGroup(), ByClass: map[string]*Group{}, ByService: map[string]*Group{}}
}

// Merge adds another recorder's measurements; neither may be in use concurrently.
func (r *Recorder) Merge(other *Recorder) {
	r.All.Merge(other.All)
	mergeGroups(r.ByClass, other.ByClass)
	mergeGroups(r.ByService, other.ByService)
	r.Elapsed += other.Elapsed
}

func mergeGroups(into, from map[string]*Group) {
	for name, group := range from {
		groupFor(into, name).Merge(group)
	}
}

func groupFor(groups map[string]*Group, name string) *Group {
	if groups[name] == nil {
		groups[name] = NewGroup()
	}
	return groups[name]
}

func (r *Recorder) groups(entry MixEntry) []*Group {
	return []*Group{r.All, groupFor(r.ByClass, entry.class()), groupFor(r.ByService, entry.Service)}
}

func (r *Recorder) add(entry MixEntry, latency time.Duration, reply Reply) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, group := range r.groups(entry) {
		group.add(latency, reply)
	}
}

func (r *Recorder) addUnsent(entry MixEntry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, group := range r.groups(entry) {
		group.Unsent++
	}
}

func (r *Recorder) addElapsed(elapsed time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Elapsed += elapsed
}
