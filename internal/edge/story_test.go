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

// On call, metrics are all there is besides the logs. Each family stands on the page with a
// value that fits what was just done.
func TestMetricsTellWhatWasDone(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "a")
	w.replica("s2", "west", "b")
	w.replica("s3", "east", "c")
	w.replica("notes", "east", "a note").SetBehaviour(always(platformtest.Shed))
	w.serve("east", "west")
	w.ask(w.nodes[0], http.MethodGet, "/all/x", "r1", "")
	w.ask(w.nodes[0], http.MethodGet, "/plain/x", "r2", "")
	_, page := w.get("http://"+w.nodes[0].Settings.MetricsAddress+"/metrics", nil)
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

// A user complains of a list that lacked entries. On call the story of the request must say
// which replica kept the part back, or that there was none, and since when an incomplete
// answer was good enough.
func TestTheStoryOfAPartialAnswerSaysWhyPartsAreMissing(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "a")
	w.replica("s2", "west", "b")
	hanging := w.replica("s3", "west", "c")
	hanging.SetBehaviour(always(platformtest.Hang))
	w.serve("east", "west")
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"))
	line := w.line(w.nodes[0], "part_missing")
	require.Contains(t, line, `"replica":"`+hanging.ID+`"`)
	require.Contains(t, line, `"cause":"not answered yet"`)
	require.Contains(t, line, `"via":"`+w.nodes[1].Settings.PeerAddress+`"`)
	require.Contains(t, w.line(w.nodes[0], "request_ended"), `"partial_from_ms":2`)
	require.Contains(t, w.line(w.nodes[0], "send_withheld"), `"why":"no other replica"`)
	late := 0
	for line := range strings.Lines(w.nodes[0].log.String()) {
		if strings.Contains(line, `"replica_late"`) && strings.Contains(line, hanging.ID) {
			late++
		}
	}
	require.Equal(t, 1, late, "told once a send")
	w.store.Remove(hanging.Key())
	require.Eventually(t, func() bool { return strings.Contains(w.nodes[1].log.String(), "replica_gone") }, patience, time.Millisecond)
	w.ask(w.nodes[1], http.MethodGet, "/all/x", "r2", "")
	require.Contains(t, w.line(w.nodes[1], "part_missing"), `"cause":"no replica to send to"`)
}

// The only replica of a shard stands still while a question waits for it. Whoever asks meanwhile would
// wait in vain for the same: it is told so at once, truthfully, and on call the story names the
// shard, the replica and what was expected of it.
func TestAnEarlyRejectionSaysWhatItRestsOn(t *testing.T) {
	w := newWorld(t)
	hanging := w.replica("s1", "east", "a")
	hanging.SetBehaviour(always(platformtest.Hang))
	other := w.replica("s2", "east", "b")
	w.serve("east")
	w.configure(2, route("both", platformtest.KindIdempotent, gather(3, 1, "s1", "s2")))
	w.inForce(w.nodes[0], 2)
	asked := 0
	// Each ask that is let in waits for the whole of its time, so that there are always some.
	require.Eventually(t, func() bool {
		asked++
		id := fmt.Sprint("r", asked)
		go func() { _, _, _ = w.try(w.nodes[0], http.MethodGet, "/both/x", id, "") }()
		return strings.Contains(w.nodes[0].log.String(), `"part_short"`)
	}, patience, 10*time.Millisecond)
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/both/x", "last", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	for _, seen := range other.Arrivals() {
		require.NotEqual(t, "last", seen.ID, "nothing was sent")
	}
	line := w.line(w.nodes[0], "part_short")
	require.Contains(t, line, `"replica":"`+hanging.ID+`"`)
	require.Contains(t, line, `"service":"s1"`)
	require.Contains(t, line, `"expect_ms":`)
	require.Contains(t, w.nodes[0].log.String(), `"rejected_early":true`)
	_, text := w.get("http://"+w.nodes[0].Settings.MetricsAddress+"/metrics", nil)
	require.Contains(t, text, "requests_rejected_early_total")
}
