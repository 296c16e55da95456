package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/plot"
)

// Summary holds the statistics of a group. Times are in milliseconds, shares 0 to 1.
type Summary struct {
	Name            string         `json:"name"`
	Requests        int            `json:"requests"`
	Unsent          int            `json:"unsent"`
	P50             float64        `json:"p50_ms"`
	P99             float64        `json:"p99_ms"`
	P999            float64        `json:"p999_ms"`
	Highest         float64        `json:"highest_ms"`
	MeanCoverage    float64        `json:"mean_coverage"`
	IncompleteShare float64        `json:"thin_share"`
	LowestCoverage  float64        `json:"lowest_coverage"`
	Mixed           int            `json:"mixed"`
	Crossed         int            `json:"crossed"`
	Outcomes        map[string]int `json:"outcomes"`
	// Missing counts shards without a part by reason.
	Missing map[core.Reason]int `json:"missing,omitempty"`
}

// The quantiles in reports.
const (
	P50  = 0.5
	P99  = 0.99
	P999 = 0.999
)

// Summarize returns the group's statistics under a name.
func (g *Group) Summarize(name string) Summary {
	return Summary{
		Name:            name,
		Requests:        g.Requests,
		Unsent:          g.Unsent,
		P50:             Millis(g.Quantile(P50)),
		P99:             Millis(g.Quantile(P99)),
		P999:            Millis(g.Quantile(P999)),
		Highest:         Millis(g.Quantile(1)),
		MeanCoverage:    g.MeanCoverage(),
		IncompleteShare: g.IncompleteShare(),
		LowestCoverage:  g.LowestCoverage,
		Mixed:           g.Mixed,
		Crossed:         g.Crossed,
		Outcomes:        g.Outcomes,
		Missing:         g.Missing,
	}
}

// Millis returns a duration in milliseconds.
func Millis(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// Report is the result of one load.
type Report struct {
	Title     string    `json:"title"`
	Cores     int       `json:"cores"`
	Seconds   float64   `json:"seconds"`
	All       Summary   `json:"all"`
	Customers []Summary `json:"customers"`
	Services  []Summary `json:"services"`
	series    plot.Series
}

// Report summarizes the recorder; cores is the number of cores of the machine.
func (r *Recorder) Report(title string, cores int) Report {
	return Report{
		Title:     title,
		Cores:     cores,
		Seconds:   r.Elapsed.Seconds(),
		All:       r.All.Summarize("all"),
		Customers: summaries(r.ByClass),
		Services:  summaries(r.ByService),
		series:    r.Series(title),
	}
}

func summaries(groups map[string]*Group) []Summary {
	list := make([]Summary, 0, len(groups))
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		list = append(list, groups[name].Summarize(name))
	}
	return list
}

// Series returns the latency quantiles of all requests for a plot.
func (r *Recorder) Series(name string) plot.Series {
	series := plot.Series{Name: name}
	for _, quantile := range plot.Quantiles() {
		series.Latencies = append(series.Latencies, r.All.Quantile(quantile))
	}
	return series
}

// WriteText writes the report as a table.
func (r Report) WriteText(out io.Writer) {
	fmt.Fprintf(out, "%s: %d requests in %.1f s on %d cores\n", r.Title, r.All.Requests, r.Seconds, r.Cores)
	fmt.Fprintf(out, "%-24s %8s %7s %9s %9s %9s %9s %9s %7s %7s\n",
		"", "requests", "unsent", "p50 ms", "p99 ms", "p99.9 ms", "highest", "coverage", "thin", "lowest")
	for _, group := range [][]Summary{{r.All}, r.Customers, r.Services} {
		for _, summary := range group {
			summary.writeText(out)
		}
	}
	r.All.WriteOutcomes(out, "")
}

// WriteOutcomes writes the counts of outcomes, of missing parts by reason and of wrong
// answers if there were any. Each line starts with the indent.
func (s Summary) WriteOutcomes(out io.Writer, indent string) {
	width := outcomeWidth - len(indent)
	for _, name := range slices.Sorted(maps.Keys(s.Outcomes)) {
		fmt.Fprintf(out, "%soutcome %-*s %d\n", indent, width, name, s.Outcomes[name])
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Missing)) {
		fmt.Fprintf(out, "%smissing %-*s %d\n", indent, width, reason, s.Missing[reason])
	}
	if s.Mixed+s.Crossed > 0 {
		fmt.Fprintf(out, "%sWRONG ANSWERS: %d of mixed versions, %d crossed\n", indent, s.Mixed, s.Crossed)
	}
}

// outcomeWidth is the width in characters of an outcome's name with its indent.
const outcomeWidth = 32

func (s Summary) writeText(out io.Writer) {
	fmt.Fprintf(out, "%-24s %8d %7d %9.2f %9.2f %9.2f %9.2f %9.4f %7.4f %7.3f\n",
		s.Name, s.Requests, s.Unsent, s.P50, s.P99, s.P999, s.Highest, s.MeanCoverage, s.IncompleteShare, s.LowestCoverage)
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return fault.Wrap("write the report", encoder.Encode(r))
}

// SVG returns a plot of the report's latencies.
func (r Report) SVG() string {
	return plot.SVG(r.Title, []plot.Series{r.series})
}
