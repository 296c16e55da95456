// Package edge implements a node of the forwarding tier: it accepts callers' requests, sends each to one
// replica of a service or of every shard, and returns the answer. All nodes are equal, and none writes
// persistent data.
package edge

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/memory"
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

// storeDialTimeout bounds the opening of a connection to the store, which normally takes milliseconds.
const storeDialTimeout = 500 * time.Millisecond

// weightPerCore is the weight of a node for each of its CPU cores.
const weightPerCore = 1000

// idleLinkTimeout is how long a link to another node without requests is kept. Links in use carry heartbeats,
// polls or sends every second. The others remain from start-up, when every node connects to the seeds: a seed
// would otherwise hold a link from each node of the fleet, at about 90 KB each.
const idleLinkTimeout = 15 * time.Second

// logCloseTimeout bounds the wait for the log's reader at the stop.
const logCloseTimeout = 200 * time.Millisecond

// Node is a running node.
type Node struct {
	settings   atomic.Pointer[settings.Edge]
	sockets    Sockets
	started    time.Time
	identity   peer.Identity
	log        *decisionlog.Log
	metrics    *nodeMetrics
	traffic    *traffic.Counters
	state      *sharedState
	registry   *registry
	views      *belief.Store
	replicas   *replicaconn.Client
	storeCopy  *mirror.Copy
	mirror     *mirror.Server
	follower   *mirror.Follower
	peerPool   *peer.Pool
	peerServer *peer.Server
	members    *membership.Manager
	seeds      *membership.Seeds
	callers    *callerServer
	auxiliary  []auxiliaryServer
	stopping   atomic.Bool
	// stopExpiring is closed shortly before the time for a planned stop has passed.
	stopExpiring chan struct{}
	inFlight     atomic.Int64
	helpers      helpers
	// places are this node's places at the replicas.
	places *places
	// allowancePart is this node's part of the allowance for extra arrivals, guarded by state.mutex.
	allowancePart extra.AllowancePart
	// callerMemory bounds the memory that callers have this node hold.
	callerMemory *callerMemory
	// headMemory bounds the memory of long heads on all listeners.
	headMemory *headMemory
	// quarantine tracks the requests that may end the replicas that run them.
	quarantine *quarantine.ReplicatedLedger
	// delegatedGroups counts the groups of sends in progress for other nodes.
	delegatedGroups atomic.Int64
	// refusesDelegated is set when a planned stop no longer takes such groups.
	refusesDelegated atomic.Bool
	ready            atomic.Bool
	// asksRelief is set while the node asks for relief; timerLateness is how late its timers fire on average, in
	// microseconds.
	asksRelief    atomic.Bool
	timerLateness atomic.Int64
	// entries are the nodes that callers are sent to. They are updated periodically, because selecting them
	// requires a pass over all replicas.
	entries atomic.Pointer[[]route.Node]
	// entryUntil is until when this node counts as one of them, as a core.Time.
	entryUntil atomic.Int64
	// toldNoEntry is set if the log last told that this node is none of them; only housekeeping uses it.
	toldNoEntry bool
	// bodiesTooLong counts the requests whose bodies were longer than the configuration allows.
	bodiesTooLong atomic.Int64
	// limitedTold are the counts of limited clients that the log last told, limitedToldAt when they were last compared; only
	// housekeeping uses them.
	limitedTold   limitedClients
	limitedToldAt core.Time
	ctx           context.Context
	cancel        context.CancelFunc
	done          sync.WaitGroup
}

// New returns a node as an fx application, which starts and stops it.
func New(s *settings.Edge, out io.Writer) (*fx.App, *Node) { return NewOn(s, out, SystemSockets{}) }

