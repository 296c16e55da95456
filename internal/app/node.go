// Package app builds a node out of its parts with fx, and starts and stops it.
package app

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/confwatch"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/entry"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/membership"
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
	pool     *peer.Pool
	server   *peer.Server
	platform *platform.Client
	config   *confwatch.Watcher
	members  *membership.Watcher
	caller   *httpServer
	operator *httpServer
}

// httpServer is a server with the address it got.
type httpServer struct {
	*http.Server
	address string
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
		fx.NopLogger,
		fx.Supply(s),
		fx.Provide(func() logrus.FieldLogger { return log }),
		fx.Provide(newNode),
		fx.Invoke(func(lifecycle fx.Lifecycle, node *Node) {
			lifecycle.Append(fx.Hook{OnStart: node.start, OnStop: node.stop})
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

func (n *Node) start(context.Context) error {
	tlsConfig, err := loadTLS(n.settings.TLS)
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
	n.pool, err = peer.NewPool(tlsConfig, n.identity, n)
	if err != nil {
		return fault.Step("open peer pool", err)
	}
	n.config = n.newConfigWatcher()
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
	n.config.Start()
	n.members = membership.Start(n.platform, n.belief, n.log)
	n.logStarted()
	return nil
}

// logStarted tells the addresses, which settings with port 0 do not know.
func (n *Node) logStarted() {
	addresses := n.Addresses()
	n.log.WithFields(logrus.Fields{
		"event":            "node_started",
		"incarnation":      n.identity.Incarnation,
		"caller_address":   addresses.Caller,
		"peer_address":     addresses.Peer,
		"operator_address": addresses.Operator,
	}).Info("node started")
}

func (n *Node) newConfigWatcher() *confwatch.Watcher {
	return confwatch.New(confwatch.Options{
		Self:       n.identity.Node,
		DataCentre: n.settings.DataCentre,
		Service:    n.platform,
		Belief:     n.belief,
		Peers:      n.pool,
		Now:        n.now,
		Log:        n.log,
		Problems:   n.problems,
		Metrics:    n.metrics,
		Seed:       n.identity.Incarnation,
	})
}

func (n *Node) startHTTP() error {
	caller := api.NewCaller(api.CallerParts{Entry: n.entry, Entries: n.entries, MaxBodyBytes: int64(n.settings.Limits.MaxBodyBytes)})
	operator := api.NewOperator(api.OperatorParts{Health: n.health, Status: func() any { return n.Status() }, Dump: n.dump})
	var err error
	n.caller, err = n.serve(n.settings.CallerAddress, caller)
	if err != nil {
		return fault.Step("listen for callers", err)
	}
	n.operator, err = n.serve(n.settings.OperatorAddress, operator)
	return fault.Step("listen for operators", err)
}

func (n *Node) serve(address string, handler http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeAddress, Message: "cannot listen on " + address, Fix: "choose a free address of this VM in the settings", Cause: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: n.settings.Limits.HeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return &httpServer{Server: server, address: listener.Addr().String()}, nil
}

// stop finishes what is in flight, then ends the duties. It also cleans up
// after a start that failed half-way.
func (n *Node) stop(ctx context.Context) error {
	var problems []error
	if n.caller != nil {
		problems = append(problems, n.caller.Shutdown(ctx))
	}
	if n.members != nil {
		n.members.Close()
	}
	if n.config != nil {
		n.config.Close()
	}
	if n.entry != nil {
		n.entry.Close()
	}
	if n.owner != nil {
		n.owner.Close()
	}
	if n.server != nil {
		problems = append(problems, n.server.Close())
	}
	if n.pool != nil {
		problems = append(problems, n.pool.Close())
	}
	if n.operator != nil {
		problems = append(problems, n.operator.Close())
	}
	n.upstream.Close()
	n.platform.Close()
	return errors.Join(problems...)
}

// Handle implements peer.Handler: it hands a peer's request to its duty.
func (n *Node) Handle(inbound *peer.Inbound) {
	switch body := inbound.Envelope.GetBody().(type) {
	case *peerpb.Envelope_ConfigRequest:
		n.config.Handle(inbound)
	case *peerpb.Envelope_BundleRequest:
		n.config.Hint(inbound.From.Node, body.BundleRequest.GetConfigRevision(), 0)
		n.owner.HandleBundle(inbound)
	default:
		// A newer peer may send a body that this node does not know.
		inbound.Reply(peer.Refused(core.ReasonNotAsked), true)
	}
}

func (n *Node) entries() api.Entries {
	out := api.Entries{TTLMs: n.settings.EntriesTTL.Milliseconds()}
	for _, node := range n.belief.View().Nodes() {
		out.Entries = append(out.Entries, api.EntryAddress{Node: node.ID, Address: node.CallerAddress, DataCentre: node.DataCentre})
	}
	return out
}

func (n *Node) health() api.Health {
	if n.belief.Config() == nil {
		return api.Health{State: "starting", Why: "no configuration is in force yet"}
	}
	if len(n.belief.View().Nodes()) == 0 {
		return api.Health{State: "starting", Why: "the VM list is not read yet"}
	}
	return api.Health{State: "ready"}
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
	UptimeMs    int64       `json:"uptime_ms"`
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
	Dropped    int64        `json:"dropped_upstream_replies"`

	Config confwatch.Dump `json:"config"`
}

func (n *Node) dump() any {
	return Dump{
		Status:     n.Status(),
		Nodes:      n.belief.View().Nodes(),
		Links:      n.pool.Links(),
		EntryRings: n.entry.Rings(),
		OwnerRings: n.owner.Rings(),
		Dropped:    n.upstream.DroppedReplies(),
		Config:     n.config.Dump(),
	}
}

func loadTLS(paths settings.TLS) (*tls.Config, error) {
	authority, err := settings.PEM(paths.Authority)
	if err != nil {
		return nil, err
	}
	certificate, err := settings.PEM(paths.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := settings.PEM(paths.Key)
	if err != nil {
		return nil, err
	}
	return keys.Config(authority, keys.Pair{Certificate: certificate, Key: key})
}
