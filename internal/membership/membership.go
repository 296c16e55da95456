// Package membership maintains this node's view of the other nodes from the VM
// list, heartbeats and the outcomes of requests. The decisions are made by
// internal/core/member.
package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

const ringDepth = 1024

// Lister reads a list of VMs. A read waits for a list with a sequence above after
// and reports changed false when there is none within wait.
type Lister interface {
	ReadVMs(ctx context.Context, after uint64, wait time.Duration) (list confservice.VMList, changed bool, err error)
}

// Options are the dependencies of a Manager.
type Options struct {
	Self        route.Node
	Incarnation uint64
	// Lister lists the nodes that may exist.
	Lister Lister
	Belief *belief.Store
	Peers  peer.Sender
	// Now reads the node's monotonic clock.
	Now      func() core.Time
	Log      logrus.FieldLogger
	Problems *observe.Problems
	// AnnounceStart makes this node announce that it is starting until it can serve.
	AnnounceStart bool
	// InForce, when set, replaces Belief as the source of the configuration in force.
	InForce func() (revision, digest uint64)
	// OnPeerConfig, when set, receives the configuration in force at a peer from each of its heartbeats.
	OnPeerConfig func(node core.NodeID, revision, digest uint64)
	// QuarantineDigest, when set, returns the digest of this node's quarantined requests; OnPeerQuarantine, when set,
	// receives a peer's digest from each of its heartbeats.
	QuarantineDigest func() uint64
	OnPeerQuarantine func(node core.NodeID, digest uint64)
	// DrainTTL is how long a drain mark holds without being renewed; 0 is the default.
	DrainTTL time.Duration
}

// Manager runs one node's membership. Its state machine runs on one goroutine, the
// reads of the VM list on another.
type Manager struct {
	options      Options
	machine      *member.Machine
	events       *ring.Ring[member.Event]
	ctx          context.Context
	stop         context.CancelFunc
	done         sync.WaitGroup
	lastSequence uint64
	nodes        atomic.Pointer[[]route.Node]
	// vmList is the VM list read last, and nodes its nodes of the tier.
	vmList atomic.Pointer[confservice.VMList]

	mutex       sync.Mutex
	inbound     map[member.ReplyID]*peer.Inbound
	lastReplyID member.ReplyID

	// The fields below are used only by the goroutine of run.
	pending     map[member.ProbeID]pendingProbe
	pausedAt    core.Time
	unreachable []core.NodeID
	lastMarks   drainMarks
}

// pendingProbe is a heartbeat in flight.
type pendingProbe struct {
	canceller peer.Canceller
	at        core.Time
}

// Start starts a Manager; Close stops it.
func Start(options Options) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	m := &Manager{
		options: options,
		machine: member.New(member.Config{Self: options.Self, Incarnation: options.Incarnation, PauseLimit: belief.PauseLimit, AnnounceStart: options.AnnounceStart, DrainTTL: options.DrainTTL}),
		events:  ring.New[member.Event](ringDepth),
		ctx:     ctx,
		stop:    stop,
		inbound: map[member.ReplyID]*peer.Inbound{},
		pending: map[member.ProbeID]pendingProbe{},
	}
	options.Belief.OnDrainingReported(func(address string) {
		m.events.TryPut(member.DrainSeen{Address: address, Draining: true})
	})
	options.Belief.RecordTick(options.Now)
	m.done.Add(2)
	go func() {
		defer m.done.Done()
		m.watchVMList()
	}()
	go func() {
		defer m.done.Done()
		m.run()
	}()
	return m
}

// MarkDraining spreads that an address is draining, or no longer draining. A mark that holds must be renewed by further
// calls within DrainTTL.
func (m *Manager) MarkDraining(address string, draining bool) {
	m.events.TryPut(member.DrainSeen{Address: address, Draining: draining})
}

// Close stops the goroutines and waits for them.
func (m *Manager) Close() {
	m.stop()
	m.done.Wait()
	m.options.Belief.RecordTick(nil)
}

// Rings returns the statistics of the event ring.
func (m *Manager) Rings() ring.Stats { return m.events.Stats() }

// ListedNodes returns the nodes in the VM list read last.
func (m *Manager) ListedNodes() []route.Node {
	listed := m.nodes.Load()
	if listed == nil {
		return nil
	}
	return *listed
}

// Leave announces to the other nodes that this one will stop.
func (m *Manager) Leave() { _ = m.events.Put(m.ctx, member.Leave{}) }

// RecordFailure records that requests to a node fail.
func (m *Manager) RecordFailure(node core.NodeID) { m.events.TryPut(member.RequestsFailed{Node: node}) }

// RecordAnswer records that a node answered a request.
func (m *Manager) RecordAnswer(node core.NodeID) { m.events.TryPut(member.RequestAnswered{Node: node}) }

func (m *Manager) run() {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	m.step(m.tick())
	for {
		select {
		case <-m.ctx.Done():
			return
		case e := <-m.events.Items():
			m.step(e)
		case <-ticker.C:
			m.step(m.tick())
			m.markLeaving()
			m.cancelExpired()
			m.clearExpiredPause()
			// After the step, which sets a pause: once RecordTick has renewed the
			// last tick, the store no longer detects the pause by itself.
			m.options.Belief.RecordTick(m.options.Now)
		}
	}
}

func (m *Manager) tick() member.Tick {
	if m.options.InForce != nil {
		revision, digest := m.options.InForce()
		return member.Tick{Revision: revision, Digest: digest}
	}
	config := m.options.Belief.Config()
	if config == nil {
		return member.Tick{}
	}
	return member.Tick{Revision: config.Revision, Digest: config.Digest}
}

func (m *Manager) step(e member.Event) {
	if replied, ok := e.(member.ReplyReceived); ok {
		delete(m.pending, replied.Probe)
	}
	for _, action := range m.machine.Step(m.options.Now(), e) {
		switch a := action.(type) {
		case member.Send:
			m.send(a)
		case member.Reply:
			m.reply(a)
		case member.Publish:
			m.options.Belief.SetView(a.View)
			m.options.Log.WithFields(logrus.Fields{"event": "view_changed", "nodes": len(a.View.Nodes()), "view": a.View.ID()}).Info("routing view changed")
		case member.PublishDrains:
			m.options.Belief.SetDraining(a.Addresses)
		case member.SetPaused:
			m.setPaused(a)
		case member.SplitView:
			m.reportSplitView(a)
		case member.Unreached:
			m.reportUnreached(a)
		}
	}
}