// NewOn is New for a node that listens on the given sockets.
func NewOn(s *settings.Edge, out io.Writer, sockets Sockets) (*fx.App, *Node) {
	n := newNode(s, out)
	n.sockets = sockets
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return logs.NewFxLogger(n.log.Logger()) }),
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
		started:      started,
		identity:     peer.Identity{Node: core.NodeID(s.PeerAddress), Incarnation: uint64(started.UnixNano())},
		log:          decisionlog.New(out, decisionlog.Fields{"node": s.Node}),
		metrics:      newNodeMetrics(),
		views:        belief.NewStore(),
		replicas:     replicaconn.NewClient(platform.Wire{}),
		storeCopy:    mirror.NewCopy(),
		stopExpiring: make(chan struct{}),
	}
	n.traffic = traffic.New(n.metrics.reg)
	n.settings.Store(s)
	n.replicas.SetMaxOpen(n.connectionLimits().Replicas)
	n.callerMemory = newCallerMemory(s.MemoryBytes, n.now)
	n.headMemory = newHeadMemory(s.MemoryBytes, n.now)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.replicas.OnReplicaEnded(n.replicaEnded)
	n.quarantine = quarantine.New(quarantine.Options{
		Now: n.now, OnChange: n.logStandingChange,
		Self: n.identity.Node, Nodes: func() []route.Node { return n.view().Nodes() },
	})
	n.state = newSharedState(s.DataCentre, s.Regions, extra.Bound{}, n.now)
	n.places = newPlaces(n.identity.Node, s.DataCentre, n.state.slots, n.now)
	n.registry = &registry{state: n.state, log: n.log, metrics: n.metrics, heartbeatInterval: func() time.Duration { return n.settings.Load().HeartbeatInterval }, onConfig: n.applyConfig, onRestart: n.replicas.CloseRestarted, onListed: n.replicas.ReplicaListed, onEvacuation: n.closeUnusable}
	return n
}

func (n *Node) now() core.Time { return time.Since(n.started) }

func (n *Node) view() *route.View { return n.views.View() }

func (n *Node) start(context.Context) error {
	s := n.settings.Load()
	n.log.Life("node_started", decisionlog.Fields{"data_centre": s.DataCentre, "callers": s.CallerAddress, "peers": s.PeerAddress, "seeds": s.Seeds, "stop_wait_ms": s.StopWait.Milliseconds()})
	tlsConfig, err := keys.EphemeralTLSConfig(s.PeerAddress, time.Now())
	if err != nil {
		return fault.Wrap("create the node's key", err)
	}
	if err := n.startPeers(s, tlsConfig); err != nil {
		return err
	}
	n.updateExtraBound()
	store := platform.NewStore(s.StoreAddress, storeDialTimeout)
	n.follower = mirror.NewFollower(mirror.DefaultConfig(), n.storeCopy, store, copySources{node: n, rotation: &atomic.Uint64{}, PeerClient: mirror.PeerClient{Sender: n.peerPool}}, n.registry, n.now)
	n.mirror = mirror.NewServer(n.storeCopy, n.follower.Status)
	n.registerGauges()
	n.registerMemoryGauges()
	callerSocket, err := n.sockets.ListenTCP(s.CallerAddress)
	if err != nil {
		return err
	}
	n.callers = serveCallers(callerSocket, n, n.connectionLimits().Callers, n.headMemory, n.callerStalled)
	// Look-ups are answered from the first moment on, with this node alone if need be.
	n.updateEntries()
	n.updateRole()
	if err := n.startAuxiliary(s); err != nil {
		return err
	}
	n.registerClientGauges()
	n.follower.Start()
	n.ready.Store(true)
	n.done.Go(n.housekeep)
	n.done.Go(n.tellConditions)
	n.done.Go(n.watchLoad)
	return nil
}

