package edge_test

import (
	"context"
	"fmt"
	"io"
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

// A node that starts while the store is down knows no route. It must not answer 404, which would end the
// request for good.
func TestANodeThatKnowsNothingRefusesAndDoesNotDeny(t *testing.T) {
	h := newHarness(t)
	h.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Busy })
	h.start("east")
	response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "r1", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	status, _ := h.get("http://"+h.nodes[0].Settings.ReadyAddress+"/pistachiopier/ready", nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	h.replica("notes", "east", "a note")
	h.configure(1)
	h.store.SetFault(nil)
	h.waitReady()
	response, _ = h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "r2", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	response, _ = h.mustRequest(h.nodes[0], http.MethodGet, "/none/x", "r3", "")
	require.Equal(t, http.StatusNotFound, response.StatusCode)
}

func TestAReplicaThatDrainsGetsNothingMore(t *testing.T) {
	h := newHarness(t)
	leaving := h.replica("notes", "east", "a note")
	h.replica("notes", "east", "a note")
	h.serve("east")
	h.store.Put(leaving.Key(), leaving.Entry("east", "draining"))
	require.Eventually(t, func() bool { return strings.Contains(h.nodes[0].log.String(), "replica_draining") }, waitLimit, time.Millisecond)
	before := len(leaving.Arrivals())
	for i := range 20 {
		response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Len(t, leaving.Arrivals(), before)
}

// An address is configured twice. If one of the two servers were left out silently, the node would run but
// never become ready.
func TestAnAddressGivenTwiceIsAnError(t *testing.T) {
	sockets := edgefleet.NewSockets()
	t.Cleanup(sockets.Close)
	var free [2]string
	for i := range free {
		address, err := sockets.OpenTCP()
		require.NoError(t, err)
		free[i] = address
	}
	peerAddress, err := sockets.OpenUDP()
	require.NoError(t, err)
	s := &settings.Edge{Node: "vm", CallerAddress: free[0], DirectoryAddress: free[1], ReadyAddress: free[1], PeerAddress: peerAddress, StoreAddress: "127.0.0.1:1"}
	require.NoError(t, s.Validate())
	app, _ := edge.NewOn(s, io.Discard, sockets)
	err = app.Start(t.Context())
	require.Equal(t, fault.CodeAddress, fault.As(err).Code)
	require.NoError(t, app.Stop(context.Background()))
}

// The store contains broken items: invalid base64, a configuration that is no JSON or empty, a route without
// a service, replicas with invalid addresses. Each is logged, the previous state stays in force, and all
// other items are still read.
func TestBadItemsAreLoggedAndAffectNothingElse(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.serve("east")
	node := h.nodes[0]
	requireServed := func() {
		t.Helper()
		response, _ := h.mustRequest(node, http.MethodGet, "/plain/x", "r1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	requireLogged := func(event string, times int) {
		t.Helper()
		require.Eventually(t, func() bool { return strings.Count(node.log.String(), `"event":"`+event+`"`) == times }, waitLimit, time.Millisecond, event)
	}
	h.store.PutRaw("op/config", "{no base64}")
	requireLogged("config_refused", 1)
	h.store.Put("op/config", "no configuration")
	requireLogged("config_refused", 2)
	h.store.Put("op/config", map[string]any{})
	requireLogged("config_refused", 3)
	h.store.PutRaw("servers/i-broken", "***")
	h.store.Put("servers/i-portless", map[string]any{"service": "notes", "address": "10.0.0.1", "state": "ready"})
	requireLogged("replica_refused", 2)
	requireServed()
	require.Contains(t, h.waitForEvent(node, "config_refused"), "the configuration cannot be read")
	h.configure(2, route("empty", platformtest.KindIdempotent, func(*platformtest.Route) {}))
	h.waitForVersion(node, 2)
	requireServed()
	response, _ := h.mustRequest(node, http.MethodGet, "/empty/x", "r2", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	h.startOne("east", nil)
	h.waitReady()
	response, _ = h.mustRequest(h.nodes[1], http.MethodGet, "/plain/x", "r3", "")
	require.Equal(t, http.StatusOK, response.StatusCode, "a node that starts reads past them too")
}

// A replica drains, ends unseen and restarts under its id while a node's copy of the store is outdated. New
// requests go to the new incarnation as soon as it is listed. A request sent to the former one ends at once;
// if it must not be repeated, it is neither repeated nor reported as not run.
func TestAReplicaThatStartsAgainUnderItsIDIsNew(t *testing.T) {
	h := newHarness(t)
	former := h.replica("invoices", "east")
	listed := func(replica *platformtest.Replica, born int64, state string) {
		entry := replica.Entry("east", state)
		entry["born"] = born
		h.store.Put(former.Key(), entry)
	}
	listed(former, 1000, platformtest.StateReady)
	h.serve("east")
	h.configure(2, route("once", platformtest.KindNonIdempotent, to("invoices")))
	h.waitForVersion(h.nodes[0], 2)
	former.SetBehaviour(always(platformtest.Hang))
	status := make(chan int, 1)
	go func() {
		response, _, err := h.request(h.nodes[0], http.MethodPost, "/once/x", "r1", "invoice")
		if err != nil {
			status <- 0
			return
		}
		status <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return len(former.Arrivals()) == 1 }, waitLimit, time.Millisecond)
	again, err := platformtest.StartReplica(former.ID, "invoices", []byte("again"))
	require.NoError(t, err)
	defer again.Close()
	listed(former, 1000, platformtest.StateDraining)
	listed(again, 2000, platformtest.StateReady)
	require.Equal(t, http.StatusBadGateway, <-status, "it may have run")
	require.Empty(t, again.Arrivals(), "it is not repeated")
	h.waitForEvent(h.nodes[0], "replica_restarted")
	listed(former, 1000, platformtest.StateDraining)
	h.waitForEvent(h.nodes[0], "replica_report_outdated")
	response, body := h.mustRequest(h.nodes[0], http.MethodPost, "/once/x", "r2", "invoice")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "again", body)
}

// Another program overwrites the entry of a live replica with an entry that names none. Requests of its service
// no longer go there, all others continue, and the dump shows the entry until it is valid again.
func TestAnOverwrittenEntryNamesNoReplica(t *testing.T) {
	h := newHarness(t)
	replica := h.replica("notes", "east", "a note")
	h.serve("east")
	h.configure(2, route("plain", platformtest.KindIdempotent, to("notes")))
	h.waitForVersion(h.nodes[0], 2)
	status := func() int {
		response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "r", "")
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, status())
	h.store.Put(replica.Key(), replica.Entry("east", "resting"))
	h.waitForEvent(h.nodes[0], "replica_refused")
	require.Equal(t, http.StatusServiceUnavailable, status())
	address := h.nodes[0].Settings.MetricsAddress
	code, dump := h.get("http://"+address+"/dump", nil)
	require.Equal(t, http.StatusOK, code)
	require.Contains(t, dump, "resting")
	born := replica.Entry("east", platformtest.StateReady)
	born["born"] = 7
	h.store.Put(replica.Key(), born)
	require.Eventually(t, func() bool { return status() == http.StatusOK }, waitLimit, time.Millisecond)
	_, dump = h.get("http://"+address+"/dump", nil)
	require.NotContains(t, dump, "resting")
	h.store.Put(replica.Key(), replica.Entry("east", platformtest.StateReady))
	require.Eventually(t, func() bool { return status() == http.StatusServiceUnavailable }, waitLimit, time.Millisecond, "its own entries have a start time")
}

// A replica is listed for another service under the same id and start time. Requests of that service reach it
// on the existing connections.
func TestAReplicaThatMovesToAnotherServiceIsUsedThere(t *testing.T) {
	h := newHarness(t)
	replica := h.replica("notes", "east", "a note")
	h.serve("east")
	h.configure(2, route("plain", platformtest.KindIdempotent, to("notes")), route("moved", platformtest.KindIdempotent, to("letters")))
	h.waitForVersion(h.nodes[0], 2)
	response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	entry := replica.Entry("east", platformtest.StateReady)
	entry["service"] = "letters"
	h.store.Put(replica.Key(), entry)
	require.Eventually(t, func() bool {
		response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/moved/x", "r2", "")
		return response.StatusCode == http.StatusOK
	}, waitLimit, time.Millisecond)
}
