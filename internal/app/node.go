// Package app builds a node out of its parts with fx, and starts and stops it.
package app

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/confwatch"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/entry"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/gather"
	"github.com/pistachiopier/pistachiopier/internal/home"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/membership"
	"github.com/pistachiopier/pistachiopier/internal/night"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/owner"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/platform"
	"github.com/pistachiopier/pistachiopier/internal/ring"
	"github.com/pistachiopier/pistachiopier/internal/settings"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// Node is a running node.
type Node struct {
	settings *settings.Settings
	log      logrus.FieldLogger
	started  time.Time
	identity peer.Identity
	belief   *belief.Store
	problems *observe.Problems
	metrics  observe.Registry
	upstream *upstream.Client
	owner    *owner.Owner
	entry    *entry.Entry
	home     *home.Home
	pool     *peer.Pool
	server   *peer.Server
	platform *platform.Client
	config   *confwatch.Watcher
	members  *membership.Duty
	caller   *httpServer
	operator *httpServer
	gatherer *gather.Gatherer
	prober   *night.Prober
	expiry   *expiryWatch
	rotation api.Rotation
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
	// ready is set once every duty runs: a peer may ask before that.
	ready atomic.Bool
}

// httpServer is a server with the address it got.
type httpServer struct {
	*http.Server
	address  string
	listener *api.LimitedListener
}

// Addresses are where a started node listens.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// Addresses reports where the node listens, with the ports chosen for port 0.
func (n *Node) Addresses() Addresses {
	return Addresses{Caller: n.caller.address, Peer: n.server.Address(), Operator: n.operator.address}
}

// New describes a node as an fx application; Run or Start it.
func New(s *settings.Settings, log logrus.FieldLogger, options ...fx.Option) *fx.App {
	base := []fx.Option{
		fx.WithLogger(func() fxevent.Logger { return logs.Fx(log.WithField("node", s.Node)) }),
		fx.Supply(s),
		fx.Provide(func() logrus.FieldLogger { return log }),
		fx.Provide(newNode),
		fx.Invoke(func(lifecycle fx.Lifecycle, node *Node) {
			lifecycle.Append(fx.Hook{OnStart: node.startOrCleanUp, OnStop: node.stop})
		}),
		fx.StopTimeout(s.StopWait),
	}
	return fx.New(append(base, options...)...)
}

func newNode(s *settings.Settings, log logrus.FieldLogger) (*Node, error) {
	started := time.Now()
	node := &Node{
		settings: s,
		log:      log.WithField("node", s.Node),
		started:  started,
		identity: peer.Identity{Node: core.NodeID(s.Node), Incarnation: uint64(started.UnixNano())},
		belief:   belief.NewStore(),
		problems: observe.NewProblems(func() core.Time { return time.Since(started) }),
		metrics:  observe.NewRegistry(),
		upstream: upstream.NewClient(),
		platform: platform.NewClient(s.Platform),
	}
	return node, nil
}

func (n *Node) now() core.Time { return time.Since(n.started) }

// startOrCleanUp starts the node. fx does not call the stop of a start that
// failed, so that what did start is ended here.
func (n *Node) startOrCleanUp(ctx context.Context) error {
	err := n.start(ctx)
	if err != nil {
		_ = n.stop(ctx)
	}
	return err
}

func (n *Node) start(context.Context) error {
	tlsConfig, certificates, err := loadTLS(n.settings.TLS, time.Now())
	if err != nil {
		return fault.Step("load keys", err)
	}
	n.owner = owner.New(owner.Options{
		Self:     n.identity.Node,
		Belief:   n.belief,
		Upstream: n.upstream,
		Now:      n.now,
		Log:      n.log,
		Problems: n.problems,
		Metrics:  n.metrics,
	})
	n.startOperating(tlsConfig, certificates)
	n.pool, err = peer.NewPool(tlsConfig, n.identity, n)
	if err != nil {
		return fault.Step("open peer pool", err)
	}
	n.config = n.newConfigWatcher()
	n.home, err = home.New(home.Options{
		Self:     n.identity.Node,
		Belief:   n.belief,
		Peers:    n.pool,
		Now:      n.now,
		Log:      n.log,
		Limits:   n.settings.Once.Limits(),
		Problems: n.problems,
		Metrics:  n.metrics,
	})
	if err != nil {
		return fault.Step("start home", err)
	}
	n.pool.OnBroken((&linkLog{log: n.log}).broken)
	n.server, err = peer.Listen(n.settings.PeerAddress, tlsConfig, n.identity, n)
	if err != nil {
		return fault.Step("listen for peers", err)
	}
	n.entry = entry.New(entry.Options{
		Self:        n.identity.Node,
		Incarnation: n.identity.Incarnation,
		Belief:      n.belief,
		Peers:       n.pool,
		Now:         n.now,
		Log:         n.log,
		Problems:    n.problems,
		Metrics:     n.metrics,
	})
	if err := n.startHTTP(); err != nil {
		return err
	}
	n.belief.SetSelf(route.Node{
		ID:              n.identity.Node,
		DataCentre:      n.settings.DataCentre,
		PeerAddress:     n.server.Address(),
		CallerAddress:   n.caller.address,
		OperatorAddress: n.operator.address,
	})
	n.config.Start()
	n.members = membership.Start(membership.Options{
		Self:        n.belief.Self(),
		Incarnation: n.identity.Incarnation,
		Client:      n.platform,
		Belief:      n.belief,
		Peers:       n.pool,
		Now:         n.now,
		Log:         n.log,
		Problems:    n.problems,
		Heard:       n.config.Hint,
	})
	n.ready.Store(true)
	n.pool.OnLink(n.linkNews)
	n.upstream.OnSilent(n.silentUpstream)
	n.logStarted()
	return nil
}

