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

// A node starts while the store is down. It knows no route, which is not the same as the
// caller being wrong: 404 would end the request for good.
func TestANodeThatKnowsNothingRefusesAndDoesNotDeny(t *testing.T) {
	w := newWorld(t)
	w.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Busy })
	w.start("east")
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", "r1", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	status, _ := w.get("http://"+w.nodes[0].Settings.ReadyAddress+"/pistachiopier/ready", nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	w.replica("notes", "east", "a note")
	w.configure(1)
	w.store.SetFault(nil)
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
	w.configure(2, route("empty", platformtest.KindIdempotent, func(*platformtest.Route) {}))
	w.inForce(node, 2)
	served()
	response, _ := w.ask(node, http.MethodGet, "/empty/x", "r2", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	w.startOne("east", nil)
	w.ready()
	response, _ = w.ask(w.nodes[1], http.MethodGet, "/plain/x", "r3", "")
	require.Equal(t, http.StatusOK, response.StatusCode, "a node that starts reads past them too")
}

// A replica drains, dies in the dark and starts again under its id while the store's copy of
// one node is old. Requests of callers go to the new life as soon as it is listed; what was sent to
// the former one ends at once and, where it must not be repeated, is neither repeated nor called
// not run.
func TestAReplicaThatStartsAgainUnderItsIDIsNew(t *testing.T) {
	w := newWorld(t)
	former := w.replica("invoices", "east")
	listed := func(one *platformtest.Replica, born int64, state string) {
		entry := one.Entry("east", state)
		entry["born"] = born
		w.store.Put(former.Key(), entry)
	}
	listed(former, 1000, platformtest.StateReady)
	w.serve("east")
	w.configure(2, route("once", platformtest.KindNonIdempotent, to("invoices")))
	w.inForce(w.nodes[0], 2)
	former.SetBehaviour(always(platformtest.Hang))
	status := make(chan int, 1)
	go func() {
		response, _, err := w.try(w.nodes[0], http.MethodPost, "/once/x", "r1", "invoice")
		if err != nil {
			status <- 0
			return
		}
		status <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return len(former.Arrivals()) == 1 }, patience, time.Millisecond)
	again, err := platformtest.StartReplica(former.ID, "invoices", []byte("again"))
	require.NoError(t, err)
	defer again.Close()
	listed(former, 1000, platformtest.StateDraining)
	listed(again, 2000, platformtest.StateReady)
	require.Equal(t, http.StatusBadGateway, <-status, "it may have run")
	require.Empty(t, again.Arrivals(), "it is not repeated")
	w.line(w.nodes[0], "replica_restarted")
	listed(former, 1000, platformtest.StateDraining)
	w.line(w.nodes[0], "replica_report_outdated")
	response, body := w.ask(w.nodes[0], http.MethodPost, "/once/x", "r2", "invoice")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "again", body)
}

// Another program overwrites the entry of a live replica with something that names none. Requests
// of its service leave it at once, all others go on, and the entry is told until it is mended.
func TestAnOverwrittenEntryNamesNoReplica(t *testing.T) {
	w := newWorld(t)
	one := w.replica("notes", "east", "a note")
	w.serve("east")
	w.configure(2, route("plain", platformtest.KindIdempotent, to("notes")))
	w.inForce(w.nodes[0], 2)
	status := func() int {
		response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", "r", "")
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, status())
	w.store.Put(one.Key(), one.Entry("east", "resting"))
	w.line(w.nodes[0], "replica_refused")
	require.Equal(t, http.StatusServiceUnavailable, status())
	address := w.nodes[0].Settings.MetricsAddress
	code, dump := w.get("http://"+address+"/dump", nil)
	require.Equal(t, http.StatusOK, code)
	require.Contains(t, dump, "resting")
	born := one.Entry("east", platformtest.StateReady)
	born["born"] = 7
	w.store.Put(one.Key(), born)
	require.Eventually(t, func() bool { return status() == http.StatusOK }, patience, time.Millisecond)
	_, dump = w.get("http://"+address+"/dump", nil)
	require.NotContains(t, dump, "resting")
	w.store.Put(one.Key(), one.Entry("east", platformtest.StateReady))
	require.Eventually(t, func() bool { return status() == http.StatusServiceUnavailable }, patience, time.Millisecond, "its own entries say when it started")
}

// A replica is listed for another service under the same id and start. Requests of that service
// reach it on the connections that are there.
func TestAReplicaThatMovesToAnotherServiceIsUsedThere(t *testing.T) {
	w := newWorld(t)
	one := w.replica("notes", "east", "a note")
	w.serve("east")
	w.configure(2, route("plain", platformtest.KindIdempotent, to("notes")), route("moved", platformtest.KindIdempotent, to("letters")))
	w.inForce(w.nodes[0], 2)
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	entry := one.Entry("east", platformtest.StateReady)
	entry["service"] = "letters"
	w.store.Put(one.Key(), entry)
	require.Eventually(t, func() bool {
		response, _ := w.ask(w.nodes[0], http.MethodGet, "/moved/x", "r2", "")
		return response.StatusCode == http.StatusOK
	}, patience, time.Millisecond)
}
