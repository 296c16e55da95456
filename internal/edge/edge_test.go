package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/edge"
	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
	"github.com/pistachiopier/pistachiopier/internal/edgefleet"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

func always(act platformtest.Act) func(platformtest.Seen) platformtest.Act {
	return func(platformtest.Seen) platformtest.Act { return act }
}

func TestAForwardChangesNothing(t *testing.T) {
	w := newWorld(t)
	notes := w.replica("notes", "east", "a note")
	w.serve("east")
	response, body := w.ask(w.nodes[0], http.MethodPut, "/plain/a%2Fb//c?x=%20&y", "r1", "the body")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, fmt.Sprintf("%-16s", "a note"), body)
	require.Equal(t, notes.Stamp("r1"), response.Header.Get("Pistachiopier-Server-Stamp"))
	seen := notes.Arrivals()[0]
	require.Equal(t, "PUT /plain/a%2Fb//c?x=%20&y the body", seen.Method+" "+seen.Target+" "+seen.Body)
	require.Equal(t, "r1", seen.ID)
	require.Equal(t, notes.ID, seen.Header.Get("Pistachiopier-Target-Instance"))
	require.LessOrEqual(t, seen.TimeLeft, 1500*time.Millisecond, "the route's time limit is shorter than the caller's")
}

func TestAGatherGivesTheGreatestRecordsAndItsCoverage(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "b", "d", "f")
	w.replica("s2", "east", "a", "f", "c")
	w.serve("east")
	response, body := w.ask(w.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []string{"f", "f", "d"}, strings.Fields(body))
	require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Len(t, strings.Split(response.Header.Get("Pistachiopier-Part-Stamps"), ","), 2)
}

// Half of the shards have lost all their replicas. An answer from the others would look
// like the whole list; and as nothing was sent, "not run" with the time to come back is
// the truth.
func TestATooThinAnswerIsRefusedWithoutRunning(t *testing.T) {
	w := newWorld(t)
	s1 := w.replica("s1", "east", "b")
	w.serve("east")
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, s1.Arrivals())
}

// Two data centres hold the parts. The node in the other one merges its parts before they
// travel; the answer must be the same as from parts that came one by one.
func TestPartsOfAnotherDataCentreAreMergedThere(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "a", "h", "c")
	w.replica("s2", "west", "g", "b", "i")
	w.replica("s3", "west", "e", "j", "d")
	w.serve("east", "west")
	for i := range 5 {
		response, body := w.ask(w.nodes[0], http.MethodGet, "/all/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, []string{"j", "i", "h"}, strings.Fields(body))
		require.Equal(t, "0", response.Header.Get("Pistachiopier-Missing-Parts"))
	}
	require.Len(t, w.replicas[1].Arrivals(), 5)
}

// A replica runs an invoice and its answer is lost. A second send would count the invoice
// twice, and "not run" would make the caller send it again.
func TestALostAnswerIsNeitherRepeatedNorCalledNotRun(t *testing.T) {
	w := newWorld(t)
	first := w.replica("invoices", "east", "done")
	second := w.replica("invoices", "east", "done")
	for _, one := range []*platformtest.Replica{first, second} {
		one.SetAct(always(platformtest.Lose))
	}
	w.serve("east")
	for i := range 6 {
		id := fmt.Sprint("r", i)
		response, _ := w.ask(w.nodes[0], http.MethodPost, "/once/x", id, "total=120")
		runs := map[int]int{http.StatusBadGateway: 1, http.StatusServiceUnavailable: 0}
		wanted, known := runs[response.StatusCode]
		require.True(t, known, "status %d", response.StatusCode)
		require.Equal(t, wanted, first.Runs(id)+second.Runs(id), "status %d", response.StatusCode)
	}
	require.Positive(t, len(first.Arrivals())+len(second.Arrivals()))
}

