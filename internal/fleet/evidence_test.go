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

// queryTop sends one query to the service top, so that its replicas receive requests.
func queryTop(t *testing.T, f *Fleet) {
	t.Helper()
	caller := client.New()
	defer caller.Close()
	_, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
	require.NoError(t, err)
}

// Guards against replies that carry another request's id, as a faulty proxy in
// front of a replica sends them, being dropped without a report: the problem list
// must name the replica's address and the count.
func TestCrossedRepliesAreAProblemOfTheirAddress(t *testing.T) {
	crossed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderRequestID, "another request's")
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(crossed.Close)
	address := crossed.Listener.Addr().String()
	text := fmt.Sprintf("version: 1\nindexes: [i]\nservices: [{name: top, index: i, timeout: 1s, shards: [{replicas: [{address: %q}]}]}]\n", address)
	f := startFleetWithOptions(t, Options{Nodes: 1, LogOutput: io.Discard}, text)
	queryTop(t, f)
	report := getJSON[api.ProblemsReport](t, f.Members()[0].Addresses.Operator, "/v1/problems")
	require.Equal(t, 1, countByKind(report)[observe.KindCrossedReply])
	for _, problem := range report.Nodes[0].Problems {
		if observe.Kind(problem.Kind) == observe.KindCrossedReply {
			require.Equal(t, "upstream "+address, problem.Subject)
			require.Contains(t, problem.Detail, "another request's id")
			require.Positive(t, problem.Count)
		}
	}
}

// Guards against listing one dead replica as two problems: the owner detects it
// by its requests and the prober of idle replicas by its probes, and each used to
// name it differently.
func TestADeadReplicaIsListedOnce(t *testing.T) {
	upstreams := startUpstreams(t, 2)
	var log logs.Buffer
	f := startFleetWithOptions(t, Options{Nodes: 1, LogOutput: &log, EditSettings: func(s *settings.Settings) { s.Probing.ReportWithin = 600 * time.Millisecond }}, testConfig(upstreams))
	require.NoError(t, upstreams[0].Close())
	require.Eventually(t, func() bool {
		queryTop(t, f)
		text := log.String()
		return strings.Contains(text, `"to":"down"`) && strings.Contains(text, `"event":"replica_down"`)
	}, awaitTimeout, awaitInterval, "the owner and the prober have detected it")
	report := getJSON[api.ProblemsReport](t, f.Members()[0].Addresses.Operator, "/v1/problems")
	require.Equal(t, 1, countByKind(report)[observe.KindReplicaDown], "%v", report)
}
