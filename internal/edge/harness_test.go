package edge_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
	"github.com/pistachiopier/pistachiopier/internal/edgefleet"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const waitLimit = 20 * time.Second

// harness runs a platform, nodes and replicas in this process.
type harness struct {
	t        testing.TB
	fleet    *edgefleet.Fleet
	store    *platformtest.Store
	replicas []*platformtest.Replica
	nodes    []*node
}

// node is a node and its log.
type node struct {
	*edgefleet.Node
	log *logs.Buffer
}

func newHarness(t testing.TB) *harness {
	t.Helper()
	fleet, err := edgefleet.Start()
	require.NoError(t, err)
	h := &harness{t: t, fleet: fleet, store: fleet.Store}
	t.Cleanup(h.close)
	return h
}

func (h *harness) close() {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	require.NoError(h.t, h.fleet.Close(ctx))
}

func (h *harness) stop(node *node) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	require.NoError(h.t, node.Stop(ctx))
}

// replica starts a replica and lists it in the store. Its answers hold the given records.
func (h *harness) replica(service, dataCentre string, records ...string) *platformtest.Replica {
	h.t.Helper()
	replica, err := h.fleet.AddReplica(service, dataCentre, records...)
	require.NoError(h.t, err)
	h.replicas = h.fleet.Replicas
	return replica
}

// start starts nodes in data centres; the first one is the seed of all.
func (h *harness) start(dataCentres ...string) {
	h.t.Helper()
	for _, dataCentre := range dataCentres {
		h.startOne(dataCentre, nil)
	}
}

// startOne starts a node after change has modified its settings.
func (h *harness) startOne(dataCentre string, change func(*settings.Edge)) {
	h.t.Helper()
	log := &logs.Buffer{}
	added, err := h.fleet.AddNode(dataCentre, log, change)
	require.NoError(h.t, err)
	h.nodes = append(h.nodes, &node{Node: added, log: log})
}

// serve publishes a configuration, starts nodes and waits until they accept callers.
func (h *harness) serve(dataCentres ...string) {
	h.t.Helper()
	h.configure(1)
	h.start(dataCentres...)
	h.waitReady()
}

// waitReady waits until all nodes accept callers and know each other.
func (h *harness) waitReady() {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.t.Context(), waitLimit)
	defer cancel()
	require.NoError(h.t, h.fleet.AwaitReady(ctx))
}

func (h *harness) resolve(node *node, dataCentre string) string {
	_, body := h.get("http://"+node.Settings.DirectoryAddress+"/pistachiopier/resolve?name=search.example&zone="+dataCentre, nil)
	return body
}

func (h *harness) get(url string, header http.Header) (int, string) {
	request, err := http.NewRequestWithContext(h.t.Context(), http.MethodGet, url, nil)
	require.NoError(h.t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// mustRequest sends a request for the search host to a node and returns the answer with its whole body.
func (h *harness) mustRequest(node *node, method, target, id, body string) (*http.Response, string) {
	h.t.Helper()
	response, read, err := h.request(node, method, target, id, body)
	require.NoError(h.t, err)
	return response, read
}

// request is like mustRequest for a request that may get no complete answer.
func (h *harness) request(node *node, method, target, id, body string) (*http.Response, string, error) {
	h.t.Helper()
	request, err := http.NewRequestWithContext(h.t.Context(), method, "http://"+node.Settings.CallerAddress+target, strings.NewReader(body))
	require.NoError(h.t, err)
	request.Host = "search.example"
	request.Header.Set("Pistachiopier-Request-Id", id)
	request.Header.Set("Pistachiopier-Deadline-Ms", "2000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return response, string(read), err
}

// waitForEvent waits for an event in a node's log and returns its first line.
func (h *harness) waitForEvent(node *node, event string) string {
	h.t.Helper()
	found := ""
	require.Eventually(h.t, func() bool {
		for line := range strings.Lines(node.log.String()) {
			if strings.Contains(line, `"event":"`+event+`"`) {
				found = line
				return true
			}
		}
		return false
	}, waitLimit, time.Millisecond, event)
	return found
}

// route returns a route of the search host with its name as prefix, modified by change.
func route(name, kind string, change func(*platformtest.Route)) platformtest.Route {
	r := platformtest.Route{Name: name, Host: "search.example", Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 1, MaxAttempts: 2}
	change(&r)
	return r
}

func to(service string) func(*platformtest.Route) {
	return func(r *platformtest.Route) { r.Service = service }
}

func gather(topK int, minCoverage float64, shards ...string) func(*platformtest.Route) {
	return func(r *platformtest.Route) { r.Gather, r.TopK, r.MinCoverage = shards, topK, minCoverage }
}

// configure publishes a configuration with a plain route, a non-idempotent route, and a route over three
// shards.
func (h *harness) configure(version uint64, more ...platformtest.Route) {
	h.store.Publish(h.config(version, more...))
}

// config returns the configuration that configure publishes.
func (h *harness) config(version uint64, more ...platformtest.Route) platformtest.Config {
	config := platformtest.Config{Version: version, Limits: platformtest.DefaultLimits(), Routes: append([]platformtest.Route{
		route("plain", platformtest.KindIdempotent, to("notes")),
		route("once", platformtest.KindNonIdempotent, to("invoices")),
		route("all", platformtest.KindIdempotent, gather(3, 0.6, "s1", "s2", "s3")),
	}, more...)}
	config.Limits.MaxBodyBytes = 1000
	for _, name := range []string{"notes", "invoices", "s1", "s2", "s3"} {
		config.Services = append(config.Services, platformtest.Service{Name: name, HealthPath: "/health", MaxConns: 26})
	}
	return config
}
