package app

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/gather"
	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/night"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/ring"
	"github.com/pistachiopier/pistachiopier/internal/settings"
)

// startOperating starts what operators need of the node: probes of idle
// replicas, the watch on certificates, gathering and metrics.
func (n *Node) startOperating(tlsConfig *tls.Config, certificates []expiry) {
	n.gatherer = &gather.Gatherer{
		Self:     n.identity,
		TLS:      tlsConfig,
		Nodes:    n.known,
		Problems: n.problems,
		Now:      n.now,
	}
	n.prober = night.Start(night.Options{
		Self:         n.identity.Node,
		Belief:       n.belief,
		Upstream:     n.upstream,
		Now:          n.now,
		Log:          n.log,
		Problems:     n.problems,
		Metrics:      n.metrics,
		ReportWithin: n.settings.Probing.ReportWithin,
		InFlight:     n.settings.Probing.InFlight,
	})
	n.upstream.Observe(n.prober.Observe)
	n.upstream.OnDropped(n.droppedReply)
	n.expiry = watchExpiry(n.problems, n.metrics, certificates, n.settings.TLS.WarnBefore)
	n.watchMetrics()
}

func (n *Node) stopOperating() {
	if n.expiry != nil {
		n.expiry.close()
	}
	if n.prober != nil {
		n.prober.Close()
	}
}

func (n *Node) startHTTP() error {
	caller := api.NewCaller(api.CallerParts{
		Log:     n.log,
		Entry:   n.entry,
		Home:    n.home,
		Entries: n.entries,
		Body:    api.BodyLimits{MaxBytes: int64(n.settings.Limits.MaxBodyBytes), Timeout: n.settings.Limits.BodyTimeout},
		Metrics: n.metrics,
	})
	operator := api.NewOperator(api.OperatorParts{
		Log:           n.log,
		BodyTimeout:   n.settings.Limits.BodyTimeout,
		Health:        n.health,
		Status:        func() any { return n.Status() },
		Dump:          n.dump,
		Nodes:         n.nodes,
		Problems:      func() api.ProblemsReport { return api.ProblemsReport{Nodes: []api.NodeProblems{n.gatherer.Own()}} },
		FleetProblems: n.gatherer.Fleet,
		Metrics:       func(out io.Writer) { observe.WriteText(out, n.metrics) },
	})
	var err error
	n.caller, err = n.serve(n.settings.CallerAddress, n.closeWhenLeaving(caller))
	if err != nil {
		return fault.Step("listen for callers", err)
	}
	n.operator, err = n.serve(n.settings.OperatorAddress, operator)
	if err != nil {
		return fault.Step("listen for operators", err)
	}
	n.watchListener("caller", n.caller.listener)
	n.watchListener("operator", n.operator.listener)
	return nil
}

func (n *Node) serve(address string, handler http.Handler) (*httpServer, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeAddress, Message: "cannot listen on " + address, Fix: "choose a free address of this VM in the settings", Cause: err}
	}
	limits := n.settings.Limits
	listener := api.LimitConnections(inner, limits.Connections)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, ErrorLog: logs.HTTP(n.log)}
	go func() { _ = server.Serve(listener) }()
	return &httpServer{Server: server, address: inner.Addr().String(), listener: listener}, nil
}

// entries answers which addresses a caller may use. VMs that leave are not in
// the view.
func (n *Node) entries(dataCentre string) api.Entries {
	var list []api.EntryAddress
	for _, node := range n.belief.View().Nodes() {
		list = append(list, api.EntryAddress{Node: node.ID, Address: node.CallerAddress, DataCentre: node.DataCentre})
	}
	return api.Entries{
		Entries: n.rotation.Order(list, dataCentre, n.settings.Limits.Entries),
		TTLMs:   n.settings.EntriesTTL.Milliseconds(),
		// The key prefix names this node as the home of the caller's keys.
		KeyPrefix: n.home.Prefix(),
	}
}

// nodes lists every node that the view or the VM list names: one that no longer
// answers is what operators look for.
func (n *Node) nodes() []api.NodeAddress {
	list := []api.NodeAddress{}
	for _, node := range n.known() {
		list = append(list, api.NodeAddress{Node: node.ID, DataCentre: node.DataCentre, OperatorAddress: node.OperatorAddress})
	}
	return list
}

