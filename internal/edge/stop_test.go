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

// A node is told to stop while requests run on connections that callers keep open. Each of
// them gets its whole answer, and the connection is closed with an answer, not under one.
func TestAPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note").SetServiceTime(20 * time.Millisecond)
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

// A node is told to stop while a request waits for a replica that hangs, for longer than the
// time for the stop. Cut off, its caller would not know whether the node or the way to it
// failed, and could not tell this request from one that was never read.
func TestARequestThatOutlastsAStopGetsItsFinalAnswer(t *testing.T) {
	w := newWorld(t)
	invoices := w.replica("invoices", "east", "done")
	invoices.SetBehaviour(always(platformtest.Hang))
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

// A settings file that names another data centre and another address for callers is read while a lookup waits for
// its replica, which answers after it. The caller must get its answer on its connection; what cannot change in
// a running process stays and is named in the log, or the node would take near replicas for far ones.
func TestAReloadEndsNoLookupAndNamesWhatStays(t *testing.T) {
	w := newWorld(t)
	notes := w.replica("notes", "east", "a note")
	w.serve("east")
	one := w.nodes[0]
	arrived, answer := make(chan struct{}), make(chan struct{})
	arrive := sync.OnceFunc(func() { close(arrived) })
	notes.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour {
		arrive()
		<-answer
		return platformtest.Answer
	})
	ended := make(chan int, 1)
	go func() {
		response, _, err := w.try(one, http.MethodGet, "/plain/x", "r1", "")
		if err != nil {
			ended <- 0
			return
		}
		ended <- response.StatusCode
	}()
	<-arrived
	moved := *one.Settings
	moved.DataCentre, moved.CallerAddress, moved.ExtraRatio = "west", "127.0.0.1:1", 0.3
	one.Reload(&moved)
	close(answer)
	require.Equal(t, http.StatusOK, <-ended)
	line := w.line(one, "settings_reloaded")
	require.Contains(t, line, `"changed":true`)
	require.Contains(t, line, `"needs_restart":["data centre","callers' address"]`)
	_, dump := w.get("http://"+one.Settings.MetricsAddress+"/dump", nil)
	require.Contains(t, dump, `"data_centre":"east"`)
}