func (n *Node) startPeers(s *settings.Edge, tlsConfig *tls.Config) error {
	var err error
	// If the address does not parse, the kernel chooses one here, and listening on the address fails below.
	host, _, _ := net.SplitHostPort(s.PeerAddress)
	if n.peerPool, err = peer.NewPoolWithSource(tlsConfig, n.identity, n, net.ParseIP(host)); err != nil {
		return fault.Wrap("open peer pool", err)
	}
	n.peerPool.SetLinkIdleTimeout(idleLinkTimeout)
	n.peerPool.OnBytes(n.countPeerBytes)
	peerSocket, err := n.sockets.ListenUDP(s.PeerListen)
	if err != nil {
		return fault.Wrap("listen for peers", err)
	}
	if n.peerServer, err = peer.Serve(peerSocket, tlsConfig, n.identity, n); err != nil {
		return fault.Wrap("listen for peers", err)
	}
	n.peerServer.OnBytes(n.countPeerBytes)
	self := route.Node{ID: n.identity.Node, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, OperatorAddress: s.OperatorAddress, Weight: uint32(s.Cores * weightPerCore)}
	n.views.SetSelf(self)
	n.seeds = membership.NewSeeds(s.PeerAddress, s.Seeds)
	n.members = membership.Start(membership.Options{
		Self:         self,
		Incarnation:  n.identity.Incarnation,
		Lister:       n.seeds,
		Belief:       n.views,
		Peers:        n.peerPool,
		Now:          n.now,
		Log:          n.log.Logger(),
		Problems:     observe.NewProblems(n.now),
		InForce:      func() (uint64, uint64) { return n.configVersion(), 0 },
		OnPeerConfig: n.handleAnnouncedVersion,

		QuarantineDigest: n.quarantine.Digest,
		OnPeerQuarantine: n.handleQuarantineDigest,
		DrainTTL:         reliefTTL,
	})
	n.quarantine.Start(n.peerPool)
	n.peerPool.OnLink(n.handleLinkState)
	return nil
}

// configVersion returns the version of the configuration in force, or 0 if there is none.
func (n *Node) configVersion() uint64 {
	if config := n.state.config.Load(); config != nil {
		return config.Version
	}
	return 0
}

// handleAnnouncedVersion handles the configuration version that another node has in force.
//
// It guards against this failure: a store restored from a backup returns an older configuration for a while,
// and a node that starts then and reads the store itself asks no other node. Its callers would get the
// configuration that they have already seen replaced.
func (n *Node) handleAnnouncedVersion(from core.NodeID, version, _ uint64) {
	if version <= n.configVersion() {
		return
	}
	if known, ok := n.view().Node(from); ok && n.ready.Load() {
		n.follower.Hint(peer.Target{Node: known.ID, Address: known.PeerAddress}, version)
	}
}

// handleQuarantineDigest handles the quarantine digest that another node announces.
func (n *Node) handleQuarantineDigest(from core.NodeID, digest uint64) {
	if known, ok := n.view().Node(from); ok && n.ready.Load() {
		n.quarantine.CompareDigest(peer.Target{Node: known.ID, Address: known.PeerAddress}, digest)
	}
}

// handleLinkState passes evidence from data traffic about the node at the other end of a link to the
// membership.
func (n *Node) handleLinkState(change peer.LinkEvent) {
	if change.State == peer.LinkAnswering {
		n.members.RecordAnswer(change.Peer.Node)
		return
	}
	n.members.RecordFailure(change.Peer.Node)
}

// startAuxiliary starts the servers other than the callers'. The metrics are optional: the node starts even
// if their port is taken.
func (n *Node) startAuxiliary(s *settings.Edge) error {
	directoryLimit := func(limits memory.Connections) int { return limits.Directory }
	checkLimit := func(limits memory.Connections) int { return limits.Checks }
	if err := n.serveAuxiliary(listenerDirectory, s.DirectoryAddress, n.directoryHandler(), directoryLimit); err != nil {
		return err
	}
	if err := n.serveAuxiliary(listenerReadiness, s.ReadyAddress, n.readinessHandler(), checkLimit); err != nil {
		return err
	}
	if err := n.serveAuxiliary(listenerMetrics, s.MetricsAddress, n.operatorHandler(), checkLimit); err != nil {
		n.log.Life("metrics_unavailable", decisionlog.Fields{"error": err.Error()})
	}
	return nil
}