func (n *Node) health() api.Health {
	if n.stopping.Load() {
		return api.Health{State: api.HealthDraining, Why: "the node was told to stop"}
	}
	if n.belief.Config() == nil {
		return api.Health{State: api.HealthStarting, Why: "no configuration is in force yet"}
	}
	if len(n.belief.View().Nodes()) == 0 {
		return api.Health{State: api.HealthStarting, Why: "the VM list is not read yet"}
	}
	if count := len(n.problems.List()); count > 0 {
		return api.Health{State: api.HealthDegraded, Why: strconv.Itoa(count) + " problems are present, see /v1/problems"}
	}
	return api.Health{State: api.HealthReady}
}

// watchMetrics adds the gauges that are read from the node's parts.
func (n *Node) watchMetrics() {
	observe.Watch(n.metrics, "uptime_seconds", func() int64 { return int64(n.now() / time.Second) })
	observe.Watch(n.metrics, "process_goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	observe.Watch(n.metrics, "process_memory_bytes", processMemory)
	observe.Watch(n.metrics, "problems", func() int64 { return int64(len(n.problems.List())) })
	observe.Watch(n.metrics, "problems_not_listed_total", func() int64 { return int64(n.problems.Overflow()) })
	observe.Watch(n.metrics, "view_nodes", func() int64 { return int64(len(n.belief.View().Nodes())) })
	observe.Watch(n.metrics, "peer_links", func() int64 { return int64(n.pool.Links()) })
	observe.Watch(n.metrics, "upstream_replies_dropped_total", n.upstream.DroppedReplies)
	n.watchRings("entry", func() []ring.Stats { return n.entry.Rings() })
	n.watchRings("owner", func() []ring.Stats { return n.owner.Rings() })
	n.watchRings("home", func() []ring.Stats { return n.home.Rings() })
}

const memoryMetric = "/memory/classes/total:bytes"

// processMemory is the memory that the Go runtime holds, in bytes.
func processMemory() int64 {
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// watchRings adds the sums over a duty's rings.
func (n *Node) watchRings(duty string, read func() []ring.Stats) {
	sum := func(pick func(ring.Stats) int64) func() int64 {
		return func() int64 {
			var total int64
			for _, stats := range read() {
				total += pick(stats)
			}
			return total
		}
	}
	observe.Watch(n.metrics, duty+"_ring_depth", sum(func(s ring.Stats) int64 { return int64(s.Depth) }))
	observe.Watch(n.metrics, duty+"_ring_capacity", sum(func(s ring.Stats) int64 { return int64(s.Capacity) }))
	observe.Watch(n.metrics, duty+"_ring_refused_total", sum(func(s ring.Stats) int64 { return s.Refused }))
	observe.Watch(n.metrics, duty+"_ring_dropped_total", sum(func(s ring.Stats) int64 { return s.Dropped }))
}

func (n *Node) watchListener(name string, listener *api.LimitedListener) {
	observe.Watch(n.metrics, name+"_connections", listener.Open)
	observe.Watch(n.metrics, name+"_connections_limit", func() int64 { return int64(n.settings.Limits.Connections) })
	observe.Watch(n.metrics, name+"_connections_refused_total", listener.Refused)
}

// loadTLS reads the node's keys and refuses certificates that are not valid now.
// It returns their ends too, to be watched.
func loadTLS(paths settings.TLS, now time.Time) (*tls.Config, []expiry, error) {
	authority, err := settings.PEM(paths.Authority)
	if err != nil {
		return nil, nil, err
	}
	certificate, err := settings.PEM(paths.Certificate)
	if err != nil {
		return nil, nil, err
	}
	key, err := settings.PEM(paths.Key)
	if err != nil {
		return nil, nil, err
	}
	expiries, err := readExpiries(authority, certificate, now)
	if err != nil {
		return nil, nil, err
	}
	config, err := keys.Config(authority, keys.Pair{Certificate: certificate, Key: key})
	return config, expiries, err
}

// expiryWatch reports certificates that are about to expire.
type expiryWatch struct {
	stop context.CancelFunc
	done chan struct{}
}

const expiryCheck = time.Hour

func watchExpiry(problems *observe.Problems, registry observe.Registry, certificates []expiry, warnBefore time.Duration) *expiryWatch {
	ctx, stop := context.WithCancel(context.Background())
	w := &expiryWatch{stop: stop, done: make(chan struct{})}
	daysLeft := observe.Gauge(registry, "certificate_days_left")
	go func() {
		defer close(w.done)
		ticker := time.NewTicker(expiryCheck)
		defer ticker.Stop()
		for {
			checkExpiry(problems, daysLeft, certificates, time.Now(), warnBefore)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return w
}

func (w *expiryWatch) close() {
	w.stop()
	<-w.done
}
