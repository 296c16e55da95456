package loadmodel

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// window is the span by which credit is told.
const window = 2 * time.Second

// Sum is what some requests were worth.
type Sum struct {
	Asked, WithinTarget, Late, Refused, Failed int
	// Complete counts the answers that lack no part.
	Complete                int
	MaxCredit, EarnedCredit float64
}

// CreditShare is the earned part of the credit owed.
func (s Sum) CreditShare() float64 {
	if s.MaxCredit == 0 {
		return 1
	}
	return s.EarnedCredit / s.MaxCredit
}

// Report is what came of a play.
type Report struct {
	All     Sum
	Windows []Sum
	// Latencies are the times after which callers had their answers.
	Latencies []time.Duration
	// Rejected counts tries that were rejected before anything was sent, WronglyRejected those
	// of them of which enough answers would have come within the aim as things stood.
	Rejected, WronglyRejected int
	// Arrivals counts sends that reached replicas, Hedges those of them that were hedges.
	Arrivals, Hedges int
}

func newReport(p Pattern) *Report {
	return &Report{Windows: make([]Sum, p.Duration/window+1)}
}

func (r *Report) sums(c *caller) []*Sum {
	return []*Sum{&r.All, &r.Windows[c.began/window]}
}

func (r *Report) asked(c *caller) {
	for _, s := range r.sums(c) {
		s.Asked++
		s.MaxCredit += c.kind.Credit
	}
}

func (r *Report) earned(c *caller, credit, coverage float64, took core.Time) {
	r.Latencies = append(r.Latencies, took)
	for _, s := range r.sums(c) {
		if coverage == 1 {
			s.Complete++
		}
		s.EarnedCredit += credit * c.kind.Credit
		if took <= c.kind.TargetLatency {
			s.WithinTarget++
		} else {
			s.Late++
		}
	}
}

func (r *Report) lost(c *caller, refused bool) {
	for _, s := range r.sums(c) {
		if refused {
			s.Refused++
		} else {
			s.Failed++
		}
	}
}

// WorstWindows is the mean share of the worst windows that requests came in.
func (r *Report) WorstWindows(count int) float64 {
	shares := make([]float64, 0, len(r.Windows))
	for _, one := range r.Windows {
		if one.Asked > 0 {
			shares = append(shares, one.CreditShare())
		}
	}
	return meanOfLeast(shares, count)
}

func meanOfLeast(shares []float64, count int) float64 {
	slices.Sort(shares)
	count = min(count, len(shares))
	if count == 0 {
		return 1
	}
	sum := 0.0
	for _, one := range shares[:count] {
		sum += one
	}
	return sum / float64(count)
}
