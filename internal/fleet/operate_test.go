package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/settings"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const awaitInterval = 5 * time.Millisecond

func startFleetWithOptions(t *testing.T, options Options, text string) *Fleet {
	t.Helper()
	f, err := Start(options)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	require.NoError(t, f.AwaitReady(ctx, f.Platform.Publish(text)))
	return f
}

func getJSON[T any](t *testing.T, address, path string) T {
	t.Helper()
	operator := client.New()
	defer operator.Close()
	var out T
	require.NoError(t, operator.Get(context.Background(), address, path, &out))
	return out
}

// countByKind counts the problems of a report by kind.
func countByKind(report api.ProblemsReport) map[observe.Kind]int {
	counts := map[observe.Kind]int{}
	for _, node := range report.Nodes {
		for _, problem := range node.Problems {
			counts[observe.Kind(problem.Kind)]++
		}
	}
	return counts
}

// Guards against a service that stalls without traffic going unnoticed until the
// next query: both its replicas stop answering while their health endpoints still
// report success. Any node must list the stalled service, and remove it from the
// list after it recovers.
func TestAServiceThatStallsWithoutTrafficIsAProblemOnAnyNode(t *testing.T) {
	upstreams := startUpstreams(t, 4)
	f := startFleetWithOptions(t, Options{Nodes: 3, LogOutput: io.Discard, EditSettings: func(s *settings.Settings) { s.Probing.ReportWithin = 600 * time.Millisecond }}, testConfig(upstreams))
	report := func() api.ProblemsReport {
		return getJSON[api.ProblemsReport](t, f.Members()[2].Addresses.Operator, "/v1/problems?fleet=1")
	}
	for _, u := range upstreams[2:] {
		u.Change(func(b *standin.Behaviour) { b.Silent = true })
	}
	require.Eventually(t, func() bool {
		counts := countByKind(report())
		return counts[observe.KindStalledService] == 1 && counts[observe.KindReplicaDown] == 2
	}, awaitTimeout, awaitInterval)
	detail := fmt.Sprint(report())
	require.Contains(t, detail, "a query with the question null failed")
	require.Contains(t, detail, "its health endpoint says: 200 OK")
	for _, u := range upstreams[2:] {
		u.Change(func(b *standin.Behaviour) { b.Silent = false })
	}
	require.Eventually(t, func() bool { return report().Count() == 0 }, awaitTimeout, awaitInterval)
}

// Guards against probing a non-idempotent service with queries, which it could
// record as invoices: its replicas are probed through their health endpoints
// only, and the problem says so.
func TestAServiceThatMustNotBeRepeatedIsProbedByItsHealthOnly(t *testing.T) {
	upstreams := startUpstreams(t, 2)
	text := strings.Replace(testConfig(upstreams), "timeout: 5s", "timeout: 5s\n    idempotent: false", 1)
	f := startFleetWithOptions(t, Options{Nodes: 1, LogOutput: io.Discard, EditSettings: func(s *settings.Settings) { s.Probing.ReportWithin = 600 * time.Millisecond }}, text)
	require.NoError(t, upstreams[0].Close())
	var report api.ProblemsReport
	require.Eventually(t, func() bool {
		report = getJSON[api.ProblemsReport](t, f.Members()[0].Addresses.Operator, "/v1/problems")
		return countByKind(report)[observe.KindReplicaDown] == 1
	}, awaitTimeout, awaitInterval)
	require.Contains(t, fmt.Sprint(report), "by its health endpoint only")
	require.Zero(t, countByKind(report)[observe.KindStalledService], "the other replica answers")
	require.Zero(t, upstreams[1].Queries())
	require.Empty(t, upstreams[1].Submits())
}

// Guards against a problem report that looks complete although a node in the VM
// list did not answer: the report must name that node.
func TestANodeThatDoesNotAnswerIsNamed(t *testing.T) {
	f := startFleetWithOptions(t, Options{Nodes: 3, LogOutput: io.Discard}, testConfig(startUpstreams(t, 2)))
	require.NoError(t, f.Stop(f.Members()[1]))
	report := getJSON[api.ProblemsReport](t, f.Members()[0].Addresses.Operator, "/v1/problems?fleet=1")
	require.Len(t, report.Nodes, 2)
	require.Len(t, report.NoAnswer, 1)
	require.Equal(t, f.Members()[1].ID, report.NoAnswer[0].Node)
}

func TestOperatorsSeeHealthNodesAndMetrics(t *testing.T) {
	f, err := Start(Options{Nodes: 2, LogOutput: io.Discard})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	operator := f.Members()[0].Addresses.Operator
	response, err := http.Get("http://" + operator + "/v1/health")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "no configuration is published yet")
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	require.NoError(t, f.AwaitReady(ctx, f.Platform.Publish(testConfig(startUpstreams(t, 2)))))
	require.Equal(t, api.HealthReady, getJSON[api.Health](t, operator, "/v1/health").State)
	nodes := getJSON[[]api.NodeAddress](t, operator, "/v1/nodes")
	require.Len(t, nodes, 2)
	require.Equal(t, f.Members()[1].Addresses.Operator, nodes[1].OperatorAddress)
	response, err = http.Get("http://" + operator + "/metrics")
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	for _, name := range []string{"config_revision 1", "entry_ring_capacity", "owner_ring_depth", "caller_connections_limit 4096", "certificate_days_left", "problems 0"} {
		require.Contains(t, string(text), "pistachiopier_"+name)
	}
	for _, entry := range settings.Reference() {
		if entry.Metric == "" || strings.HasPrefix(entry.Metric, "caller_bodies") {
			continue
		}
		require.Contains(t, string(text), "pistachiopier_"+entry.Metric+" ", "the metric of %s", entry.Key)
	}
}

