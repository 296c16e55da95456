// Package membership runs the duty that keeps this node's belief about the
// others: it reads the VM list, exchanges heartbeats and takes evidence from
// data traffic. The decisions are those of internal/core/member.
package membership

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/platform"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

const (
	watchWait = 20 * time.Second
	pauseLow  = 100 * time.Millisecond
	ringDepth = 1024
	// ticketLife is when a heartbeat without a reply is withdrawn. The machine
	// has given it up by then.
	ticketLife = 2 * time.Second
	// pauseShown is how long a pause stays among the problems: over a night.
	pauseShown = 12 * time.Hour
)

// Options are the parts of a Duty.
type Options struct {
	Self        route.Node
	Incarnation uint64
	Client      *platform.Client
	Belief      *belief.Store
	Peers       peer.Asker
	// Now reads the node's monotonic clock.
	Now      func() core.Time
	Log      logrus.FieldLogger
	Problems *observe.Problems
	// Heard, when set, is told the configuration that each heartbeat names.
	Heard func(node core.NodeID, revision, digest uint64)
}

// Duty is one node's membership. Its machine runs on one goroutine; the VM list
// is read on another.
type Duty struct {
	options Options
	machine *member.Machine
	events  *ring.Ring[member.Event]
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
	seen    uint64
	listed  atomic.Pointer[[]route.Node]

	mutex   sync.Mutex
	inbound map[member.Ticket]*peer.Inbound
	ticket  member.Ticket

	// asked is used by the duty's goroutine alone.
	asked    map[member.ProbeID]asked
	pausedAt core.Time
	lost     []core.NodeID
}

// asked is a heartbeat that was handed to the peers' pool.
type asked struct {
	ticket peer.Ticket
	at     core.Time
}

// Start begins the duty; Close ends it.
func Start(options Options) *Duty {
	ctx, stop := context.WithCancel(context.Background())
	d := &Duty{
		options: options,
		machine: member.New(member.Config{Self: options.Self, Incarnation: options.Incarnation, PauseLimit: belief.PauseLimit}),
		events:  ring.New[member.Event](ringDepth),
		ctx:     ctx,
		stop:    stop,
		inbound: map[member.Ticket]*peer.Inbound{},
		asked:   map[member.ProbeID]asked{},
	}
	options.Belief.OnDrainSeen(func(address string) {
		d.events.TryPut(member.DrainSeen{Address: address, Draining: true})
	})
	options.Belief.SignOfLife(options.Now)
	d.done.Add(2)
	go func() {
		defer d.done.Done()
		d.watch()
	}()
	go func() {
		defer d.done.Done()
		d.run()
	}()
	return d
}

// Close ends the duty.
func (d *Duty) Close() {
	d.stop()
	d.done.Wait()
	d.options.Belief.SignOfLife(nil)
}

// Rings reports the depth of the duty's ring.
func (d *Duty) Rings() ring.Stats { return d.events.Stats() }

// Listed returns the nodes of the last VM list that was read.
func (d *Duty) Listed() []route.Node {
	listed := d.listed.Load()
	if listed == nil {
		return nil
	}
	return *listed
}

// Leave tells the other nodes that this one will stop.
func (d *Duty) Leave() { _ = d.events.Put(d.ctx, member.Leave{}) }

// Lost takes the evidence that requests to a node fail.
func (d *Duty) Lost(node core.NodeID) { d.events.TryPut(member.Unanswered{Node: node}) }

// Answered takes the evidence that a node answered a request.
func (d *Duty) Answered(node core.NodeID) { d.events.TryPut(member.Answered{Node: node}) }

// HandleHeartbeat takes a peer's heartbeat. A full ring refuses it.
func (d *Duty) HandleHeartbeat(inbound *peer.Inbound) {
	message := Decode(inbound.Envelope.GetHeartbeat())
	if message.From.ID != inbound.From.Node {
		// Only the node that its certificate names speaks for itself.
		inbound.Reply(peer.Refused(core.ReasonNotAsked), true)
		return
	}
	d.heard(message)
	ticket := d.keep(inbound)
	if !d.events.TryPut(member.Received{Ticket: ticket, Message: message}) {
		d.take(ticket)
		inbound.Reply(peer.Refused(core.ReasonOverloaded), true)
	}
}

func (d *Duty) heard(message *member.Message) {
	if d.options.Heard != nil {
		d.options.Heard(message.From.ID, message.Revision, message.Digest)
	}
}

func (d *Duty) keep(inbound *peer.Inbound) member.Ticket {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ticket++
	d.inbound[d.ticket] = inbound
	return d.ticket
}

