// Package edge is a node of the forwarding tier: it takes callers' requests, sends
// each to one replica of a service or of every shard, and answers. All nodes are
// alike; none writes anything anywhere.
package edge

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/membership"
	"github.com/pistachiopier/pistachiopier/internal/mirror"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/internal/traffic"
	"github.com/pistachiopier/pistachiopier/platform"
)

// storeDialTimeout bounds the opening of a connection to the store, which answers
// in milliseconds.
const storeDialTimeout = 500 * time.Millisecond

// milli is the number of thousandths of a core in one.
const milli = 1000

// idleLink is how long a link to another node without requests is kept. Links that are in use
// carry heartbeats, polls or sends each second; the others are left from the start, when every
// node turns to the seeds: a seed would hold one from each node of the fleet, at about 90 KB each.
const idleLink = 15 * time.Second

// logCloseLimit bounds the wait for the log's reader at the stop.
const logCloseLimit = 200 * time.Millisecond

// Node is a running node.
type Node struct {
	settings atomic.Pointer[settings.Edge]
	started  time.Time
	identity peer.Identity
	log      *decisionlog.Log
	metrics  *nodeMetrics
	traffic  *traffic.Counters
	beliefs  *beliefs
	registry *registry
	views    *belief.Store
	replicas *replicaconn.Client
	copied   *mirror.Copy
	mirror   *mirror.Server
	follower *mirror.Follower
	pool     *peer.Pool
	server   *peer.Server
	members  *membership.Duty
	seeds    *membership.Seeds
	callers  *callerServer
	others   []*http.Server
	stopping atomic.Bool
	// lastCall is closed when the time for a planned stop is nearly over.
	lastCall chan struct{}
	inFlight atomic.Int64
	helpers  helpers
	// allowancePart is this node's part of the allowance for extra arrivals, guarded by beliefs.mutex.
	allowancePart extra.AllowancePart
	// quarantine knows the requests that may end the replicas that run them.
	quarantine *quarantine.Duty
	// delegated counts the groups of sends in work for other nodes.
	delegated atomic.Int64
	ready     atomic.Bool
	// entries are the nodes that callers are sent to. The housekeeping renews them:
	// to choose them for each request would cost a walk over all replicas.
	entries atomic.Pointer[[]route.Node]
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// New describes a node as an fx application; Start it and Stop it.
func New(s *settings.Edge, out io.Writer) (*fx.App, *Node) {
	n := newNode(s, out)
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return logs.Fx(n.log.Logger()) }),
		fx.Invoke(func(lifecycle fx.Lifecycle) {
			lifecycle.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
		}),
		fx.StopTimeout(s.StopWait),
	)
	return app, n
}

func newNode(s *settings.Edge, out io.Writer) *Node {
	started := time.Now()
	n := &Node{
		started:  started,
		identity: peer.Identity{Node: core.NodeID(s.PeerAddress), Incarnation: uint64(started.UnixNano())},
		log:      decisionlog.New(out, decisionlog.Fields{"node": s.Node}),
		metrics:  newNodeMetrics(),
		views:    belief.NewStore(),
		replicas: replicaconn.NewClient(platform.Wire{}),
		copied:   mirror.NewCopy(),
		lastCall: make(chan struct{}),
	}
	n.traffic = traffic.New(n.metrics.registry)
	n.settings.Store(s)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.replicas.OnReplicaEnded(n.replicaEnded)
	n.quarantine = quarantine.New(quarantine.Options{
		Now: n.now, Changed: n.standingChanged,
		Self: n.identity.Node, Nodes: func() []route.Node { return n.view().Nodes() },
	})
	n.beliefs = newBeliefs(s.DataCentre, s.Regions, extra.Bound{}, n.now)
	n.registry = &registry{beliefs: n.beliefs, log: n.log, metrics: n.metrics, heartbeat: func() time.Duration { return n.settings.Load().Heartbeat }, onConfig: n.configInForce, onRestart: n.replicas.CloseRestarted, onEvacuation: n.leaveUnwanted}
	return n
}

func (n *Node) now() core.Time { return time.Since(n.started) }

func (n *Node) view() *route.View { return n.views.View() }

