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

const prefix = "pistachiopier_"

// WriteText writes the registry in the usual text exposition format.
func WriteText(out io.Writer, registry Registry) {
	values := map[string]string{}
	registry.Each(func(name string, value any) {
		switch metric := value.(type) {
		case metrics.Counter:
			values[name] = fmt.Sprintf("# TYPE %s counter\n%s %d\n", prefix+name, prefix+name, metric.Count())
		case metrics.Gauge:
			values[name] = fmt.Sprintf("# TYPE %s gauge\n%s %d\n", prefix+name, prefix+name, metric.Value())
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
