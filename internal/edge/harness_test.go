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

const patience = 20 * time.Second

// world is a platform with nodes and replicas in this process.
type world struct {
	t        testing.TB
	fleet    *edgefleet.Fleet
	store    *platformtest.Store
	replicas []*platformtest.Replica
	nodes    []*node
}

// node is a node and what it wrote.
type node struct {
	*edgefleet.Node
	log *logs.Buffer
}

func newWorld(t testing.TB) *world {
	t.Helper()
	fleet, err := edgefleet.Start()
	require.NoError(t, err)
	w := &world{t: t, fleet: fleet, store: fleet.Store}
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(w.t, w.fleet.Close(ctx))
}

func (w *world) stop(one *node) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(w.t, one.Stop(ctx))
}

// replica starts a replica and lists it. Its answer holds the records of its service.
func (w *world) replica(service, dataCentre string, records ...string) *platformtest.Replica {
	w.t.Helper()
	one, err := w.fleet.AddReplica(service, dataCentre, records...)
	require.NoError(w.t, err)
	w.replicas = w.fleet.Replicas
	return one
}

// start starts nodes in data centres; the first one is the seed of all.
func (w *world) start(dataCentres ...string) {
	w.t.Helper()
	for _, dataCentre := range dataCentres {
		w.startOne(dataCentre, nil)
	}
}

// startOne starts a node whose settings are changed first.
func (w *world) startOne(dataCentre string, change func(*settings.Edge)) {
	w.t.Helper()
	log := &logs.Buffer{}
	one, err := w.fleet.AddNode(dataCentre, log, change)
	require.NoError(w.t, err)
	w.nodes = append(w.nodes, &node{Node: one, log: log})
}

// serve publishes a configuration, starts nodes and waits until they take callers.
func (w *world) serve(dataCentres ...string) {
	w.t.Helper()
	w.configure(1)
	w.start(dataCentres...)
	w.ready()
}

// ready waits until all nodes take callers and know each other.
func (w *world) ready() {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), patience)
	defer cancel()
	require.NoError(w.t, w.fleet.AwaitReady(ctx))
}

func (w *world) resolve(one *node, dataCentre string) string {
	_, body := w.get("http://"+one.Settings.DirectoryAddress+"/pistachiopier/resolve?name=search.example&zone="+dataCentre, nil)
	return body
}

func (w *world) get(url string, header http.Header) (int, string) {
	request, err := http.NewRequestWithContext(w.t.Context(), http.MethodGet, url, nil)
	require.NoError(w.t, err)
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

// ask sends a request for the search host to a node and returns the answer with its
// whole body.
func (w *world) ask(one *node, method, target, id, body string) (*http.Response, string) {
	w.t.Helper()
	response, read, err := w.try(one, method, target, id, body)
	require.NoError(w.t, err)
	return response, read
}

// try is ask for a request that may get no whole answer.
func (w *world) try(one *node, method, target, id, body string) (*http.Response, string, error) {
	w.t.Helper()
	request, err := http.NewRequestWithContext(w.t.Context(), method, "http://"+one.Settings.CallerAddress+target, strings.NewReader(body))
	require.NoError(w.t, err)
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

// line waits for the first line of a node's log with an event.
func (w *world) line(one *node, event string) string {
	w.t.Helper()
	found := ""
	require.Eventually(w.t, func() bool {
		for line := range strings.Lines(one.log.String()) {
			if strings.Contains(line, `"event":"`+event+`"`) {
				found = line
				return true
			}
		}
		return false
	}, patience, time.Millisecond, event)
	return found
}

// route makes a route of the search host to what change says, under a prefix of its name.
func route(name, kind string, change func(*platformtest.Route)) platformtest.Route {
	r := platformtest.Route{Name: name, Host: "search.example", Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 1, MaxAttempts: 2}
	change(&r)
	return r
}

func to(service string) func(*platformtest.Route) {
	return func(r *platformtest.Route) { r.Service = service }
}

func gather(topK int, least float64, shards ...string) func(*platformtest.Route) {
	return func(r *platformtest.Route) { r.Gather, r.TopK, r.MinCoverage = shards, topK, least }
}

// configure publishes a configuration with a plain route, one that must not be
// repeated, and one over three shards.
func (w *world) configure(version uint64, more ...platformtest.Route) {
	w.store.Publish(w.config(version, more...))
}

// config is the configuration that configure publishes.
func (w *world) config(version uint64, more ...platformtest.Route) platformtest.Config {
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
