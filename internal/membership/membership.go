// Package membership runs the duty that keeps this node's belief about the
// others: it reads the VM list, exchanges heartbeats and takes evidence from
// data traffic. The decisions are those of internal/core/member.
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

// Lister reads a list of VMs. A read with a wait returns after it when nothing has
// changed behind the given sequence.
type Lister interface {
	ReadVMs(ctx context.Context, after uint64, wait time.Duration) (list confservice.VMList, changed bool, err error)
}

// Options are the parts of a Duty.
type Options struct {
	Self        route.Node
	Incarnation uint64
	// List is read for the nodes that there may be.
	List   Lister
	Belief *belief.Store
	Peers  peer.Asker
	// Now reads the node's monotonic clock.
	Now      func() core.Time
	Log      logrus.FieldLogger
	Problems *observe.Problems
	// InForce, when set, names the configuration in force in place of Belief.
	InForce func() (revision, digest uint64)
	// Heard, when set, is told the configuration that each heartbeat names.
	Heard func(node core.NodeID, revision, digest uint64)
	// Quarantine, when set, sums up what this node knows of requests that are set aside; HeardQuarantine is told
	// what each heartbeat says of them.
	Quarantine      func() uint64
	HeardQuarantine func(node core.NodeID, digest uint64)
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
	// list is the VM list last read.
	list atomic.Pointer[confservice.VMList]

	mutex   sync.Mutex
	inbound map[member.ReplyID]*peer.Inbound
	ticket  member.ReplyID

	// asked is used by the duty's goroutine alone.
	asked    map[member.ProbeID]asked
	pausedAt core.Time
	lost     []core.NodeID
	marked   marking
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
		inbound: map[member.ReplyID]*peer.Inbound{},
		asked:   map[member.ProbeID]asked{},
	}
	options.Belief.OnDrainingReported(func(address string) {
		d.events.TryPut(member.DrainSeen{Address: address, Draining: true})
	})
	options.Belief.RecordTick(options.Now)
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
	d.options.Belief.RecordTick(nil)
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
func (d *Duty) Lost(node core.NodeID) { d.events.TryPut(member.RequestsFailed{Node: node}) }

// Answered takes the evidence that a node answered a request.
func (d *Duty) Answered(node core.NodeID) { d.events.TryPut(member.RequestAnswered{Node: node}) }

func (d *Duty) run() {
	ticker := time.NewTicker(member.TickInterval)
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
			d.markLeaving()
			d.withdrawOld()
			d.clearOldPause()
			// After the step, so that the pause is set before the last tick
			// is renewed.
			d.options.Belief.RecordTick(d.options.Now)
		}
	}
}

func (d *Duty) tick() member.Tick {
	if d.options.InForce != nil {
		revision, digest := d.options.InForce()
		return member.Tick{Revision: revision, Digest: digest}
	}
	config := d.options.Belief.Config()
	if config == nil {
		return member.Tick{}
	}
	return member.Tick{Revision: config.Revision, Digest: config.Digest}
}

func (d *Duty) step(e member.Event) {
	if replied, ok := e.(member.ReplyReceived); ok {
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
			d.options.Belief.SetDraining(a.Addresses)
		case member.SetPaused:
			d.setPaused(a)
		case member.SplitView:
			d.split(a)
		case member.Unreached:
			d.unreached(a)
		}
	}
}