func (n *Node) start(context.Context) error {
	s := n.settings.Load()
	n.log.Life("node_started", decisionlog.Fields{"data_centre": s.DataCentre, "callers": s.CallerAddress, "peers": s.PeerAddress, "seeds": s.Seeds, "stop_wait_ms": s.StopWait.Milliseconds()})
	tlsConfig, err := keys.Ephemeral(s.PeerAddress, time.Now())
	if err != nil {
		return fault.Step("make the node's key", err)
	}
	if err := n.startPeers(s, tlsConfig); err != nil {
		return err
	}
	n.setBound()
	store := platform.NewStore(s.StoreAddress, storeDialTimeout)
	n.follower = mirror.NewFollower(mirror.DefaultConfig(), n.copied, store, copies{node: n, turn: &atomic.Uint64{}, Links: mirror.Links{Asker: n.pool}}, n.registry, n.now)
	n.mirror = mirror.NewServer(n.copied, n.follower.Age)
	n.watchMetrics()
	if n.callers, err = listenCallers(s.CallerAddress, n); err != nil {
		return err
	}
	if err := n.startOthers(s); err != nil {
		return err
	}
	n.follower.Start()
	n.ready.Store(true)
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		n.housekeep()
	}()
	return nil
}

func (n *Node) startPeers(s *settings.Edge, tlsConfig *tls.Config) error {
	var err error
	// An address that cannot be taken apart leaves the choice to the kernel, and fails below.
	host, _, _ := net.SplitHostPort(s.PeerAddress)
	if n.pool, err = peer.NewPoolFrom(tlsConfig, n.identity, n, net.ParseIP(host)); err != nil {
		return fault.Step("open peer pool", err)
	}
	n.pool.KeepIdle(idleLink)
	n.pool.OnBytes(n.sentToNode)
	if n.server, err = peer.Listen(s.PeerListen, tlsConfig, n.identity, n); err != nil {
		return fault.Step("listen for peers", err)
	}
	n.server.OnBytes(n.sentToNode)
	self := route.Node{ID: n.identity.Node, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, OperatorAddress: s.OperatorAddress, Weight: uint32(s.Cores * milli)}
	n.views.SetSelf(self)
	n.seeds = membership.NewSeeds(s.PeerAddress, s.Seeds)
	n.members = membership.Start(membership.Options{
		Self:        self,
		Incarnation: n.identity.Incarnation,
		List:        n.seeds,
		Belief:      n.views,
		Peers:       n.pool,
		Now:         n.now,
		Log:         n.log.Logger(),
		Problems:    observe.NewProblems(n.now),
		InForce:     func() (uint64, uint64) { return n.configVersion(), 0 },
		Heard:       n.heardVersion,

		Quarantine:      n.quarantine.Digest,
		HeardQuarantine: n.heardQuarantine,
	})
	n.quarantine.Start(n.pool)
	n.pool.OnLink(n.linkNews)
	return nil
}

// configVersion is that of the configuration in force; 0 is none.
func (n *Node) configVersion() uint64 {
	if config := n.beliefs.config.Load(); config != nil {
		return config.Version
	}
	return 0
}

// heardVersion takes the version that another node has in force.
//
// The failure: a store that came back from a copy shows an older configuration for a while, and a node that
// starts then and reads the store itself asks no other node. Its callers would be sent back
// to what they have seen replaced.
func (n *Node) heardVersion(from core.NodeID, version, _ uint64) {
	if version <= n.configVersion() {
		return
	}
	if known, ok := n.view().Node(from); ok && n.ready.Load() {
		n.follower.Hint(peer.Target{Node: known.ID, Address: known.PeerAddress}, version)
	}
}

// heardQuarantine takes what another node knows of requests that are set aside.
func (n *Node) heardQuarantine(from core.NodeID, digest uint64) {
	if known, ok := n.view().Node(from); ok && n.ready.Load() {
		n.quarantine.Heard(peer.Target{Node: known.ID, Address: known.PeerAddress}, digest)
	}
}

// linkNews takes the evidence of data traffic about the node behind a link.
func (n *Node) linkNews(news peer.LinkNews) {
	if news.State == peer.LinkAnswers {
		n.members.Answered(news.Peer.Node)
		return
	}
	n.members.Lost(news.Peer.Node)
}

// startOthers opens the addresses besides the callers'. Metrics are no condition of
// serving: a node goes on where their port is taken.
func (n *Node) startOthers(s *settings.Edge) error {
	if err := n.serveOther(s.DirectoryAddress, n.directory()); err != nil {
		return err
	}
	if err := n.serveOther(s.ReadyAddress, n.readiness()); err != nil {
		return err
	}
	if err := n.serveOther(s.MetricsAddress, n.operator()); err != nil {
		n.log.Life("metrics_unavailable", decisionlog.Fields{"error": err.Error()})
	}
	return nil
}

