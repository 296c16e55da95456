package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"

	"github.com/pistachiopier/pistachiopier/internal/edge"
	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const patience = 20 * time.Second

// world is a platform with nodes and replicas in this process.
type world struct {
	t        *testing.T
	store    *platformtest.Store
	replicas []*platformtest.Replica
	nodes    []*node
}

type node struct {
	settings *settings.Edge
	app      *fx.App
	node     *edge.Node
	log      *logs.Buffer
	stopped  bool
}

func newWorld(t *testing.T) *world {
	t.Helper()
	store, err := platformtest.StartStore()
	require.NoError(t, err)
	w := &world{t: t, store: store}
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
	for _, one := range w.nodes {
		w.stop(one)
	}
	for _, one := range w.replicas {
		one.Close()
	}
	w.store.Close()
}

func (w *world) stop(one *node) {
	if one.stopped {
		return
	}
	one.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(w.t, one.app.Stop(ctx))
}

// replica starts a replica and lists it. Its answer holds the records of its service.
func (w *world) replica(service, dataCentre string, records ...string) *platformtest.Replica {
	w.t.Helper()
	var body strings.Builder
	for _, one := range records {
		fmt.Fprintf(&body, "%-16.16s", one)
	}
	id := fmt.Sprintf("i-%s-%d", service, len(w.replicas))
	one, err := platformtest.StartReplica(id, service, []byte(body.String()))
	require.NoError(w.t, err)
	w.replicas = append(w.replicas, one)
	w.store.Put(one.Key(), one.Entry(dataCentre, "ready"))
	return one
}

// freeAddresses finds ports that are free for TCP and UDP. All are held until the last is
// found: a port that is given back may be given out again at once, and two addresses of one
// node would be the same.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var found []string
	for len(found) < count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		packets, err := net.ListenPacket("udp", listener.Addr().String())
		if err != nil {
			continue
		}
		defer func() { _ = packets.Close() }()
		found = append(found, listener.Addr().String())
	}
	return found
}

// start starts nodes in data centres; the first one is the seed of all.
func (w *world) start(dataCentres ...string) {
	w.t.Helper()
	for _, dataCentre := range dataCentres {
		w.startOne(dataCentre, func(*settings.Edge) {})
	}
}

// startOne starts a node whose settings are changed first.
func (w *world) startOne(dataCentre string, change func(*settings.Edge)) {
	w.t.Helper()
	free := freeAddresses(w.t, 5)
	s := &settings.Edge{
		Node: fmt.Sprintf("vm-%d", len(w.nodes)), DataCentre: dataCentre,
		CallerAddress: free[0], ReadyAddress: free[1], DirectoryAddress: free[2], MetricsAddress: free[3],
		PeerAddress: free[4], StoreAddress: w.store.Address(), StopWait: 1500 * time.Millisecond, ConfigApply: 3 * time.Second,
		ExtraRatio: 0.2, ExtraWindow: 10 * time.Second, ExtraAllowance: 50,
	}
	s.Seeds = []string{s.PeerAddress}
	if len(w.nodes) > 0 {
		s.Seeds = []string{w.nodes[0].settings.PeerAddress}
	}
	change(s)
	require.NoError(w.t, s.Validate())
	one := &node{settings: s, log: &logs.Buffer{}}
	one.app, one.node = edge.New(s, one.log)
	require.NoError(w.t, one.app.Err())
	require.NoError(w.t, one.app.Start(w.t.Context()))
	w.nodes = append(w.nodes, one)
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
	for _, one := range w.nodes {
		require.Eventually(w.t, func() bool {
			status, _ := w.get("http://"+one.settings.ReadyAddress+"/pistachiopier/ready", nil)
			return status == http.StatusOK && strings.Count(w.resolve(one, ""), "127.0.0.1") >= len(w.nodes)
		}, patience, 5*time.Millisecond, "node %s", one.settings.Node)
	}
}

func (w *world) resolve(one *node, dataCentre string) string {
	_, body := w.get("http://"+one.settings.DirectoryAddress+"/pistachiopier/resolve?name=search.example&zone="+dataCentre, nil)
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
	request, err := http.NewRequestWithContext(w.t.Context(), method, "http://"+one.settings.CallerAddress+target, strings.NewReader(body))
	require.NoError(w.t, err)
	request.Host = "search.example"
	request.Header.Set("Pistachiopier-Request-Id", id)
	request.Header.Set("Pistachiopier-Deadline-Ms", "2000")
	response, err := http.DefaultClient.Do(request)
	require.NoError(w.t, err)
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	require.NoError(w.t, err)
	return response, string(read)
}

func route(name, prefix, kind string, more map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": "search.example", "prefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "maxAttempts": 2}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// configure publishes a configuration with a plain route, one that must not be
// repeated, and one over three shards.
func (w *world) configure(version int, more ...map[string]any) {
	routes := append([]map[string]any{
		route("plain", "/plain/", "idempotent", map[string]any{"service": "notes"}),
		route("once", "/once/", "non_idempotent", map[string]any{"service": "invoices"}),
		route("all", "/all/", "idempotent", map[string]any{"gather": []string{"s1", "s2", "s3"}, "topK": 3, "minCoverage": 0.6}),
	}, more...)
	var services []map[string]any
	for _, name := range []string{"notes", "invoices", "s1", "s2", "s3"} {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": 26})
	}
	w.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
