package observe

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Registry holds the metrics of a process. Names are lower case with underscores and
// end in their unit or in _total.
type Registry = metrics.Registry

// NewRegistry returns an empty registry.
func NewRegistry() Registry { return metrics.NewRegistry() }

// Counter returns the named counter and creates it on first use.
func Counter(registry Registry, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, registry)
}

// Gauge returns the named gauge and creates it on first use.
func Gauge(registry Registry, name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, registry)
}

// GaugeFunc registers a gauge whose value is read when the metrics are written.
func GaugeFunc(registry Registry, name string, read func() int64) {
	_ = registry.Register(name, metrics.NewFunctionalGauge(read))
}

const prefix = "pistachiopier_"

// quantiles are the quantiles written for a histogram or timer.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// labelEscapes holds the three escapes that the text exposition format defines.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Labelled adds labels, given as alternating names and values, to the name of a metric. A
// label must have few values: each value creates a separate metric.
func Labelled(name string, labels ...string) string {
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, labels[i]+`="`+labelEscapes.Replace(labels[i+1])+`"`)
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// WriteText writes the registry in the Prometheus text exposition format, sorted by name.
func WriteText(out io.Writer, registry Registry) {
	values := map[string]any{}
	registry.Each(func(name string, value any) { values[name] = value })
	var b strings.Builder
	previousFamily := ""
	for _, name := range slices.Sorted(maps.Keys(values)) {
		family, labels := splitLabels(name)
		kind, samples := exposition(family, values[name])
		if kind == "" {
			continue
		}
		if family != previousFamily {
			fmt.Fprintf(&b, "# TYPE %s %s\n", prefix+family, kind)
			previousFamily = family
		}
		for _, s := range samples {
			fmt.Fprintf(&b, "%s%s%s %s\n", prefix, family+s.suffix, joinLabels(labels, s.label), s.value)
		}
	}
	_, _ = io.WriteString(out, b.String())
}

// splitLabels splits a name into the metric family and the labels without their braces.
func splitLabels(name string) (family, labels string) {
	family, labels, _ = strings.Cut(name, "{")
	return family, strings.TrimSuffix(labels, "}")
}

func joinLabels(labels, extra string) string {
	switch {
	case labels == "" && extra == "":
		return ""
	case labels == "" || extra == "":
		return "{" + labels + extra + "}"
	default:
		return "{" + labels + "," + extra + "}"
	}
}

// sample is one line of a metric in the exposition format.
type sample struct{ suffix, label, value string }

func exposition(family string, value any) (kind string, samples []sample) {
	switch metric := value.(type) {
	case metrics.Counter:
		return "counter", integerSample(metric.Count())
	case metrics.Gauge:
		return gaugeType(family), integerSample(metric.Value())
	case metrics.GaugeFloat64:
		return "gauge", []sample{{value: fmt.Sprintf("%g", metric.Value())}}
	case metrics.Meter:
		return "counter", integerSample(metric.Snapshot().Count())
	case metrics.Histogram:
		snapshot := metric.Snapshot()
		return "summary", summarySamples(snapshot.Percentiles(quantiles), snapshot.Sum(), snapshot.Count())
	case metrics.Timer:
		snapshot := metric.Snapshot()
		return "summary", summarySamples(snapshot.Percentiles(quantiles), snapshot.Sum(), snapshot.Count())
	default:
		return "", nil
	}
}

func integerSample(value int64) []sample { return []sample{{value: strconv.FormatInt(value, 10)}} }

// gaugeType returns "counter" for a gauge that reads a count kept elsewhere, and else "gauge".
func gaugeType(family string) string {
	if strings.HasSuffix(family, "_total") {
		return "counter"
	}
	return "gauge"
}

func summarySamples(values []float64, sum, count int64) []sample {
	samples := make([]sample, 0, len(quantiles)+2)
	for i, quantile := range quantiles {
		samples = append(samples, sample{label: fmt.Sprintf("quantile=\"%g\"", quantile), value: fmt.Sprintf("%g", values[i])})
	}
	return append(samples, sample{suffix: "_sum", value: strconv.FormatInt(sum, 10)}, sample{suffix: "_count", value: strconv.FormatInt(count, 10)})
}
