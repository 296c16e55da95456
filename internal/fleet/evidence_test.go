package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/settings"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// askTop asks the service top once for what the upstreams then see.
func askTop(t *testing.T, f *Fleet) {
	t.Helper()
	caller := client.New()
	defer caller.Close()
	_, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
	require.NoError(t, err)
}

// Something in front of a replica hands a chef the list of another kitchen. The
// reply is dropped and the answer thin; the operators must be told which address
// it was, how often and since when.
func TestCrossedRepliesAreAProblemOfTheirAddress(t *testing.T) {
	crossed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderRequestID, "another request's")
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(crossed.Close)
	address := crossed.Listener.Addr().String()
	text := fmt.Sprintf("version: 1\nindexes: [i]\nservices: [{name: top, index: i, timeout: 1s, shards: [{replicas: [{address: %q}]}]}]\n", address)
	f := startWith(t, Options{Nodes: 1, LogOutput: io.Discard}, text)
	askTop(t, f)
	report := get[api.ProblemsReport](t, f.Members()[0].Addresses.Operator, "/v1/problems")
	require.Equal(t, 1, kinds(report)[observe.KindCrossedReply])
	for _, problem := range report.Nodes[0].Problems {
		if observe.Kind(problem.Kind) == observe.KindCrossedReply {
			require.Equal(t, "upstream "+address, problem.Subject)
			require.Contains(t, problem.Detail, "another request's id")
			require.Positive(t, problem.Count)
		}
	}
}

// One replica is gone; both the owner, by its requests, and the probes of idle
// replicas find out. Each named it in its own way, and an operator who counted
// problems saw two dead replicas.
func TestADeadReplicaIsListedOnce(t *testing.T) {
	upstreams := startUpstreams(t, 2)
	var log logs.Buffer
	f := startWith(t, Options{Nodes: 1, LogOutput: &log, EditSettings: func(s *settings.Settings) { s.Probing.ReportWithin = 600 * time.Millisecond }}, testText(upstreams))
	require.NoError(t, upstreams[0].Close())
	require.Eventually(t, func() bool {
		askTop(t, f)
		text := log.String()
		return strings.Contains(text, `"to":"down"`) && strings.Contains(text, `"event":"replica_down"`)
	}, awaitLimit, awaitPause, "both have found out")
	report := get[api.ProblemsReport](t, f.Members()[0].Addresses.Operator, "/v1/problems")
	require.Equal(t, 1, kinds(report)[observe.KindReplicaDown], "%v", report)
}
