package edge_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// BenchmarkQuestion is a whole question over the shards of one data centre and of another one, from the
// caller's request to its answer, with stand-ins for the replicas in the same process. A
// processor profile tells the steps apart: `-cpuprofile`, then `go tool pprof -top -cum`.
func BenchmarkQuestion(b *testing.B) {
	for _, shards := range []int{20, 90} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			w := newWorld(b)
			var services []string
			for i := range shards {
				service := fmt.Sprint("shard", i)
				services = append(services, service)
				w.replica(service, []string{"east", "west"}[i%2], "a", "b", "c")
			}
			config := w.config(1, route("wide", platformtest.KindIdempotent, gather(10, 0.95, services...)))
			for _, service := range services {
				config.Services = append(config.Services, platformtest.Service{Name: service, MaxConns: 55})
			}
			w.store.Publish(config)
			w.start("east", "west")
			w.ready()
			asked := 0
			for b.Loop() {
				asked++
				response, _ := w.ask(w.nodes[0], http.MethodGet, "/wide/x", fmt.Sprint("r", asked), "")
				require.Equal(b, http.StatusOK, response.StatusCode)
			}
		})
	}
}
