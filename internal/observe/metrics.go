package observe

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Registry holds a process's metrics. Names are lower case with underscores and
// end in their unit or in _total.
type Registry = metrics.Registry

// NewRegistry makes an empty registry.
func NewRegistry() Registry { return metrics.NewRegistry() }

// Counter returns the named counter, made on first use.
func Counter(registry Registry, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, registry)
}

// Gauge returns the named gauge, made on first use.
func Gauge(registry Registry, name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, registry)
}

// Watch adds a gauge that is read when the metrics are written.
func Watch(registry Registry, name string, read func() int64) {
	_ = registry.Register(name, metrics.NewFunctionalGauge(read))
}

const prefix = "pistachiopier_"

// quantiles are those that a histogram or timer is written with.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteText writes the registry in the usual text exposition format, by name.
func WriteText(out io.Writer, registry Registry) {
	values := map[string]string{}
	registry.Each(func(name string, value any) {
		if text := exposition(prefix+name, value); text != "" {
			values[name] = text
		}
	})
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		b.WriteString(values[name])
	}
	_, _ = io.WriteString(out, b.String())
}

func exposition(name string, value any) string {
	switch metric := value.(type) {
	case metrics.Counter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, metric.Count())
	case metrics.Gauge:
		return fmt.Sprintf("# TYPE %s %s\n%s %d\n", name, gaugeType(name), name, metric.Value())
	case metrics.GaugeFloat64:
		return fmt.Sprintf("# TYPE %s gauge\n%s %g\n", name, name, metric.Value())
	case metrics.Meter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, metric.Snapshot().Count())
	case metrics.Histogram:
		snapshot := metric.Snapshot()
		return summary(name, snapshot.Percentiles(quantiles), snapshot.Sum(), snapshot.Count())
	case metrics.Timer:
		snapshot := metric.Snapshot()
		return summary(name, snapshot.Percentiles(quantiles), snapshot.Sum(), snapshot.Count())
	default:
		return ""
	}
}

// gaugeType is "counter" for a gauge that reads a count kept elsewhere.
func gaugeType(name string) string {
	if strings.HasSuffix(name, "_total") {
		return "counter"
	}
	return "gauge"
}

func summary(name string, values []float64, sum, count int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# TYPE %s summary\n", name)
	for i, quantile := range quantiles {
		fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, quantile, values[i])
	}
	fmt.Fprintf(&b, "%s_sum %d\n%s_count %d\n", name, sum, name, count)
	return b.String()
}
