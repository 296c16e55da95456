package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// Operators rely on the metrics besides the logs. Each metric must be present with a value that fits the
// preceding requests.
func TestMetricsReflectTheRequests(t *testing.T) {
	h := newHarness(t)
	h.replica("s1", "east", "a")
	h.replica("s2", "west", "b")
	h.replica("s3", "east", "c")
	h.replica("notes", "east", "a note").SetBehaviour(always(platformtest.Shed))
	h.serve("east", "west")
	h.mustRequest(h.nodes[0], http.MethodGet, "/all/x", "r1", "")
	h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "r2", "")
	_, page := h.get("http://"+h.nodes[0].Settings.MetricsAddress+"/metrics", nil)
	for _, line := range []string{
		`requests_total{shape="gather",kind="idempotent",outcome="whole"} 1`,
		`requests_total{shape="forward",kind="idempotent",outcome="refused"} 1`,
		`request_us_count{shape="gather",kind="idempotent",outcome="whole"} 1`,
		`service_sends_total{service="s1",outcome="whole"} 1`,
		`service_sends_total{service="s2",outcome="whole"} 1`,
		`service_send_us_count{service="s1"} 1`,
		`extra_left{service="notes"} `,
		"requests_in_flight 0", "sends_running 0", "delegated_groups_running 0",
		"replica_connections_opened_total ", "replica_connections ", "replica_connection_waiters 0",
		"store_calls_total ", "store_calls_failed_total 0", "copy_reads_from_nodes_total ", "copy_lag_ms ", "beliefs_age_ms ",
		"config_version 1", "store_revision ", "nodes_live 2", "peer_links 1", "peer_links_inbound 1", "log_lines_dropped_total 0",
	} {
		require.Contains(t, page, "\npistachiopier_"+line)
	}
}

// The log of an incomplete answer must state which replica did not return the missing part, or that there was
// none, and since when an incomplete answer was sufficient.
func TestTheLogOfAPartialAnswerSaysWhyPartsAreMissing(t *testing.T) {
	h := newHarness(t)
	h.replica("s1", "east", "a")
	h.replica("s2", "west", "b")
	hanging := h.replica("s3", "west", "c")
	hanging.SetBehaviour(always(platformtest.Hang))
	h.serve("east", "west")
	response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"))
	line := h.waitForEvent(h.nodes[0], "part_missing")
	require.Contains(t, line, `"replica":"`+hanging.ID+`"`)
	require.Contains(t, line, `"cause":"not answered yet"`)
	require.Contains(t, line, `"via":"`+h.nodes[1].Settings.PeerAddress+`"`)
	require.Contains(t, h.waitForEvent(h.nodes[0], "request_ended"), `"partial_from_ms":2`)
	require.Contains(t, h.waitForEvent(h.nodes[0], "send_withheld"), `"why":"no other replica"`)
	late := 0
	for line := range strings.Lines(h.nodes[0].log.String()) {
		if strings.Contains(line, `"replica_late"`) && strings.Contains(line, hanging.ID) {
			late++
		}
	}
	require.Equal(t, 1, late, "logged once for each send")
	h.store.Remove(hanging.Key())
	require.Eventually(t, func() bool { return strings.Contains(h.nodes[1].log.String(), "replica_gone") }, waitLimit, time.Millisecond)
	h.mustRequest(h.nodes[1], http.MethodGet, "/all/x", "r2", "")
	require.Contains(t, h.waitForEvent(h.nodes[1], "part_missing"), `"cause":"no replica to send to"`)
}

// The only replica of a shard hangs while a query waits for it. Further queries would wait in vain: they are
// rejected at once as not run, and the log names the shard, the replica and its expected latency.
func TestAnEarlyRejectionSaysWhatItRestsOn(t *testing.T) {
	h := newHarness(t)
	hanging := h.replica("s1", "east", "a")
	hanging.SetBehaviour(always(platformtest.Hang))
	other := h.replica("s2", "east", "b")
	h.serve("east")
	h.configure(2, route("both", platformtest.KindIdempotent, gather(3, 1, "s1", "s2")))
	h.waitForVersion(h.nodes[0], 2)
	requests := 0
	// Each admitted query waits for its full time limit, so that some are always in flight.
	require.Eventually(t, func() bool {
		requests++
		id := fmt.Sprint("r", requests)
		go func() { _, _, _ = h.request(h.nodes[0], http.MethodGet, "/both/x", id, "") }()
		return strings.Contains(h.nodes[0].log.String(), `"part_short"`)
	}, waitLimit, 10*time.Millisecond)
	response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/both/x", "last", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	for _, seen := range other.Arrivals() {
		require.NotEqual(t, "last", seen.ID, "nothing was sent")
	}
	line := h.waitForEvent(h.nodes[0], "part_short")
	require.Contains(t, line, `"replica":"`+hanging.ID+`"`)
	require.Contains(t, line, `"service":"s1"`)
	require.Contains(t, line, `"expect_ms":`)
	require.Contains(t, h.nodes[0].log.String(), `"rejected_early":true`)
	_, text := h.get("http://"+h.nodes[0].Settings.MetricsAddress+"/metrics", nil)
	require.Contains(t, text, "requests_rejected_early_total")
}

// Guards against an attempt that ends a further replica without a word in the log on what its node knew, and on what showed
// the end.
func TestTheLogSaysWhatWasKnownOfARequestThatEndsReplicas(t *testing.T) {
	h := newDeadlyHarness(t, func(seen platformtest.ReceivedRequest) bool { return seen.Body == "deadly" })
	attempt := deadlyRequest{http.MethodPost, "/once/x", "deadly", "127.0.0.1"}
	h.sendDeadly(h.nodes[0], attempt, "first")
	h.awaitEnded(h.nodes[1], 1)
	h.reviveReplicas()
	h.sendDeadly(h.nodes[1], attempt, "second")
	ended := h.waitForEvent(h.nodes[1], "replica_ended")
	require.Contains(t, ended, `"evidence":"`)
	require.Contains(t, ended, `"id":"second"`)
	for _, field := range []string{`"known_ended":1`, `"standing":"suspect"`, `"trial":true`} {
		require.Eventually(t, func() bool { return strings.Contains(h.nodes[1].log.String(), field) }, waitLimit, time.Millisecond, field)
	}
}
