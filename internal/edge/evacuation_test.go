package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// requestAll sends queries over all shards to a node, which must be answered with the given number of missing
// parts.
func (h *harness) requestAll(node *node, id string, count int, missing string) {
	h.t.Helper()
	for i := range count {
		response, _ := h.mustRequest(node, http.MethodGet, "/all/x", fmt.Sprint(id, i), "")
		require.Equal(h.t, http.StatusOK, response.StatusCode)
		require.Equal(h.t, missing, response.Header.Get("Pistachiopier-Missing-Parts"))
	}
}

// arrivals counts the requests that replicas received.
func arrivals(replicas ...*platformtest.Replica) int {
	count := 0
	for _, replica := range replicas {
		count += len(replica.Arrivals())
	}
	return count
}

// The operators evacuate a data centre before they switch it off. Requests that still go there, from nodes
// near its replicas or through them from others, would be lost. After the end of the evacuation its replicas
// are used again.
func TestAnEvacuatedDataCentreGetsNothing(t *testing.T) {
	h := newHarness(t)
	var east []*platformtest.Replica
	for _, service := range []string{"s1", "s2", "s3"} {
		east = append(east, h.replica(service, "east", "a"))
		h.replica(service, "west", "a")
	}
	h.serve("east", "west")
	h.requestAll(h.nodes[0], "before", 3, "0")
	require.NotZero(t, arrivals(east...))

	h.store.Evacuate("east")
	for _, node := range h.nodes {
		h.waitForEvent(node, "evacuation_in_force")
	}
	before := arrivals(east...)
	for i, node := range h.nodes {
		_, page := h.get("http://"+node.Settings.MetricsAddress+"/metrics", nil)
		require.Contains(t, page, "\npistachiopier_data_centres_evacuated 1\n")
		h.requestAll(node, fmt.Sprint("during", i), 10, "0")
	}
	require.Equal(t, before, arrivals(east...))

	h.store.EndEvacuation("east")
	h.waitForEvent(h.nodes[0], "evacuation_ended")
	h.requestAll(h.nodes[0], "after", 3, "0")
	require.Greater(t, arrivals(east...), before)
}

// All replicas of one shard are in an evacuated data centre. The evacuation applies: the answer reports the
// missing part, and a lookup that only these replicas could serve is refused at once as not run.
func TestAShardThatIsAllEvacuatedIsLeftOutTruthfully(t *testing.T) {
	h := newHarness(t)
	h.replica("s1", "east", "a")
	h.replica("s2", "west", "b")
	h.replica("s3", "west", "c")
	notes := h.replica("notes", "east", "a note")
	h.serve("west")
	h.store.Evacuate("east")
	h.waitForEvent(h.nodes[0], "evacuation_in_force")
	h.requestAll(h.nodes[0], "r", 3, "1")
	response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "lookup", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Zero(t, notes.Runs("lookup"))
}

// Neither a node that starts during an evacuation nor a node that the store refuses may keep sending: the first
// reads the evacuation with the rest of the store, the second gets it from other nodes. This also holds after
// the store has dropped its history.
func TestAnEvacuationReachesNodesThatTheStoreTurnsAway(t *testing.T) {
	h := newHarness(t)
	east := h.replica("notes", "east", "a note")
	h.replica("notes", "west", "a note")
	h.configure(1)
	h.start("east", "west")
	store, _ := h.startBehindProxies("east")
	h.waitReady()
	store.SetBoth(faultproxy.Faults{Blocked: true})
	h.store.Evacuate("east")
	h.startOne("east", nil)
	for _, node := range h.nodes[2:] {
		h.waitForEvent(node, "evacuation_in_force")
	}
	before := arrivals(east)
	for i, node := range h.nodes[2:] {
		for j := range 5 {
			response, _ := h.mustRequest(node, http.MethodGet, "/plain/x", fmt.Sprint("r", i, j), "")
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	}
	require.Equal(t, before, arrivals(east))
	h.store.EndEvacuation("east")
	h.store.DropHistory()
	for _, node := range h.nodes[2:] {
		h.waitForEvent(node, "evacuation_ended")
	}
}

// Cold replicas crash under the load that warm ones bear. While one of two replicas is cold, the other one
// gets nearly all requests. If the only replica is cold, requests beyond its limit are refused at once as not
// run; queueing them would achieve nothing.
func TestAColdReplicaGetsWhatItsServiceStates(t *testing.T) {
	const perSecond, requests = 4, 30
	h := newHarness(t)
	cold := h.replica("notes", "east", "a note")
	warm := h.replica("notes", "east", "a note")
	only := h.replica("invoices", "east", "done")
	for _, replica := range []*platformtest.Replica{cold, only} {
		entry := replica.Entry("east", platformtest.StateReady)
		entry["warmupLeftMs"] = time.Hour.Milliseconds()
		h.store.Put(replica.Key(), entry)
	}
	config := h.config(1)
	for i := range config.Services {
		config.Services[i].WarmupS, config.Services[i].WarmupPerS = 3, perSecond
	}
	h.store.Publish(config)
	h.start("east")
	h.waitReady()
	began := time.Now()
	refused := 0
	for i := range requests {
		response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		response, _ = h.mustRequest(h.nodes[0], http.MethodPost, "/once/x", fmt.Sprint("o", i), "")
		if response.StatusCode != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.Zero(t, only.Runs(fmt.Sprint("o", i)))
			refused++
		}
	}
	seconds := int(time.Since(began)/time.Second) + 1
	require.LessOrEqual(t, len(cold.Arrivals()), perSecond*seconds)
	require.LessOrEqual(t, len(only.Arrivals()), perSecond*seconds)
	require.Equal(t, requests, len(cold.Arrivals())+len(warm.Arrivals()))
	require.Equal(t, requests, refused+len(only.Arrivals()))
}
