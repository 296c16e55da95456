// Package app builds a node from its components with fx, and starts and stops it.
package app

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/confwatch"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/entry"
	"github.com/pistachiopier/pistachiopier/internal/gather"
	"github.com/pistachiopier/pistachiopier/internal/home"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/membership"
	"github.com/pistachiopier/pistachiopier/internal/night"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/owner"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/quarantine"
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
	// quarantine tracks requests that may crash the replicas that run them.
	quarantine *quarantine.ReplicatedLedger
	owner      *owner.Owner
	entry      *entry.Entry
	home       *home.Home
	pool       *peer.Pool
	server     *peer.Server
	platform   *confservice.Client
	config     *confwatch.Watcher
	members    *membership.Manager
	caller     *httpServer
	operator   *httpServer
	collector  *gather.Collector
	prober     *night.Prober
	expiry     *expiryWatcher
	rotation   api.Rotation
	// stopping is set once a planned stop begins.
	stopping atomic.Bool
	// ready is set once every component runs; peers may send requests before that.
	ready atomic.Bool
}

// httpServer is a server with the address that it listens on.
type httpServer struct {
	*http.Server
	address  string
	listener *api.LimitedListener
}

// Addresses are the addresses that a started node listens on.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// Addresses returns the addresses that the node listens on, with the ports chosen for port 0.
func (n *Node) Addresses() Addresses {
	return Addresses{Caller: n.caller.address, Peer: n.server.Address(), Operator: n.operator.address}
}

// New returns a node as an fx application, which its Run or Start method starts.
func New(s *settings.Settings, log logrus.FieldLogger, options ...fx.Option) *fx.App {
	base := []fx.Option{
		fx.WithLogger(func() fxevent.Logger { return logs.NewFxLogger(log.WithField("node", s.Node)) }),
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
		platform: confservice.NewClient(s.Platform),
	}
	node.upstream.DetectEnded()
	node.quarantine = quarantine.New(quarantine.Options{
		Now: node.now, OnChange: node.logStandingChange,
		Self: node.identity.Node, Nodes: func() []route.Node { return node.belief.View().Nodes() },
	})
	return node, nil
}

func (n *Node) now() core.Time { return time.Since(n.started) }
