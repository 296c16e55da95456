package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/load"
	"github.com/pistachiopier/pistachiopier/internal/plot"
)

// VariantReport holds the figures of a variant over all rounds.
type VariantReport struct {
	Name      string         `json:"name"`
	All       load.Summary   `json:"all"`
	Customers []load.Summary `json:"customers"`
	// AnsweredPartsPerSecond counts the answered shards, not the queries.
	AnsweredPartsPerSecond float64 `json:"answered_parts_per_second"`
	ExtraLoad              float64 `json:"extra_upstream_load"`
	CPUPerPartMicros       float64 `json:"cpu_per_part_us"`
	AllocationsPerPart     float64 `json:"allocations_per_part"`
	PeakConnections        int     `json:"peak_connections_of_a_replica"`
	OpenConnections        int     `json:"connections_held"`
	RefusedConnections     int     `json:"connections_refused"`
}

// Spread is the lowest, median and highest value of a figure over the rounds.
type Spread struct {
	Low    float64 `json:"low"`
	Median float64 `json:"middle"`
	High   float64 `json:"high"`
}

// Ratio compares a variant with the first one, round by round: as ratios, and for Coverage and
// ExtraLoad as differences.
type Ratio struct {
	Name       string `json:"name"`
	P50        Spread `json:"p50"`
	P99        Spread `json:"p99"`
	P999       Spread `json:"p999"`
	CPUPerPart Spread `json:"cpu_per_part"`
	Coverage   Spread `json:"mean_coverage_difference"`
	ExtraLoad  Spread `json:"extra_load_difference"`
}

// Report holds the figures of an experiment.
type Report struct {
	Name     string          `json:"name"`
	About    string          `json:"about"`
	Cores    int             `json:"cores"`
	Rounds   int             `json:"rounds"`
	Variants []VariantReport `json:"variants"`
	Ratios   []Ratio         `json:"ratios_to_the_first"`
	series   []plot.Series
}

// Report computes the figures of a result.
func (r Result) Report() Report {
	report := Report{Name: r.Experiment.Name, About: r.Experiment.About, Cores: r.Cores, Rounds: len(r.Rounds)}
	for i, variant := range r.Experiment.Variants {
		total := r.Total(i)
		report.Variants = append(report.Variants, reportVariant(variant.Name, total, r.Cores))
		report.series = append(report.series, total.Recorder.Series(variant.Name))
		if i > 0 {
			report.Ratios = append(report.Ratios, r.ratio(i))
		}
	}
	return report
}

func reportVariant(name string, total Slice, cores int) VariantReport {
	loadReport := total.Recorder.Report(name, cores)
	return VariantReport{
		Name:                   name,
		All:                    loadReport.All,
		Customers:              loadReport.Customers,
		AnsweredPartsPerSecond: float64(total.Recorder.All.Answered) / max(loadReport.Seconds, 1e-9),
		ExtraLoad:              total.ExtraLoad(),
		CPUPerPartMicros:       float64(total.CPUPerPart().Nanoseconds()) / 1000,
		AllocationsPerPart:     total.AllocationsPerPart(),
		PeakConnections:        total.Connections.Peak,
		OpenConnections:        total.Connections.Open,
		RefusedConnections:     total.Connections.Refused,
	}
}

// ratio compares the variant with the first one in each round.
func (r Result) ratio(variant int) Ratio {
	ratioOf := func(figure func(Slice) float64) Spread {
		return r.spread(variant, func(a, b Slice) float64 { return figure(b) / figure(a) })
	}
	differenceOf := func(figure func(Slice) float64) Spread {
		return r.spread(variant, func(a, b Slice) float64 { return figure(b) - figure(a) })
	}
	quantile := func(q float64) func(Slice) float64 {
		return func(s Slice) float64 { return float64(max(1, s.Recorder.All.Quantile(q))) }
	}
	return Ratio{
		Name:       r.Experiment.Variants[variant].Name,
		P50:        ratioOf(quantile(load.P50)),
		P99:        ratioOf(quantile(load.P99)),
		P999:       ratioOf(quantile(load.P999)),
		CPUPerPart: ratioOf(func(s Slice) float64 { return float64(max(1, s.CPUPerPart())) }),
		Coverage:   differenceOf(func(s Slice) float64 { return s.Recorder.All.MeanCoverage() }),
		ExtraLoad:  differenceOf(Slice.ExtraLoad),
	}
}

func (r Result) spread(variant int, compare func(a, b Slice) float64) Spread {
	values := make([]float64, 0, len(r.Rounds))
	for _, round := range r.Rounds {
		values = append(values, compare(round[0], round[variant]))
	}
	slices.Sort(values)
	return Spread{Low: values[0], Median: values[len(values)/2], High: values[len(values)-1]}
}

// WriteText writes the report as readable text.
func (r Report) WriteText(out io.Writer) {
	fmt.Fprintf(out, "%s: %s\n%d cores, %d rounds, variants alternating\n", r.Name, r.About, r.Cores, r.Rounds)
	fmt.Fprintf(out, "%-26s %8s %7s %8s %8s %8s %9s %7s %7s %7s %8s %7s %6s %6s %8s\n", "",
		"requests", "unsent", "p50 ms", "p99 ms", "p999 ms", "coverage", "thin", "lowest", "extra", "parts/s", "cpu us", "peak", "held", "refused")
	for _, variant := range r.Variants {
		variant.writeText(out)
	}
	for _, ratio := range r.Ratios {
		fmt.Fprintf(out, "%s / %s: p50 %s, p99 %s, p99.9 %s, CPU %s; coverage %+.4f, extra load %+.4f\n", ratio.Name, r.Variants[0].Name,
			ratio.P50, ratio.P99, ratio.P999, ratio.CPUPerPart, ratio.Coverage.Median, ratio.ExtraLoad.Median)
	}
}

func (v VariantReport) writeText(out io.Writer) {
	for i, s := range append([]load.Summary{v.All}, v.Customers...) {
		name := "  " + s.Name
		if i == 0 {
			name = v.Name
		}
		fmt.Fprintf(out, "%-26s %8d %7d %8.2f %8.2f %8.2f %9.4f %7.4f %7.3f", name, s.Requests, s.Unsent, s.P50, s.P99, s.P999, s.MeanCoverage, s.IncompleteShare, s.LowestCoverage)
		if i == 0 {
			fmt.Fprintf(out, " %7.4f %8.0f %7.1f %6d %6d %8d", v.ExtraLoad, v.AnsweredPartsPerSecond, v.CPUPerPartMicros, v.PeakConnections, v.OpenConnections, v.RefusedConnections)
		}
		fmt.Fprintln(out)
	}
	v.All.WriteOutcomes(out, "    ")
}

// String formats the median and the range.
func (s Spread) String() string {
	return fmt.Sprintf("%.2f (%.2f..%.2f)", s.Median, s.Low, s.High)
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return fault.Wrap("write the report", encoder.Encode(r))
}

// SVG plots the latencies of all variants.
func (r Report) SVG() string {
	return plot.SVG(r.Name+": "+r.About, r.series)
}
