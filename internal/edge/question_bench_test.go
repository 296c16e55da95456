package edge_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// BenchmarkQuestion measures a query over shards of two data centres, from the caller's request to its
// answer, with stand-ins for the replicas in the same process. A CPU profile separates the steps:
// `-cpuprofile`, then `go tool pprof -top -cum`.
func BenchmarkQuestion(b *testing.B) {
	for _, shards := range []int{20, 90} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			h := newHarness(b)
			var services []string
			for i := range shards {
				service := fmt.Sprint("shard", i)
				services = append(services, service)
				h.replica(service, []string{"east", "west"}[i%2], "a", "b", "c")
			}
			config := h.config(1, route("wide", platformtest.KindIdempotent, gather(10, 0.95, services...)))
			for _, service := range services {
				config.Services = append(config.Services, platformtest.Service{Name: service, MaxConns: 55})
			}
			h.store.Publish(config)
			h.start("east", "west")
			h.waitReady()
			requests := 0
			for b.Loop() {
				requests++
				response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/wide/x", fmt.Sprint("r", requests), "")
				require.Equal(b, http.StatusOK, response.StatusCode)
			}
		})
	}
}