// Handle implements peer.Handler: it hands a peer's request to its duty.
func (n *Node) Handle(inbound *peer.Inbound) {
	if !n.ready.Load() {
		inbound.Reply(peer.Refused(core.ReasonPeerUnreached), true)
		return
	}
	switch body := inbound.Envelope.GetBody().(type) {
	case *peerpb.Envelope_Heartbeat:
		n.members.HandleHeartbeat(inbound)
	case *peerpb.Envelope_ConfigRequest:
		n.config.Handle(inbound)
	case *peerpb.Envelope_BundleRequest:
		n.config.Hint(inbound.From.Node, body.BundleRequest.GetConfigRevision(), 0)
		n.owner.HandleBundle(inbound)
	case *peerpb.Envelope_SubmitRequest:
		if inbound.Envelope.GetSubmitRequest().GetToOwner() {
			n.owner.HandleSubmit(inbound)
			return
		}
		n.home.HandleSubmit(inbound)
	case *peerpb.Envelope_HandoverRequest:
		n.home.HandleHandover(inbound)
	case *peerpb.Envelope_ProblemsRequest:
		n.gatherer.Answer(inbound)
	default:
		// A newer peer may send a body that this node does not know.
		inbound.Reply(peer.Refused(core.ReasonNotAsked), true)
	}
}

// Status is a node's short state for operators.
type Status struct {
	Node        core.NodeID `json:"node"`
	DataCentre  string      `json:"data_centre"`
	Incarnation uint64      `json:"incarnation"`
	Health      api.Health  `json:"health"`
	Revision    uint64      `json:"config_revision"`
	View        uint64      `json:"view"`
	Nodes       int         `json:"nodes"`
	InFlight    int         `json:"in_flight"`
	// Paused is set while the node confirms its beliefs after it stood still.
	Paused bool `json:"paused"`
	// Drained counts the upstreams that were seen draining by any node.
	Drained  int   `json:"drained_upstreams"`
	UptimeMs int64 `json:"uptime_ms"`
}

// Status reports the node's short state.
func (n *Node) Status() Status {
	status := Status{
		Node:        n.identity.Node,
		DataCentre:  n.settings.DataCentre,
		Incarnation: n.identity.Incarnation,
		Health:      n.health(),
		View:        n.belief.View().ID(),
		Nodes:       len(n.belief.View().Nodes()),
		InFlight:    n.entry.InFlight(),
		Paused:      n.belief.Paused(),
		Drained:     n.belief.DrainedUpstreams(),
		UptimeMs:    n.now().Milliseconds(),
	}
	if config := n.belief.Config(); config != nil {
		status.Revision = config.Revision
	}
	return status
}

// Dump is a node's whole state.
type Dump struct {
	Status     any          `json:"status"`
	Nodes      []route.Node `json:"nodes"`
	Links      int          `json:"peer_links"`
	EntryRings []ring.Stats `json:"entry_rings"`
	OwnerRings []ring.Stats `json:"owner_rings"`
	Membership ring.Stats   `json:"membership_ring"`
	Silent     int64        `json:"silent_upstream_connections"`
	HomeRings  []ring.Stats `json:"home_rings"`
	Dropped    int64        `json:"dropped_upstream_replies"`
	// OwnerShards are the queues and replicas of the shards served here.
	OwnerShards []owner.ShardDump `json:"owner_shards"`

	Config   confwatch.Dump `json:"config"`
	Problems any            `json:"problems"`
}

func (n *Node) dump() any {
	return Dump{
		Status:      n.Status(),
		Nodes:       n.belief.View().Nodes(),
		Links:       n.pool.Links(),
		EntryRings:  n.entry.Rings(),
		OwnerRings:  n.owner.Rings(),
		Membership:  n.members.Rings(),
		Silent:      n.upstream.SilentConnections(),
		HomeRings:   n.home.Rings(),
		Dropped:     n.upstream.DroppedReplies(),
		Config:      n.config.Dump(),
		Problems:    n.gatherer.Own().Problems,
		OwnerShards: n.owner.Dump(),
	}
}
