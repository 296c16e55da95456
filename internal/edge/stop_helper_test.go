package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// Guards against a planned stop that cuts off sends which the node makes for other nodes: their answers would lack parts.
func TestAPlannedStopFinishesDelegatedSends(t *testing.T) {
	h := newHarness(t)
	h.replica("near", "east", "b")
	far := h.replica("far", "west", "a")
	config := platformtest.Config{Version: 1, Limits: platformtest.DefaultLimits(), Routes: []platformtest.Route{
		route("both", platformtest.KindIdempotent, func(r *platformtest.Route) {
			r.Gather, r.TopK, r.MinCoverage, r.TimeoutMs, r.TargetLatencyMs = []string{"near", "far"}, 2, 1, 4000, 4000
		}),
	}}
	for _, name := range []string{"near", "far"} {
		config.Services = append(config.Services, platformtest.Service{Name: name, MaxConns: 20})
	}
	h.store.Publish(config)
	h.start("east", "west")
	h.waitReady()
	entry, helper := h.nodes[0], h.nodes[1]
	response, _ := h.mustRequest(entry, http.MethodGet, "/both/x", "first", "")
	require.Equal(t, http.StatusOK, response.StatusCode)

	// The replica answers after the time for which a stopping node keeps serving, and before the stop must end.
	far.SetServiceTime(helper.Settings.StopWait * 3 / 4)
	status := make(chan int, 1)
	go func() {
		response, _, err := h.request(entry, http.MethodGet, "/both/x", "second", "")
		if err != nil {
			status <- 0
			return
		}
		status <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return len(far.Arrivals()) == 2 }, waitLimit, time.Millisecond)
	h.stop(helper)
	require.Equal(t, http.StatusOK, <-status)
	require.Len(t, far.Arrivals(), 2, "the send is not repeated")
}
