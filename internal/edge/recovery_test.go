package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// Guards against "may have run" for a request that waited for a connection until its deadline: its caller could not try
// again.
func TestARequestThatWaitedForAConnectionUntilItsDeadlineIsNotRun(t *testing.T) {
	h := newHarness(t)
	replica := h.replica("invoices", "east", "a")
	replica.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.Hang })
	config := h.config(1)
	for i := range config.Services {
		config.Services[i].MaxConns = 2
	}
	h.store.Publish(config)
	h.start("east")
	h.waitReady()
	first := make(chan int, 1)
	go func() {
		response, _, err := h.request(h.nodes[0], http.MethodPost, "/once/x", "first", "")
		if err != nil {
			first <- 0
			return
		}
		first <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return len(replica.Arrivals()) == 1 }, waitLimit, time.Millisecond)
	response, _ := h.mustRequest(h.nodes[0], http.MethodPost, "/once/x", "second", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Equal(t, http.StatusGatewayTimeout, <-first, "the first one was sent")
	require.Len(t, replica.Arrivals(), 1, "what was told as not run must never be sent")
}

// Guards against a hundred weak nodes that each keep connections to replicas for the few requests that reach them: the
// replicas then reset the connections of the entries.
func TestANodeThatCallersAreNotSentToKeepsNoConnections(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a")
	h.configure(1)
	h.startOne("east", func(s *settings.Edge) { s.Cores = 8 })
	h.waitReady()
	h.startOne("east", func(s *settings.Edge) { s.Cores = 0.1 })
	entry, other := h.nodes[0], h.nodes[1]
	require.Contains(t, h.waitForEvent(other, "role_changed"), `"entry":false`)
	for _, node := range []string{"first", "second"} {
		response, _ := h.mustRequest(other, http.MethodGet, "/plain/x", node, "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	response, _ := h.mustRequest(entry, http.MethodGet, "/plain/x", "third", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Eventually(t, func() bool {
		_, dump := h.get("http://"+other.Settings.MetricsAddress+"/dump", nil)
		return containsAll(dump, `"connections":0,`, `"entry":false`)
	}, waitLimit, 5*time.Millisecond)
	_, dump := h.get("http://"+entry.Settings.MetricsAddress+"/dump", nil)
	require.Contains(t, dump, `"connections":1,`)
	require.Contains(t, dump, `"entry":true`)
}

func containsAll(text string, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// Guards against look-ups that fail because a node has just started: its caller has no other address.
func TestALookUpRightAfterTheStartIsAnswered(t *testing.T) {
	h := newHarness(t)
	h.configure(1)
	for range 2 {
		h.startOne("east", nil)
		node := h.nodes[len(h.nodes)-1]
		require.Contains(t, h.resolve(node, "east"), node.Settings.CallerAddress)
	}
}

// All nodes restart while the store does not answer. Callers must find them, be told "not run", and be served as soon as
// the store is back.
func TestAllNodesRestartWhileTheStoreIsSilent(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.serve("east", "east")
	h.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Silent })
	for _, node := range h.nodes {
		h.stop(node)
	}
	h.nodes = nil
	h.start("east", "east")
	for _, node := range h.nodes {
		require.Contains(t, h.resolve(node, "east"), node.Settings.CallerAddress)
		response, _ := h.mustRequest(node, http.MethodGet, "/plain/x", "while-silent", "")
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
	}
	h.store.SetFault(nil)
	for _, node := range h.nodes {
		h.waitForEvent(node, "config_in_force")
		require.Eventually(t, func() bool {
			response, _, err := h.request(node, http.MethodGet, "/plain/x", "when-back", "")
			return err == nil && response.StatusCode == http.StatusOK
		}, waitLimit, 10*time.Millisecond)
	}
}

// Half of the nodes restart while the store does not answer. They must serve by what the others know.
func TestANodeThatRestartsWhileTheStoreIsSilentServesByWhatOthersKnow(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.serve("east", "east")
	h.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Silent })
	h.stop(h.nodes[1])
	h.startOne("east", nil)
	restarted := h.nodes[2]
	h.waitForEvent(restarted, "config_in_force")
	require.Eventually(t, func() bool {
		response, _, err := h.request(restarted, http.MethodGet, "/plain/x", "half", "")
		return err == nil && response.StatusCode == http.StatusOK
	}, waitLimit, 10*time.Millisecond)
}