func (d *Duty) take(ticket member.Ticket) *peer.Inbound {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	inbound := d.inbound[ticket]
	delete(d.inbound, ticket)
	return inbound
}

func (d *Duty) run() {
	ticker := time.NewTicker(member.TickEvery)
	defer ticker.Stop()
	d.step(d.tick())
	for {
		select {
		case <-d.ctx.Done():
			return
		case e := <-d.events.Items():
			d.step(e)
		case <-ticker.C:
			d.step(d.tick())
			d.withdrawOld()
			d.clearOldPause()
			// After the step, so that the pause is set before the sign of
			// life is young again.
			d.options.Belief.SignOfLife(d.options.Now)
		}
	}
}

func (d *Duty) tick() member.Tick {
	config := d.options.Belief.Config()
	if config == nil {
		return member.Tick{}
	}
	return member.Tick{Revision: config.Revision, Digest: config.Digest}
}

func (d *Duty) step(e member.Event) {
	if replied, ok := e.(member.Replied); ok {
		delete(d.asked, replied.Probe)
	}
	for _, action := range d.machine.Step(d.options.Now(), e) {
		switch a := action.(type) {
		case member.Send:
			d.send(a)
		case member.Reply:
			d.reply(a)
		case member.Publish:
			d.options.Belief.SetView(a.View)
			d.options.Log.WithFields(logrus.Fields{"event": "view_changed", "nodes": len(a.View.Nodes()), "view": a.View.ID()}).Info("routing view changed")
		case member.PublishDrains:
			d.options.Belief.SetDrained(a.Addresses)
		case member.SetPaused:
			d.setPaused(a)
		case member.Split:
			d.split(a)
		case member.Unreached:
			d.unreached(a)
		}
	}
}

func (d *Duty) send(a member.Send) {
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: Encode(a.Message)}}
	target := peer.Target{Node: a.To.ID, Address: a.To.PeerAddress}
	ticket := d.options.Peers.Ask(target, envelope, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		if failure != nil || reply.GetHeartbeat() == nil {
			d.events.TryPut(member.Failed{Probe: a.Probe})
			return
		}
		message := Decode(reply.GetHeartbeat())
		d.heard(message)
		d.events.TryPut(member.Replied{Probe: a.Probe, Message: message})
	})
	d.asked[a.Probe] = asked{ticket: ticket, at: d.options.Now()}
}

func (d *Duty) reply(a member.Reply) {
	inbound := d.take(a.Ticket)
	if inbound != nil {
		inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: Encode(a.Message)}}, true)
	}
}

// withdrawOld withdraws heartbeats that were given up, so that a silent link
// holds a bounded number of them.
func (d *Duty) withdrawOld() {
	now := d.options.Now()
	for probe, one := range d.asked {
		if now-one.at > ticketLife {
			one.ticket.Cancel()
			delete(d.asked, probe)
		}
	}
}

func (d *Duty) setPaused(a member.SetPaused) {
	d.options.Belief.SetPaused(a.Paused)
	if !a.Paused {
		d.options.Log.WithField("event", "beliefs_confirmed").Info("beliefs confirmed after a pause")
		return
	}
	d.pausedAt = d.options.Now()
	d.options.Problems.Report(observe.KindPaused, string(d.options.Self.ID), "the process stood still for "+a.Late.Round(time.Millisecond).String())
	d.options.Log.WithFields(logrus.Fields{"event": "process_paused", "late_ms": a.Late.Milliseconds()}).Warn("the process stood still; beliefs are confirmed before work goes on")
}

func (d *Duty) clearOldPause() {
	if d.pausedAt > 0 && d.options.Now()-d.pausedAt > pauseShown {
		d.pausedAt = 0
		d.options.Problems.Clear(observe.KindPaused, string(d.options.Self.ID))
	}
}

func (d *Duty) split(a member.Split) {
	subject := string(d.options.Self.ID)
	if !a.Present {
		d.options.Problems.Clear(observe.KindSplitView, subject)
		return
	}
	d.options.Problems.Report(observe.KindSplitView, subject, splitDetail(a.Unreached))
}

func (d *Duty) unreached(a member.Unreached) {
	for _, node := range d.lost {
		if !slices.Contains(a.Nodes, node) {
			d.options.Problems.Clear(observe.KindPeerUnreachable, string(node))
		}
	}
	for _, node := range a.Nodes {
		if !slices.Contains(d.lost, node) {
			d.options.Problems.Report(observe.KindPeerUnreachable, string(node), "the VM list shows it live, and neither this node nor others reach it")
		}
	}
	d.lost = a.Nodes
}