func (n *Node) serveOther(address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Address(address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout}
	n.others = append(n.others, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Handle implements peer.Handler.
func (n *Node) Handle(inbound *peer.Inbound) {
	switch {
	case !n.ready.Load():
		inbound.Reply(peer.Refused(core.ReasonPeerUnreached), true)
	case inbound.Envelope.GetHeartbeat() != nil:
		n.members.HandleHeartbeat(inbound)
	case inbound.Envelope.GetMirrorRequest() != nil:
		n.mirror.Handle(inbound)
	case inbound.Envelope.GetDelegateRequest() != nil:
		n.handleDelegate(inbound)
	case inbound.Envelope.GetQuarantineNews() != nil:
		n.quarantine.Handle(inbound)
	default:
		inbound.Reply(peer.Refused(core.ReasonNotAsked), true)
	}
}

// configInForce adapts what depends on the configuration.
func (n *Node) configInForce() {
	config := n.beliefs.config.Load()
	n.callers.setLimits(config.Limits)
	n.metrics.forget(func(service string) bool { _, configured := config.Services[service]; return configured })
	bounds := map[string]coldstart.Bound{}
	for name, service := range config.Services {
		bounds[name] = service.Cold
	}
	n.beliefs.mutex.Lock()
	defer n.beliefs.mutex.Unlock()
	n.beliefs.outlook.Replicas.SetColdBounds(bounds)
	n.beliefs.outlook.Budget.RemoveUnused(func(service string) bool { return n.beliefs.outlook.Replicas.CountUsable(service) > 0 }, n.now())
}

// housekeeping is how often beliefs that age are looked at.
const housekeeping = 200 * time.Millisecond

func (n *Node) housekeep() {
	ticker, summary := time.NewTicker(housekeeping), time.NewTicker(tellTrafficEvery)
	defer ticker.Stop()
	defer summary.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-summary.C:
			n.tellTraffic()
			continue
		case <-ticker.C:
		}
		n.registry.expire()
		n.renewEntries()
		n.setBound()
		n.leaveUnwanted()
	}
}

// leaveUnwanted closes the connections to replicas that are to get nothing more.
func (n *Node) leaveUnwanted() {
	n.replicas.Retain(func(life replica.Incarnation) bool {
		n.beliefs.mutex.Lock()
		defer n.beliefs.mutex.Unlock()
		return n.beliefs.outlook.Replicas.IsUsable(life)
	})
}

// renewEntries chooses anew which nodes callers are sent to.
func (n *Node) renewEntries() {
	former := n.entries.Load()
	chosen := n.preferred()
	if former != nil && slices.Equal(*former, chosen) {
		return
	}
	n.entries.Store(&chosen)
	addresses := make([]string, 0, len(chosen))
	senders := make([]core.NodeID, 0, len(chosen))
	for _, one := range chosen {
		addresses = append(addresses, one.CallerAddress)
		senders = append(senders, one.ID)
	}
	n.beliefs.note(func(book *replica.Table, _ core.Time) { book.SetSenders(n.identity.Node, senders) })
	n.log.Life("entries_changed", decisionlog.Fields{"entries": addresses, "live": len(n.view().Nodes())})
}

// chosen lists the nodes that callers are sent to.
func (n *Node) chosen() []route.Node {
	if entries := n.entries.Load(); entries != nil {
		return *entries
	}
	return nil
}

// Reload takes settings that were read anew. No connection ends by it: what cannot change in a running
// process stays, and the log names it.
func (n *Node) Reload(read *settings.Edge) {
	taken := *read
	s := &taken
	kept := s.Keep(n.settings.Load())
	changed := !reflect.DeepEqual(n.settings.Swap(s), s)
	n.seeds.Replace(s.Seeds)
	n.setBound()
	n.log.Life("settings_reloaded", decisionlog.Fields{"changed": changed, "seeds": s.Seeds, "stop_wait_ms": s.StopWait.Milliseconds(), "needs_restart": kept})
}

// dump is the node's state for operators.
func (n *Node) dump() any {
	s := n.settings.Load()
	state := map[string]any{
		"node": s.Node, "data_centre": s.DataCentre, "stopping": n.stopping.Load(), "in_flight": n.inFlight.Load(),
		"entries_refused": n.registry.refusedEntries(), "nodes": n.view().Nodes(), "store_revision": n.copied.UpTo(), "store_era": n.copied.Reached().Era, "connections": n.replicas.OpenConnections(),
	}
	if config := n.beliefs.config.Load(); config != nil {
		state["config_version"] = config.Version
	}
	var replicas []replica.Replica
	n.beliefs.note(func(book *replica.Table, _ core.Time) {
		book.Each(func(one replica.Replica) { replicas = append(replicas, one) })
		state["sends_running"] = book.InFlight()
		state["evacuated"] = book.Evacuated()
	})
	state["replicas"] = replicas
	state["quarantine"] = n.quarantine.Requests()
	return state
}

// LibraryLog takes what libraries write of themselves into the node's log.
func (n *Node) LibraryLog() io.Writer { return n.log.Libraries() }

// SettingsRefused notes new settings that cannot be used; the former stay in force.
func (n *Node) SettingsRefused(cause error) {
	n.log.Life("settings_refused", decisionlog.Fields{"error": cause.Error(), "outcome": "the former stay in force"})
}
