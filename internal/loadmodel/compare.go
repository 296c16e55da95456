package loadmodel

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/plot"
)

// worstWindows is how many of the worst windows are told together.
const worstWindows = 2

// Means are those of several plays of a pattern. Shares are of all requests, 0 to 1.
type Means struct {
	// Credit is earned over owed, Worst that of the two worst windows of each play.
	Credit       float64 `json:"credit"`
	WorstWindows float64 `json:"worst_windows"`
	WithinTarget float64 `json:"in_aim"`
	// Complete are those whose answer lacks no part.
	Complete float64 `json:"whole"`
	Late     float64 `json:"late"`
	Refused  float64 `json:"refused"`
	Failed   float64 `json:"failed"`
	// Rejected are tries that were rejected early, Wrong those of them that would have been
	// served within the aim as things stood.
	Rejected        float64 `json:"rejected_tries"`
	WronglyRejected float64 `json:"wrongly_rejected_tries"`
	// Hedges is their part of all arrivals.
	Hedges float64 `json:"hedges_of_arrivals"`

	took []time.Duration
}

// RunAll plays a pattern with the seeds 0 to one below seeds.
func RunAll(p Pattern, options Options, seeds int) Means {
	reports := make([]*Report, seeds)
	places := make(chan struct{}, runtime.NumCPU())
	var running sync.WaitGroup
	for seed := range reports {
		running.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			mine := options
			mine.Seed = uint64(seed)
			reports[seed] = Run(p, mine)
		})
	}
	running.Wait()
	var m Means
	for _, r := range reports {
		m.add(r, float64(seeds))
	}
	slices.Sort(m.took)
	return m
}

func (m *Means) add(r *Report, seeds float64) {
	asked := float64(max(r.All.Asked, 1)) * seeds
	m.Credit += r.All.CreditShare() / seeds
	m.WorstWindows += r.WorstWindows(worstWindows) / seeds
	m.WithinTarget += float64(r.All.WithinTarget) / asked
	m.Complete += float64(r.All.Complete) / asked
	m.Late += float64(r.All.Late) / asked
	m.Refused += float64(r.All.Refused) / asked
	m.Failed += float64(r.All.Failed) / asked
	m.Rejected += float64(r.Rejected) / asked
	m.WronglyRejected += float64(r.WronglyRejected) / asked
	m.Hedges += float64(r.Hedges) / float64(max(r.Arrivals, 1)) / seeds
	m.took = append(m.took, r.Latencies...)
}

// Variant is one way to play a pattern.
type Variant struct {
	Name  string `json:"name"`
	Means `json:"means"`
}

// Comparison is a pattern played as the product decides, by the yardstick, and without one
// mechanism after the other.
type Comparison struct {
	Pattern     string    `json:"pattern"`
	Description string    `json:"about"`
	Seeds       int       `json:"seeds"`
	Variants    []Variant `json:"variants"`
}

// FindPattern returns the pattern of a name.
func FindPattern(name string) (Pattern, error) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, nil
		}
	}
	return Pattern{}, &fault.Error{Code: fault.CodeBadRequest, Message: "no pattern is named " + name, Fix: "run `pistachiopier model` for a list"}
}

// Compare plays all variants of a pattern.
func Compare(p Pattern, seeds int) *Comparison {
	c := &Comparison{Pattern: p.Name, Description: p.Description, Seeds: seeds}
	add := func(name string, options Options) {
		c.Variants = append(c.Variants, Variant{Name: name, Means: RunAll(p, options, seeds)})
	}
	add("the product", Options{})
	add("yardstick", Options{Oracle: true})
	for _, one := range Mechanisms() {
		add("without "+string(one), Options{Without: []Mechanism{one}})
	}
	return c
}

// WriteText writes a table.
func (c *Comparison) WriteText(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%s: %s; %d seeds\n", c.Pattern, c.Description, c.Seeds)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "variant\tcredit\tworst windows\tin aim\twhole\tlate\trefused\tfailed\twrongly rejected\thedges")
	for _, v := range c.Variants {
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", v.Name, v.Credit, v.WorstWindows, v.WithinTarget, v.Complete, v.Late, v.Refused, v.Failed, v.WronglyRejected, v.Hedges)
	}
	_ = table.Flush()
}

// WriteJSON writes all figures.
func (c *Comparison) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(c)
}

// pictured are the variants that are drawn: more curves than these cannot be told apart.
const pictured = 5

// SVG draws how long callers waited for their answers.
func (c *Comparison) SVG() string {
	var series []plot.Series
	for _, v := range c.Variants[:min(pictured, len(c.Variants))] {
		one := plot.Series{Name: v.Name}
		for _, share := range plot.Quantiles() {
			if len(v.took) > 0 {
				one.Latencies = append(one.Latencies, v.took[int(share*float64(len(v.took)-1))])
			}
		}
		series = append(series, one)
	}
	return plot.SVG("answers, "+c.Pattern, series)
}
