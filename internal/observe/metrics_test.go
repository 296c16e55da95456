package observe

import (
	"bytes"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestEveryKindOfMetricIsWritten(t *testing.T) {
	registry := NewRegistry()
	Counter(registry, "asked_total").Inc(3)
	Gauge(registry, "depth").Update(7)
	GaugeFunc(registry, "refused_total", func() int64 { return 5 })
	metrics.GetOrRegisterGaugeFloat64("share", registry).Update(0.5)
	metrics.GetOrRegisterTimer("latency_ns", registry).Update(2 * time.Nanosecond)
	histogram := metrics.GetOrRegisterHistogram("size_bytes", registry, metrics.NewUniformSample(10))
	histogram.Update(4)
	histogram.Update(6)
	var out bytes.Buffer
	WriteText(&out, registry)
	for _, line := range []string{
		"# TYPE pistachiopier_asked_total counter\npistachiopier_asked_total 3\n",
		"# TYPE pistachiopier_depth gauge\npistachiopier_depth 7\n",
		"# TYPE pistachiopier_refused_total counter\npistachiopier_refused_total 5\n",
		"pistachiopier_share 0.5\n",
		"pistachiopier_latency_ns_sum 2\npistachiopier_latency_ns_count 1\n",
		"pistachiopier_size_bytes{quantile=\"0.5\"} 5\n",
		"pistachiopier_size_bytes_sum 10\npistachiopier_size_bytes_count 2\n",
	} {
		require.Contains(t, out.String(), line)
	}
}

// Counters that differ only in their labels are one family: a second TYPE line would make a
// scraper reject the whole page.
func TestLabelsShareOneFamily(t *testing.T) {
	registry := NewRegistry()
	Counter(registry, Labelled("asked_total", "service", "b")).Inc(2)
	Counter(registry, Labelled("asked_total", "service", `a"`)).Inc(1)
	metrics.GetOrRegisterHistogram(Labelled("took_us", "shape", "gather"), registry, metrics.NewUniformSample(10)).Update(4)
	var out bytes.Buffer
	WriteText(&out, registry)
	require.Contains(t, out.String(), "# TYPE pistachiopier_asked_total counter\n"+
		"pistachiopier_asked_total{service=\"a\\\"\"} 1\npistachiopier_asked_total{service=\"b\"} 2\n")
	require.Contains(t, out.String(), "pistachiopier_took_us{shape=\"gather\",quantile=\"0.5\"} 4\n")
	require.Contains(t, out.String(), "pistachiopier_took_us_sum{shape=\"gather\"} 4\n")
}
