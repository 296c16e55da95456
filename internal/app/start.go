package app

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/confwatch"
	"github.com/pistachiopier/pistachiopier/internal/core/entrylimit"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/entry"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/home"
	"github.com/pistachiopier/pistachiopier/internal/membership"
	"github.com/pistachiopier/pistachiopier/internal/owner"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// startOrCleanUp starts the node. fx does not call the stop hook after a failed
// start, so this method stops the components that did start.
func (n *Node) startOrCleanUp(ctx context.Context) error {
	err := n.start(ctx)
	if err != nil {
		_ = n.stop(ctx)
	}
	return err
}

// start starts the components, those that serve requests before those that send
// them. Peers may connect as soon as the peer port is open; Handle refuses their
// requests as not run until every component is running.
func (n *Node) start(context.Context) error {
	tlsConfig, certificates, err := loadTLS(n.settings.TLS, time.Now())
	if err != nil {
		return fault.Wrap("load keys", err)
	}
	n.owner = n.newOwner()
	n.startOperating(tlsConfig, certificates)
	if err := n.startPeers(tlsConfig); err != nil {
		return err
	}
	n.entry = n.newEntry()
	if err := n.startHTTP(); err != nil {
		return err
	}
	n.belief.SetSelf(n.self())
	n.config.Start()
	n.members = n.startMembership()
	n.quarantine.Start(n.pool)
	n.ready.Store(true)
	n.pool.OnLink(n.handleLinkUpdate)
	n.upstream.OnSilent(n.handleSilentUpstream)
	n.logStarted()
	return nil
}

// startPeers opens the pool of outgoing links and the peer listener, and creates the
// components that need links.
func (n *Node) startPeers(tlsConfig *tls.Config) error {
	var err error
	n.pool, err = peer.NewPool(tlsConfig, n.identity, n)
	if err != nil {
		return fault.Wrap("open peer pool", err)
	}
	n.config = n.newConfigWatcher()
	n.home, err = n.newHome()
	if err != nil {
		return fault.Wrap("start home", err)
	}
	n.pool.OnBroken((&linkLogger{log: n.log}).logBroken)
	n.server, err = peer.Listen(n.settings.PeerAddress, tlsConfig, n.identity, n)
	if err != nil {
		return fault.Wrap("listen for peers", err)
	}
	return nil
}

// self returns this node's routing record for other nodes, with the ports chosen for port 0.
func (n *Node) self() route.Node {
	return route.Node{
		ID:              n.identity.Node,
		DataCentre:      n.settings.DataCentre,
		PeerAddress:     n.server.Address(),
		CallerAddress:   n.caller.address,
		OperatorAddress: n.operator.address,
	}
}

func (n *Node) newOwner() *owner.Owner {
	return owner.New(owner.Options{
		Self:     n.identity.Node,
		Belief:   n.belief,
		Upstream: n.upstream,
		Now:      n.now,
		Log:      n.log,
		Problems: n.problems,
		Metrics:  n.metrics,
		Recorder: n.quarantine,
		Assessor: n.quarantine,
	})
}

func (n *Node) newHome() (*home.Home, error) {
	return home.New(home.Options{
		Self:     n.identity.Node,
		Belief:   n.belief,
		Peers:    n.pool,
		Now:      n.now,
		Log:      n.log,
		Limits:   n.settings.Once.Limits(),
		Assessor: n.quarantine,
		Problems: n.problems,
		Metrics:  n.metrics,
	})
}

func (n *Node) newEntry() *entry.Entry {
	return entry.New(entry.Options{
		Self:        n.identity.Node,
		Incarnation: n.identity.Incarnation,
		Belief:      n.belief,
		Peers:       n.pool,
		Now:         n.now,
		Log:         n.log,
		Problems:    n.problems,
		Metrics:     n.metrics,
		Assessor:    n.quarantine,
		Limits:      entrylimit.Config{MaxInFlight: n.settings.Limits.InFlight, Headroom: n.settings.Limits.Headroom},
	})
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

func (n *Node) startMembership() *membership.Manager {
	return membership.Start(membership.Options{
		Self:         n.belief.Self(),
		Incarnation:  n.identity.Incarnation,
		Lister:       n.platform,
		Belief:       n.belief,
		Peers:        n.pool,
		Now:          n.now,
		Log:          n.log,
		Problems:     n.problems,
		OnPeerConfig: n.config.Hint,

		AnnounceStart: true,

		QuarantineDigest: n.quarantine.Digest,
		OnPeerQuarantine: n.receiveQuarantineDigest,
	})
}
