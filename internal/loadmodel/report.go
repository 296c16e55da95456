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
	Asked, InAim, Late, Refused, Failed int
	// Whole counts the answers that lack no part.
	Whole        int
	Owed, Earned float64
}

// Share is the earned part of the credit owed.
func (s Sum) Share() float64 {
	if s.Owed == 0 {
		return 1
	}
	return s.Earned / s.Owed
}

// Report is what came of a play.
type Report struct {
	All     Sum
	Windows []Sum
	// Took are the times after which callers had their answers.
	Took []time.Duration
	// Rejected counts tries that were rejected before anything was sent, WronglyRejected those
	// of them of which enough answers would have come within the aim as things stood.
	Rejected, WronglyRejected int
	// Arrivals counts sends that reached replicas, Hedges those of them that were hedges.
	Arrivals, Hedges int
}

func newReport(p Pattern) *Report {
	return &Report{Windows: make([]Sum, p.Length/window+1)}
}

func (r *Report) sums(c *caller) []*Sum {
	return []*Sum{&r.All, &r.Windows[c.began/window]}
}

func (r *Report) asked(c *caller) {
	for _, s := range r.sums(c) {
		s.Asked++
		s.Owed += c.kind.Worth
	}
}

func (r *Report) earned(c *caller, credit, coverage float64, took core.Time) {
	r.Took = append(r.Took, took)
	for _, s := range r.sums(c) {
		if coverage == 1 {
			s.Whole++
		}
		s.Earned += credit * c.kind.Worth
		if took <= c.kind.Aim {
			s.InAim++
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

// Worst is the mean share of the worst windows that requests came in.
func (r *Report) Worst(count int) float64 {
	shares := make([]float64, 0, len(r.Windows))
	for _, one := range r.Windows {
		if one.Asked > 0 {
			shares = append(shares, one.Share())
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
