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

// worstWindows is the number of worst windows that are averaged.
const worstWindows = 2

// Means are the mean results of several runs of a pattern. Unless stated otherwise, the fields are
// fractions of all requests, 0 to 1.
type Means struct {
	// Credit is the earned fraction of the maximum credit, WorstWindows that of the two worst windows of each run.
	Credit       float64 `json:"credit"`
	WorstWindows float64 `json:"worst_windows"`
	WithinTarget float64 `json:"in_aim"`
	// Complete is the fraction with an answer that lacks no part.
	Complete float64 `json:"whole"`
	Late     float64 `json:"late"`
	Refused  float64 `json:"refused"`
	Failed   float64 `json:"failed"`
	// Rejected is the number of early rejections per request, WronglyRejected that of early rejections of
	// attempts that the replicas could have served within the target latency.
	Rejected        float64 `json:"rejected_tries"`
	WronglyRejected float64 `json:"wrongly_rejected_tries"`
	// Hedges is the fraction of hedges in all arrivals at replicas.
	Hedges float64 `json:"hedges_of_arrivals"`
	// RefusedAgain is the number of refused attempts after the first, per request. OthersCredit is the earned fraction
	// of the credit of all callers but the pattern's repeater.
	RefusedAgain float64 `json:"refused_again"`
	OthersCredit float64 `json:"credit_of_others"`
	// KindCredit is the earned fraction of the credit of each kind, by its name.
	KindCredit map[string]float64 `json:"credit_of_kinds"`

	// RefusedArrivals is the fraction of arrivals that replicas refused.
	RefusedArrivals float64 `json:"refused_arrivals"`
	// Told is the number of observations in messages between nodes per request.
	Told float64 `json:"told_per_request"`

	latencies []time.Duration
}

// RunAll runs a pattern with the seeds from 0 to seeds-1 and returns the means.
func RunAll(p Pattern, options Options, seeds int) Means {
	reports := make([]*Report, seeds)
	slots := make(chan struct{}, runtime.NumCPU())
	var running sync.WaitGroup
	for seed := range reports {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			seeded := options
			seeded.Seed = uint64(seed)
			reports[seed] = Run(p, seeded)
		})
	}
	running.Wait()
	m := Means{KindCredit: map[string]float64{}}
	for _, r := range reports {
		m.add(r, float64(seeds))
	}
	slices.Sort(m.latencies)
	return m
}

func (m *Means) add(r *Report, seeds float64) {
	requests := float64(max(r.All.Requests, 1)) * seeds
	m.Credit += r.All.CreditShare() / seeds
	m.WorstWindows += r.WorstWindows(worstWindows) / seeds
	m.WithinTarget += float64(r.All.WithinTarget) / requests
	m.Complete += float64(r.All.Complete) / requests
	m.Late += float64(r.All.Late) / requests
	m.Refused += float64(r.All.Refused) / requests
	m.Failed += float64(r.All.Failed) / requests
	m.Rejected += float64(r.Rejected) / requests
	m.WronglyRejected += float64(r.WronglyRejected) / requests
	m.Hedges += float64(r.Hedges) / float64(max(r.Arrivals, 1)) / seeds
	m.RefusedArrivals += float64(r.RefusedArrivals) / float64(max(r.Arrivals, 1)) / seeds
	m.RefusedAgain += float64(r.RefusedAgain) / requests
	m.OthersCredit += r.Others.CreditShare() / seeds
	for name, sum := range r.Kinds {
		m.KindCredit[name] += sum.CreditShare() / seeds
	}
	m.Told += float64(r.Told) / requests
	m.latencies = append(m.latencies, r.Latencies...)
}

// MeanLatency returns the mean latency of all answers.
func (m Means) MeanLatency() time.Duration {
	sum := time.Duration(0)
	for _, latency := range m.latencies {
		sum += latency
	}
	return sum / time.Duration(max(len(m.latencies), 1))
}

// Variant holds the results of a pattern with one set of options.
type Variant struct {
	Name  string `json:"name"`
	Means `json:"means"`
}

// Comparison holds the results of a pattern with all mechanisms, with the oracle as the yardstick,
// and with each mechanism disabled in turn.
type Comparison struct {
	Pattern     string    `json:"pattern"`
	Description string    `json:"about"`
	Seeds       int       `json:"seeds"`
	Variants    []Variant `json:"variants"`
}

// FindPattern returns the pattern with the name.
func FindPattern(name string) (Pattern, error) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, nil
		}
	}
	return Pattern{}, &fault.Error{Code: fault.CodeBadRequest, Message: "unknown load pattern " + name, Fix: "run `pistachiopier model` for a list"}
}

// Compare runs all variants of a pattern.
func Compare(p Pattern, seeds int) *Comparison {
	c := &Comparison{Pattern: p.Name, Description: p.Description, Seeds: seeds}
	add := func(name string, options Options) {
		c.Variants = append(c.Variants, Variant{Name: name, Means: RunAll(p, options, seeds)})
	}
	add("the product", Options{})
	add("yardstick", Options{Oracle: true})
	for _, mechanism := range Mechanisms() {
		add("without "+string(mechanism), Options{Without: []Mechanism{mechanism}})
	}
	return c
}

// WriteText writes the means as a table.
func (c *Comparison) WriteText(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%s: %s; %d seeds\n", c.Pattern, c.Description, c.Seeds)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "variant\tcredit\tworst windows\tin aim\twhole\tlate\trefused\tfailed\twrongly rejected\thedges\tagain\tothers")
	for _, v := range c.Variants {
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", v.Name, v.Credit, v.WorstWindows, v.WithinTarget, v.Complete, v.Late, v.Refused, v.Failed, v.WronglyRejected, v.Hedges, v.RefusedAgain, v.OthersCredit)
	}
	_ = table.Flush()
}

// WriteJSON writes the means as JSON.
func (c *Comparison) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(c)
}

// maxPlotted limits the variants in a plot: more curves could not be distinguished.
const maxPlotted = 5

// SVG returns a plot of the latencies of answers by variant.
func (c *Comparison) SVG() string {
	var series []plot.Series
	for _, v := range c.Variants[:min(maxPlotted, len(c.Variants))] {
		curve := plot.Series{Name: v.Name}
		for _, share := range plot.Quantiles() {
			if len(v.latencies) > 0 {
				curve.Latencies = append(curve.Latencies, v.latencies[int(share*float64(len(v.latencies)-1))])
			}
		}
		series = append(series, curve)
	}
	return plot.SVG("answers, "+c.Pattern, series)
}
