package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// nodeMetrics counts what a node does. Names do not hold routes or services, which
// the operator renames at will and which would grow without bound.
type nodeMetrics struct{ registry observe.Registry }

// sampleSize and sampleDecay are those of an exponentially decaying sample that
// favours the last five minutes, as the library proposes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

func newNodeMetrics() nodeMetrics { return nodeMetrics{registry: observe.NewRegistry()} }

// request counts a request by shape and outcome, with its time in microseconds.
func (m nodeMetrics) request(route *policy.Route, outcome string, took time.Duration) {
	shape := "forward"
	if route.Gather != nil {
		shape = "gather"
	}
	observe.Counter(m.registry, shape+"_requests_"+outcome+"_total").Inc(1)
	sample := m.registry.GetOrRegister(shape+"_request_us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	if histogram, ok := sample.(metrics.Histogram); ok {
		histogram.Update(took.Microseconds())
	}
}

func (m nodeMetrics) extra(cause scatter.Cause) {
	observe.Counter(m.registry, "sends_"+string(cause)+"_total").Inc(1)
}