// Guards against a query that goes on using the upstreams' slots after its caller
// has disconnected while it waits for a slow replica.
func TestACallerThatLeavesCancelsItsQuestion(t *testing.T) {
	upstreams := startUpstreams(t, 2)
	f := startFleetWithOptions(t, Options{Nodes: 1, LogOutput: io.Discard}, testConfig(upstreams))
	for _, u := range upstreams {
		u.Change(func(b *standin.Behaviour) { b.Silent = true })
	}
	caller := client.New()
	defer caller.Close()
	ctx, cancel := context.WithCancel(context.Background())
	minuteMs := time.Minute.Milliseconds()
	ended := make(chan error, 1)
	go func() {
		_, err := caller.Query(ctx, f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef", TimeoutMs: &minuteMs})
		ended <- err
	}()
	node := f.Members()[0].Node
	require.Eventually(t, func() bool { return node.Status().InFlight == 1 }, awaitTimeout, awaitInterval)
	cancel()
	require.Error(t, <-ended)
	require.Eventually(t, func() bool { return node.Status().InFlight == 0 }, awaitTimeout, awaitInterval)
}

func TestUnknownServicesAndCustomersAreRefusedAsNotRun(t *testing.T) {
	f := startFleetWithOptions(t, Options{Nodes: 1, LogOutput: io.Discard}, "unlisted_customers: refuse\ncustomers: [{name: chef}]\n"+testConfig(startUpstreams(t, 2)))
	caller := client.New()
	defer caller.Close()
	queryError := func(service string, customer core.Customer) *fault.Error {
		_, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, service, api.QueryRequest{Customer: customer})
		require.Error(t, err)
		return fault.As(err)
	}
	require.Equal(t, fault.CodeUnknownService, queryError("nothing", "chef").Code)
	require.Equal(t, fault.CodeUnknownCustomer, queryError("top", "stranger").Code)
	require.Equal(t, core.NotRun, queryError("top", "stranger").Outcome)
	_, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef", Question: json.RawMessage(`"` + strings.Repeat("x", 10<<20) + `"`)})
	require.Equal(t, fault.CodeTooLarge, fault.As(err).Code)
	_, err = caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
	require.NoError(t, err, "the node still answers after refusals")
}

// Guards against a node with certificates of another fleet being routed to, and
// against its peers refusing it without logging the reason.
func TestAnotherFleetsCertificateIsNamedInTheLog(t *testing.T) {
	otherAuthority, err := keys.NewAuthority(time.Now(), certificateValidity)
	require.NoError(t, err)
	pair, err := otherAuthority.Issue("vm-2", time.Now(), certificateValidity)
	require.NoError(t, err)
	var log logs.Buffer
	f, err := Start(Options{Nodes: 2, LogOutput: &log, EditSettings: func(s *settings.Settings) {
		if s.Node == "vm-2" {
			s.TLS.Authority, s.TLS.Certificate, s.TLS.Key = string(otherAuthority.Certificate), string(pair.Certificate), string(pair.Key)
		}
	}})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	revision := f.Platform.Publish(testConfig(startUpstreams(t, 8)))
	for _, member := range f.Members() {
		ready := func() bool { return member.Node.Status().ConfigRevision == revision && member.Node.Status().Nodes == 1 }
		require.Eventually(t, ready, awaitTimeout, awaitInterval, "a node must not route to an unreachable node")
	}
	caller := client.New()
	defer caller.Close()
	for _, member := range f.Members() {
		reply, err := caller.Query(context.Background(), member.Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
		require.NoError(t, err)
		require.False(t, reply.Coverage.Thin)
	}
	require.Eventually(t, func() bool { return strings.Contains(log.String(), `"event":"peer_certificate_refused"`) }, awaitTimeout, awaitInterval)
	require.Contains(t, log.String(), "unknown authority")
}

func TestLogLinesAreJSONWithStableFields(t *testing.T) {
	var log logs.Buffer
	f := startFleetWithOptions(t, Options{Nodes: 1, LogOutput: &log, EditSettings: func(s *settings.Settings) { s.LogLevel = "debug" }}, testConfig(startUpstreams(t, 2)))
	caller := client.New()
	defer caller.Close()
	_, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
	require.NoError(t, err)
	require.NoError(t, f.Stop(f.Members()[0]))
	events := map[string]int{}
	for line := range strings.Lines(log.String()) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields), line)
		for _, name := range []string{"event", "node", "level", "time", "msg"} {
			require.NotEmpty(t, fields[name], "%s of %s", name, line)
		}
		events[fields["event"].(string)]++
	}
	for _, event := range []string{"node_started", "request_served", "fx"} {
		require.Positive(t, events[event], event)
	}
}
