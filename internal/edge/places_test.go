package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// shortHarness serves two routes of different priority over a service near the entry and one elsewhere, each with one replica.
func shortHarness(t *testing.T) (h *harness, near, far *platformtest.Replica) {
	h = newHarness(t)
	near, far = h.replica("near", "east", "b"), h.replica("far", "west", "a")
	ranked := func(name string, priority int, shards ...string) platformtest.Route {
		return route(name, platformtest.KindIdempotent, func(r *platformtest.Route) {
			r.Gather, r.TopK, r.MinCoverage, r.TimeoutMs, r.TargetLatencyMs, r.Priority = shards, 2, 1, 8000, 7000, priority
		})
	}
	config := platformtest.Config{Version: 1, Limits: platformtest.DefaultLimits(), Routes: []platformtest.Route{
		ranked("urgent", 0, "near", "far"), ranked("patient", 2, "near", "far"),
	}}
	for _, name := range []string{"near", "far"} {
		config.Services = append(config.Services, platformtest.Service{Name: name, MaxConns: 60})
	}
	h.store.Publish(config)
	return h, near, far
}

func arrivedIDs(r *platformtest.Replica) (ids []string) {
	for _, arrival := range r.Arrivals() {
		ids = append(ids, arrival.ID)
	}
	return ids
}

// Guards against an urgent request that waits behind patient ones in a replica's own queue, where nobody can reorder them:
// also at a helper that never saw the callers.
func TestTheMostUrgentRequestGetsTheNextPlace(t *testing.T) {
	h, near, far := shortHarness(t)
	h.start("east", "west")
	h.waitReady()
	entry := h.nodes[0]
	const patient = 8
	for _, r := range []*platformtest.Replica{near, far} {
		r.SetServiceTime(60 * time.Millisecond)
	}
	var running sync.WaitGroup
	request := func(route, id string) {
		running.Go(func() {
			response, _, err := h.request(entry, http.MethodGet, "/"+route+"/x", id, "")
			if err == nil {
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
		})
	}
	for i := range patient {
		request("patient", fmt.Sprint("patient-", i))
	}
	require.Eventually(t, func() bool {
		return strings.Contains(h.metrics(entry), "pistachiopier_places_waiting 7") && len(far.Arrivals()) > 0
	}, waitLimit, time.Millisecond)
	request("urgent", "urgent")
	running.Wait()
	for _, r := range []*platformtest.Replica{near, far} {
		at := slices.Index(arrivedIDs(r), "urgent")
		require.GreaterOrEqual(t, at, 0)
		require.Less(t, at, patient-1, "it does not wait for all of them at %s", r.Service)
	}
}

func (h *harness) metrics(node *node) string {
	_, text := h.get("http://"+node.Settings.MetricsAddress+"/metrics", nil)
	return text
}

// Guards against a request that is told "may have run" where each replica was full: nothing was sent.
func TestARequestWithoutAPlaceHasNotRun(t *testing.T) {
	for path, services := range map[string][]string{"/plain/x": {"notes"}, "/all/x": {"s1", "s2", "s3"}} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t)
			for _, service := range services {
				h.replica(service, "east", "a record").SetBehaviour(always(platformtest.Hang))
			}
			h.serve("east")
			var running sync.WaitGroup
			const requests = 8
			statuses := make([]int, requests)
			for i := range requests {
				running.Go(func() {
					response, _, err := h.request(h.nodes[0], http.MethodGet, path, fmt.Sprint("r", i), "")
					if err == nil {
						statuses[i] = response.StatusCode
					}
				})
			}
			running.Wait()
			var arrived []string
			for _, r := range h.replicas {
				arrived = append(arrived, arrivedIDs(r)...)
			}
			notSent := 0
			for i, status := range statuses {
				if !slices.Contains(arrived, fmt.Sprint("r", i)) {
					notSent++
					require.Equal(t, http.StatusServiceUnavailable, status, "r%d was never sent", i)
				}
			}
			require.Positive(t, notSent, "the replicas' places are bounded")
		})
	}
}

// Guards against requests that stay with a helper which has ended: the entry sees the broken link and sends anew.
func TestClaimsThatWaitAtAnEndedHelperAreMadeAnew(t *testing.T) {
	h, _, far := shortHarness(t)
	h.start("east", "west", "west")
	h.waitReady()
	far.SetServiceTime(100 * time.Millisecond)
	var running sync.WaitGroup
	const requests = 8
	statuses := make([]int, requests)
	for i := range requests {
		running.Go(func() {
			response, _, err := h.request(h.nodes[0], http.MethodGet, "/patient/x", fmt.Sprint("r", i), "")
			if err == nil {
				statuses[i] = response.StatusCode
			}
		})
	}
	require.Eventually(t, func() bool { return len(far.Arrivals()) >= 2 }, waitLimit, time.Millisecond)
	h.stop(h.nodes[2])
	running.Wait()
	for i, status := range statuses {
		require.Equal(t, http.StatusOK, status, "r%d", i)
	}
}

// Guards against requests that are lost with a helper whose replies do not arrive, although it hears the entry, and against
// places that stay in use there.
func TestALinkCutOneWayLeavesNoPlaceInUse(t *testing.T) {
	h, _, far := shortHarness(t)
	h.replica("far", "west", "a")
	h.start("east", "west")
	_, links := h.startBehindProxies("west")
	h.waitReady()
	request := func(id string) int {
		response, _, err := h.request(h.nodes[0], http.MethodGet, "/urgent/x", id, "")
		if err != nil {
			return 0
		}
		return response.StatusCode
	}
	// The bound on extra sends then allows two for each request that meets the cut link.
	const warmRequests = 160
	for i := range warmRequests {
		require.Equal(t, http.StatusOK, request(fmt.Sprint("warm-", i)))
	}
	far.SetServiceTime(30 * time.Millisecond)
	links.Set(faultproxy.ToClient, faultproxy.Faults{Blocked: true})
	var running sync.WaitGroup
	statuses := make([]int, 12)
	for i := range statuses {
		running.Go(func() { statuses[i] = request(fmt.Sprint("r", i)) })
	}
	running.Wait()
	for i, status := range statuses {
		require.Equal(t, http.StatusOK, status, "r%d", i)
	}
	for _, node := range h.nodes {
		require.Eventually(t, func() bool {
			_, dump := h.get("http://"+node.Settings.MetricsAddress+"/dump", nil)
			return strings.Contains(strings.ReplaceAll(dump, " ", ""), `"places":[]`)
		}, waitLimit, 5*time.Millisecond)
	}
}