// auxiliaryServer is a server other than the callers', with the name of its listener and what selects its limit of
// connections.
type auxiliaryServer struct {
	*callerServer
	name  string
	limit func(memory.Connections) int
}

func (n *Node) serveAuxiliary(name, address string, handler http.Handler, limit func(memory.Connections) int) error {
	if address == "" {
		return nil
	}
	listener, err := n.sockets.ListenTCP(address)
	if err != nil {
		return err
	}
	server := serveCallers(listener, handler, limit(n.connectionLimits()), n.headMemory, n.callerStalled)
	n.auxiliary = append(n.auxiliary, auxiliaryServer{callerServer: server, name: name, limit: limit})
	return nil
}

// connectionLimits returns how many connections the node's listeners accept.
func (n *Node) connectionLimits() memory.Connections {
	s := n.settings.Load()
	descriptors := processDescriptors()
	if s.Descriptors > 0 {
		descriptors = min(descriptors, s.Descriptors)
	}
	return memory.ConnectionLimits(s.MemoryBytes, descriptors)
}

// Handle implements peer.Handler.
func (n *Node) Handle(inbound *peer.Inbound) {
	switch {
	case !n.ready.Load():
		inbound.Reply(peer.NewRefusal(core.ReasonPeerUnreached), true)
	case inbound.Envelope.GetHeartbeat() != nil:
		n.members.HandleHeartbeat(inbound)
	case inbound.Envelope.GetMirrorRequest() != nil:
		n.mirror.Handle(inbound)
	case inbound.Envelope.GetDelegateRequest() != nil:
		n.handleDelegate(inbound)
	case inbound.Envelope.GetQuarantineNews() != nil:
		n.quarantine.Handle(inbound)
	case inbound.Envelope.GetReplicaConditions() != nil:
		n.handleConditions(inbound)
	default:
		inbound.Reply(peer.NewRefusal(core.ReasonNotAsked), true)
	}
}

// applyConfig applies a new configuration to the limits, metrics and budgets that depend on it.
func (n *Node) applyConfig() {
	config := n.state.config.Load()
	n.callers.setLimits(config.Limits)
	n.callerMemory.setRoutes(config)
	n.metrics.removeServices(func(service string) bool { _, configured := config.Services[service]; return configured })
	bounds := map[string]coldstart.Bound{}
	for name, service := range config.Services {
		bounds[name] = service.Cold
	}
	n.state.mutex.Lock()
	defer n.state.mutex.Unlock()
	n.state.outlook.Replicas.SetColdBounds(bounds)
	n.state.outlook.Budget.RemoveUnused(func(service string) bool { return n.state.outlook.Replicas.CountUsable(service) > 0 }, n.now())
}

// Reload applies reloaded settings. No connection is closed: settings that cannot change in a running process
// keep their values, and the log names them.
func (n *Node) Reload(loaded *settings.Edge) {
	updated := *loaded
	s := &updated
	kept := s.RestoreFixed(n.settings.Load())
	changed := !reflect.DeepEqual(n.settings.Swap(s), s)
	n.seeds.Replace(s.Seeds)
	n.updateExtraBound()
	n.callerMemory.setLimit(s.MemoryBytes)
	n.headMemory.setLimit(s.MemoryBytes)
	n.applyConnectionLimits()
	n.log.Life("settings_reloaded", decisionlog.Fields{"changed": changed, "seeds": s.Seeds, "stop_wait_ms": s.StopWait.Milliseconds(), "needs_restart": kept})
}

// LibraryLogWriter returns a writer that takes the log output of libraries into the node's log.
func (n *Node) LibraryLogWriter() io.Writer { return n.log.LibraryWriter() }

// LogRefusedSettings logs that reloaded settings are invalid; the previous ones stay in force.
func (n *Node) LogRefusedSettings(cause error) {
	n.log.Life("settings_refused", decisionlog.Fields{"error": cause.Error(), "outcome": "the previous settings stay in force"})
}
