package edge

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// Guards against unbounded metrics. Operators rename shards at each repartition: the metrics of removed
// services must be removed, and the number of services with metrics is bounded.
func TestServicesMetricsAreBounded(t *testing.T) {
	m := newNodeMetrics()
	others := 0
	m.reg.Each(func(string, any) { others++ })
	for i := range maxServices + 10 {
		m.countSend("shard-"+strconv.Itoa(i), scatter.Succeeded, time.Millisecond)
	}
	require.Len(t, m.services, maxServices+1)
	count, _ := m.reg.Get(observe.Labelled("service_sends_total", labelService, otherServices, labelOutcome, outcomeWhole)).(interface{ Count() int64 })
	require.EqualValues(t, 10, count.Count())
	m.setBudgetGauges(map[string]float64{"shard-1": 2, "shard-2": 3})
	m.setBudgetGauges(map[string]float64{"shard-1": 2})
	m.removeServices(func(service string) bool { return service == "shard-1" })
	require.Len(t, m.services, 2)
	names := 0
	m.reg.Each(func(string, any) { names++ })
	require.Equal(t, others+2*(1+len(verdictOutcomes))+1, names)
}

// BenchmarkMetrics measures the cost of metrics for a gathered request of 20 parts.
func BenchmarkMetrics(b *testing.B) {
	m := newNodeMetrics()
	route := &policy.Route{Gather: &policy.Gather{}, Idempotent: true}
	services := make([]string, 20)
	for i := range services {
		services[i] = "shard-" + strconv.Itoa(i)
	}
	b.Run("request", func(b *testing.B) {
		for b.Loop() {
			m.countRequest(route, outcomeWhole, time.Millisecond)
		}
	})
	b.Run("twenty sends", func(b *testing.B) {
		for b.Loop() {
			for _, service := range services {
				m.countSend(service, scatter.Succeeded, time.Millisecond)
			}
		}
	})
}
