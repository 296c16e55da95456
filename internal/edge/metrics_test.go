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

// Operators rename shards at each repartition. The metrics of those that are gone must go too,
// and no number of services may make them grow without bound.
func TestServicesMetricsAreBounded(t *testing.T) {
	m := newNodeMetrics()
	for i := range maxServices + 10 {
		m.send("shard-"+strconv.Itoa(i), scatter.Succeeded, time.Millisecond)
	}
	require.Len(t, m.services, maxServices+1)
	count, _ := m.registry.Get(observe.Labelled("service_sends_total", labelService, otherServices, labelOutcome, outcomeWhole)).(interface{ Count() int64 })
	require.EqualValues(t, 10, count.Count())
	m.setBudgets(map[string]float64{"shard-1": 2, "shard-2": 3})
	m.setBudgets(map[string]float64{"shard-1": 2})
	m.forget(func(service string) bool { return service == "shard-1" })
	require.Len(t, m.services, 2)
	names := 0
	m.registry.Each(func(string, any) { names++ })
	require.Equal(t, 2*(1+len(verdictNames))+1, names)
}

// BenchmarkMetrics is what counting costs a gathered request of 20 parts.
func BenchmarkMetrics(b *testing.B) {
	m := newNodeMetrics()
	route := &policy.Route{Gather: &policy.Gather{}, Idempotent: true}
	services := make([]string, 20)
	for i := range services {
		services[i] = "shard-" + strconv.Itoa(i)
	}
	b.Run("request", func(b *testing.B) {
		for b.Loop() {
			m.request(route, outcomeWhole, time.Millisecond)
		}
	})
	b.Run("twenty sends", func(b *testing.B) {
		for b.Loop() {
			for _, one := range services {
				m.send(one, scatter.Succeeded, time.Millisecond)
			}
		}
	})
}
