package loadmodel

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// windowLength is the length of the windows for which credit is reported.
const windowLength = 2 * time.Second

// Sum holds the totals of a set of requests.
type Sum struct {
	Requests, WithinTarget, Late, Refused, Failed int
	// Complete counts answers that lack no part.
	Complete                int
	MaxCredit, EarnedCredit float64
}

// CreditShare returns the earned fraction of the maximum credit.
func (s Sum) CreditShare() float64 {
	if s.MaxCredit == 0 {
		return 1
	}
	return s.EarnedCredit / s.MaxCredit
}

// Report is the result of a run.
type Report struct {
	All Sum
	// Others holds the requests of all callers but the pattern's repeater.
	Others Sum
	// Kinds holds the requests of each kind by its name.
	Kinds map[string]*Sum
	// RefusedAgain counts refusals of attempts after the first.
	RefusedAgain int
	Windows      []Sum
	// Latencies are the latencies of all answers as seen by callers.
	Latencies []time.Duration
	// Rejected counts attempts that were rejected before anything was sent, WronglyRejected those
	// of them for which enough replicas could have answered within the target latency.
	Rejected, WronglyRejected int
	// Arrivals counts the sends to replicas, Hedges the hedges among them.
	Arrivals, Hedges int
	// RefusedArrivals counts the sends that replicas refused, Told the observations in messages between nodes.
	RefusedArrivals, Told int
}

func newReport(p Pattern) *Report {
	r := &Report{Windows: make([]Sum, p.Duration/windowLength+1), Kinds: map[string]*Sum{}}
	for _, kind := range p.Kinds {
		r.Kinds[kind.Name] = &Sum{}
	}
	return r
}

func (r *Report) sums(c *callerRequest) []*Sum {
	sums := []*Sum{&r.All, &r.Windows[c.began/windowLength], r.Kinds[c.kind.Name]}
	if !c.repeats() {
		sums = append(sums, &r.Others)
	}
	return sums
}

func (r *Report) addRequest(c *callerRequest) {
	for _, s := range r.sums(c) {
		s.Requests++
		s.MaxCredit += c.kind.Credit
	}
}

func (r *Report) addAnswer(c *callerRequest, credit, coverage float64, latency core.Time) {
	r.Latencies = append(r.Latencies, latency)
	for _, s := range r.sums(c) {
		if coverage == 1 {
			s.Complete++
		}
		s.EarnedCredit += credit * c.kind.Credit
		if latency <= c.kind.TargetLatency {
			s.WithinTarget++
		} else {
			s.Late++
		}
	}
}

func (r *Report) addFailure(c *callerRequest, refused bool) {
	for _, s := range r.sums(c) {
		if refused {
			s.Refused++
		} else {
			s.Failed++
		}
	}
}

// WorstWindows returns the mean credit share of the given number of worst windows with requests.
func (r *Report) WorstWindows(count int) float64 {
	shares := make([]float64, 0, len(r.Windows))
	for _, window := range r.Windows {
		if window.Requests > 0 {
			shares = append(shares, window.CreditShare())
		}
	}
	return meanOfLowest(shares, count)
}

func meanOfLowest(shares []float64, count int) float64 {
	slices.Sort(shares)
	count = min(count, len(shares))
	if count == 0 {
		return 1
	}
	sum := 0.0
	for _, share := range shares[:count] {
		sum += share
	}
	return sum / float64(count)
}
