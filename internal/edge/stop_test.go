package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// A node is stopped while requests run on persistent connections. Each request gets its whole answer, and a
// connection is closed with an answer, never during one.
func TestAPlannedStopCutsNothing(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note").SetServiceTime(20 * time.Millisecond)
	h.serve("east", "east")
	leaving := h.nodes[1]
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		h.stop(leaving)
	}()
	closed := false
	for i := 0; !closed; i++ {
		response, body := h.mustRequest(leaving, http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Len(t, body, 16)
		closed = response.Close
	}
	require.Eventually(t, func() bool { return !strings.Contains(h.resolve(h.nodes[0], ""), leaving.Settings.CallerAddress) }, waitLimit, time.Millisecond)
	<-stopped
	require.Contains(t, leaving.log.String(), "node_stopped")
}

// A reload without a change to the file, and one with another seed, each log a line that states whether
// anything changed. The node then finds the node that only the new seed names.
func TestAReloadIsLoggedAndTakesTheSeeds(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.serve("east")
	first := h.nodes[0]
	same := *first.Settings
	first.Reload(&same)
	require.Eventually(t, func() bool { return strings.Contains(first.log.String(), `"changed":false`) }, waitLimit, time.Millisecond)
	h.startOne("east", func(s *settings.Edge) { s.Seeds = []string{s.PeerAddress} })
	second := h.nodes[1]
	other := *first.Settings
	other.Seeds = []string{second.Settings.PeerAddress}
	first.Reload(&other)
	require.Eventually(t, func() bool { return strings.Contains(first.log.String(), `"changed":true`) }, waitLimit, time.Millisecond)
	h.waitReady()
}

// A node is stopped while a request waits for a replica that hangs for longer than the stop takes. If its
// connection were cut, the caller would not know whether the node or the network failed, nor whether the
// request was ever read.
func TestARequestThatOutlastsAStopGetsItsFinalAnswer(t *testing.T) {
	h := newHarness(t)
	invoices := h.replica("invoices", "east", "done")
	invoices.SetBehaviour(always(platformtest.Hang))
	h.serve("east")
	leaving := h.nodes[0]
	answered := make(chan int, 1)
	go func() {
		response, _, err := h.request(leaving, http.MethodPost, "/once/x", "r1", "")
		if err != nil {
			answered <- 0
			return
		}
		answered <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return len(invoices.Arrivals()) == 1 }, waitLimit, time.Millisecond)
	// The route's time limit of 1.5 s and the stop time of 1.5 s begin at nearly the same time. With a
	// shorter stop time, the stop ends the request first.
	short := *leaving.Settings
	short.StopWait = 600 * time.Millisecond
	leaving.Reload(&short)
	h.stop(leaving)
	require.Equal(t, http.StatusGatewayTimeout, <-answered, "it may have run")
	require.NotContains(t, leaving.log.String(), "stop_cut_short")
}

// Settings with another data centre and caller address are loaded while a lookup waits for its replica. The
// caller must get its answer on its connection. Settings that cannot change in a running process are kept and
// named in the log; otherwise the node would treat near replicas as remote.
func TestAReloadEndsNoLookupAndNamesWhatStays(t *testing.T) {
	h := newHarness(t)
	notes := h.replica("notes", "east", "a note")
	h.serve("east")
	node := h.nodes[0]
	arrived, answer := make(chan struct{}), make(chan struct{})
	arrive := sync.OnceFunc(func() { close(arrived) })
	notes.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour {
		arrive()
		<-answer
		return platformtest.Answer
	})
	ended := make(chan int, 1)
	go func() {
		response, _, err := h.request(node, http.MethodGet, "/plain/x", "r1", "")
		if err != nil {
			ended <- 0
			return
		}
		ended <- response.StatusCode
	}()
	<-arrived
	moved := *node.Settings
	moved.DataCentre, moved.CallerAddress, moved.ExtraRatio = "west", "127.0.0.1:1", 0.3
	node.Reload(&moved)
	close(answer)
	require.Equal(t, http.StatusOK, <-ended)
	line := h.waitForEvent(node, "settings_reloaded")
	require.Contains(t, line, `"changed":true`)
	require.Contains(t, line, `"needs_restart":["data centre","callers' address"]`)
	_, dump := h.get("http://"+node.Settings.MetricsAddress+"/dump", nil)
	require.Contains(t, dump, `"data_centre":"east"`)
}