// Whatever replicas send that is not a whole, signed answer to the request itself must not
// reach a caller as success.
func TestSpoiledAnswersAreNeverSuccess(t *testing.T) {
	for _, act := range []platformtest.Act{platformtest.Cut, platformtest.UnframedReset, platformtest.NoStamp, platformtest.Garbage, platformtest.Lose, platformtest.Fail, platformtest.FalsePromise} {
		w := newWorld(t)
		w.replica("notes", "east", "a note").SetAct(always(act))
		w.serve("east")
		response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", "r1", "")
		require.GreaterOrEqual(t, response.StatusCode, 500, "act %d", act)
		require.NotContains(t, []int{http.StatusServiceUnavailable}, response.StatusCode, "it may have run")
	}
}

func TestARequestThatOneReplicaFailsIsServedByAnother(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note").SetAct(always(platformtest.Fail))
	w.replica("notes", "east", "a note")
	w.serve("east")
	for i := range 4 {
		response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// All replicas fail everything. Each request may be tried again, but the replicas must not
// get a multiple of their load for it.
func TestRetriesOfAFailingServiceKeepTheBound(t *testing.T) {
	w := newWorld(t)
	for range 2 {
		w.replica("notes", "east", "a note").SetAct(always(platformtest.Fail))
	}
	w.serve("east")
	const requests = 150
	for i := range requests {
		w.ask(w.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
	}
	arrivals := len(w.replicas[0].Arrivals()) + len(w.replicas[1].Arrivals())
	require.Greater(t, arrivals, requests)
	require.LessOrEqual(t, arrivals, requests+requests/5+50)
}

// A node starts while the store is down. It knows no route, which is not the same as the
// caller being wrong: 404 would end the request for good.
func TestANodeThatKnowsNothingRefusesAndDoesNotDeny(t *testing.T) {
	w := newWorld(t)
	w.store.SetTrouble(func(string) platformtest.Trouble { return platformtest.Busy })
	w.start("east")
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", "r1", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	status, _ := w.get("http://"+w.nodes[0].Settings.ReadyAddress+"/pistachiopier/ready", nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	w.replica("notes", "east", "a note")
	w.configure(1)
	w.store.SetTrouble(nil)
	w.ready()
	response, _ = w.ask(w.nodes[0], http.MethodGet, "/plain/x", "r2", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	response, _ = w.ask(w.nodes[0], http.MethodGet, "/none/x", "r3", "")
	require.Equal(t, http.StatusNotFound, response.StatusCode)
}

func TestAReplicaThatDrainsGetsNothingMore(t *testing.T) {
	w := newWorld(t)
	leaving := w.replica("notes", "east", "a note")
	w.replica("notes", "east", "a note")
	w.serve("east")
	w.store.Put(leaving.Key(), leaving.Entry("east", "draining"))
	require.Eventually(t, func() bool { return strings.Contains(w.nodes[0].log.String(), "replica_draining") }, patience, time.Millisecond)
	before := len(leaving.Arrivals())
	for i := range 20 {
		response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Len(t, leaving.Arrivals(), before)
}

// An address is given to a replica of another service. The request names the incarnation
// that it means, the new one refuses it, and that is a proof that it has not run.
func TestARequestToAnAddressUsedAgainIsTriedElsewhere(t *testing.T) {
	w := newWorld(t)
	other := w.replica("other", "east", "another service")
	w.replica("invoices", "east", "done")
	gone := other.Entry("east", "ready")
	gone["service"] = "invoices"
	w.store.Put("servers/i-gone", gone)
	w.serve("east")
	for i := range 6 {
		response, _ := w.ask(w.nodes[0], http.MethodPost, "/once/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Zero(t, other.Runs(fmt.Sprint("r", i)))
	}
	require.LessOrEqual(t, len(other.Arrivals()), 1, "each refusal is an arrival at a service that nobody asked for")
}

// One address stands in the settings twice. Were one of the two interfaces left out in silence,
// the node would run and never count as ready.
func TestAnAddressGivenTwiceIsAnError(t *testing.T) {
	free, err := edgefleet.FreeAddresses(3)
	require.NoError(t, err)
	s := &settings.Edge{Node: "vm", CallerAddress: free[0], DirectoryAddress: free[1], ReadyAddress: free[1], PeerAddress: free[2], StoreAddress: "127.0.0.1:1"}
	require.NoError(t, s.Validate())
	app, _ := edge.New(s, io.Discard)
	err = app.Start(t.Context())
	require.Equal(t, fault.CodeAddress, fault.As(err).Code)
	require.NoError(t, app.Stop(context.Background()))
}

func TestLimitsOfTheConfigurationBindCallers(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.serve("east")
	response, _ := w.ask(w.nodes[0], http.MethodPost, "/plain/x", "r1", strings.Repeat("x", 1001))
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	response, _ = w.ask(w.nodes[0], http.MethodPost, "/plain/x", "r2", strings.Repeat("x", 1000))
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// A caller sends half of its body and stops. The node must not hold it for ever, and since
// nothing was sent on, "not run" is the truth.
func TestABodyThatStopsIsGivenUpInTime(t *testing.T) {
	w := newWorld(t)
	notes := w.replica("notes", "east", "a note")
	w.serve("east")
	conn, err := net.Dial("tcp", w.nodes[0].Settings.CallerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /plain/x HTTP/1.1\r\nHost: search.example\r\nPistachiopier-Deadline-Ms: 200\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Empty(t, notes.Arrivals())
}

// A node is told to stop while requests run on connections that callers keep open. Each of
// them gets its whole answer, and the connection is closed with an answer, not under one.
func TestAPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note").SetWork(20 * time.Millisecond)
	w.serve("east", "east")
	leaving := w.nodes[1]
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		w.stop(leaving)
	}()
	closed := false
	for i := 0; !closed; i++ {
		response, body := w.ask(leaving, http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Len(t, body, 16)
		closed = response.Close
	}
	require.Eventually(t, func() bool { return !strings.Contains(w.resolve(w.nodes[0], ""), leaving.Settings.CallerAddress) }, patience, time.Millisecond)
	<-stopped
	require.Contains(t, leaving.log.String(), "node_stopped")
}

// A helper hangs on one part and the answer is given without it. The sends that it was asked
// for must not count as running for ever: their replicas would look full and be avoided.
func TestSendsThatAHelperNeverEndsAreForgotten(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "a")
	w.replica("s2", "east", "b")
	w.replica("s3", "west", "c").SetAct(always(platformtest.Hang))
	w.serve("east", "west")
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Eventually(t, func() bool {
		_, state := w.get("http://"+w.nodes[0].Settings.MetricsAddress+"/dump", nil)
		return strings.Contains(state, `"sends_running":0`)
	}, patience, 5*time.Millisecond)
}

// On call, metrics are all there is besides the logs. Each family stands on the page with a
// value that fits what was just done.
func TestMetricsTellWhatWasDone(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "a")
	w.replica("s2", "west", "b")
	w.replica("s3", "east", "c")
	w.replica("notes", "east", "a note").SetAct(always(platformtest.Shed))
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

// An operator sends the signal to reload without having changed the file, and later names
// another seed in it. Both are answered with a line that says whether anything changed, and
// the node finds the one that only the new seed names.
func TestAReloadIsLoggedAndTakesTheSeeds(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.serve("east")
	first := w.nodes[0]
	same := *first.Settings
	first.Reload(&same)
	require.Eventually(t, func() bool { return strings.Contains(first.log.String(), `"changed":false`) }, patience, time.Millisecond)
	w.startOne("east", func(s *settings.Edge) { s.Seeds = []string{s.PeerAddress} })
	second := w.nodes[1]
	other := *first.Settings
	other.Seeds = []string{second.Settings.PeerAddress}
	first.Reload(&other)
	require.Eventually(t, func() bool { return strings.Contains(first.log.String(), `"changed":true`) }, patience, time.Millisecond)
	w.ready()
}

// A catalogue export of several megabytes is asked for. Held in memory whole, a few at a time
// would end a small VM's process; and when the replica stops in the middle, the caller must
// not take what came for all of it.
func TestALongAnswerIsPassedOnInPieces(t *testing.T) {
	const records = 10 << 20 / 16
	long := make([]string, records)
	for i := range long {
		long[i] = fmt.Sprint("record ", i)
	}
	w := newWorld(t)
	notes := w.replica("notes", "east", long...)
	w.serve("east")
	for i, act := range []platformtest.Act{platformtest.Answer, platformtest.Unframed, platformtest.Answer} {
		notes.SetAct(always(act))
		response, body := w.ask(w.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Len(t, body, 16*records)
		require.Equal(t, fmt.Sprintf("%-16.16s", long[records-1]), body[len(body)-16:])
	}
	for i, act := range []platformtest.Act{platformtest.Cut, platformtest.UnframedReset} {
		notes.SetAct(always(act))
		_, _, err := w.try(w.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("cut", i), "")
		require.Error(t, err, "act %d", act)
	}
	require.Eventually(t, func() bool { return strings.Count(w.nodes[0].log.String(), `"answer_cut"`) == 2 }, patience, time.Millisecond)
}

// A caller asks how long an answer is without wanting it.
func TestAHeadKeepsTheLength(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.serve("east")
	response, body := w.ask(w.nodes[0], http.MethodHead, "/plain/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, body)
	require.EqualValues(t, 16, response.ContentLength)
}

// A node is told to stop while a request waits for a replica that hangs, for longer than the
// time for the stop. Cut off, its caller would not know whether the node or the way to it
// failed, and could not tell this request from one that was never read.
func TestARequestThatOutlastsAStopGetsItsFinalAnswer(t *testing.T) {
	w := newWorld(t)
	invoices := w.replica("invoices", "east", "done")
	invoices.SetAct(always(platformtest.Hang))
	w.serve("east")
	leaving := w.nodes[0]
	answered := make(chan int, 1)
	go func() {
		response, _, err := w.try(leaving, http.MethodPost, "/once/x", "r1", "")
		if err != nil {
			answered <- 0
			return
		}
		answered <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return len(invoices.Arrivals()) == 1 }, patience, time.Millisecond)
	// The route's limit of 1.5 s and the stop's 1.5 s begin at nearly the same time: the stop
	// has to end the request before its own limit would.
	short := *leaving.Settings
	short.StopWait = 600 * time.Millisecond
	leaving.Reload(&short)
	w.stop(leaving)
	require.Equal(t, http.StatusGatewayTimeout, <-answered, "it may have run")
	require.NotContains(t, leaving.log.String(), "stop_cut_short")
}

// A user complains of a list that lacked entries. On call the story of the request must say
// which replica kept the part back, or that there was none, and since when an incomplete
// answer was good enough.
func TestTheStoryOfAPartialAnswerSaysWhyPartsAreMissing(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "a")
	w.replica("s2", "west", "b")
	hanging := w.replica("s3", "west", "c")
	hanging.SetAct(always(platformtest.Hang))
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

// Writers break: an item that is no base64, a configuration that is no JSON or empty, a route
// without a service, replicas whose addresses cannot be dialled. Each is said, the former state
// stays in force, and everything else that is published goes on being read.
func TestBadItemsAreSaidAndHarmNothingElse(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.serve("east")
	node := w.nodes[0]
	served := func() {
		t.Helper()
		response, _ := w.ask(node, http.MethodGet, "/plain/x", "r1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	said := func(event string, times int) {
		t.Helper()
		require.Eventually(t, func() bool { return strings.Count(node.log.String(), `"event":"`+event+`"`) == times }, patience, time.Millisecond, event)
	}
	w.store.PutRaw("op/config", "{no base64}")
	said("config_refused", 1)
	w.store.Put("op/config", "no configuration")
	said("config_refused", 2)
	w.store.Put("op/config", map[string]any{})
	said("config_refused", 3)
	w.store.PutRaw("servers/i-broken", "***")
	w.store.Put("servers/i-portless", map[string]any{"service": "notes", "address": "10.0.0.1", "state": "ready"})
	said("replica_refused", 2)
	served()
	require.Contains(t, w.line(node, "config_refused"), "the configuration cannot be read")
	w.configure(2, route("empty", "/empty/", "idempotent", nil))
	w.inForce(node, 2)
	served()
	response, _ := w.ask(node, http.MethodGet, "/empty/x", "r2", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	w.startOne("east", nil)
	w.ready()
	response, _ = w.ask(w.nodes[1], http.MethodGet, "/plain/x", "r3", "")
	require.Equal(t, http.StatusOK, response.StatusCode, "a node that starts reads past them too")
}
