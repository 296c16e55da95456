package entry

import (
	"context"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/alarm"
	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

// event is what a loop's ring carries.
type event interface{ isEvent() }

// begun hands a new question to its loop.
type begun struct {
	id       uint64
	question Question
	config   *belief.Config
	plan     *query.Plan
	deadline core.Time
	answers  chan<- query.Answer
}

// stepped is an event for one question's machine.
type stepped struct {
	id    uint64
	event query.Event
}

func (begun) isEvent()   {}
func (stepped) isEvent() {}

// loop is one goroutine's share of the questions.
type loop struct {
	options   Options
	ctx       context.Context
	events    *ring.Ring[event]
	alarms    *alarm.Alarms[uint64]
	open      map[uint64]*open
	knowledge *query.Knowledge
}

// open is one question being answered.
type open struct {
	begun
	machine *query.Machine
	tickets map[query.SendID]peer.Ticket
}

func newLoop(ctx context.Context, options Options) *loop {
	return &loop{
		options:   options,
		ctx:       ctx,
		events:    ring.New[event](ringDepth),
		alarms:    alarm.New[uint64](),
		open:      map[uint64]*open{},
		knowledge: query.NewKnowledge(),
	}
}

func (l *loop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if at, ok := l.alarms.Next(); ok {
			timer.Reset(at - l.options.Now())
		}
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.events.Items():
			l.handle(e)
		case <-timer.C:
		}
		for _, id := range l.alarms.Pop(l.options.Now()) {
			l.step(id, query.Woken{})
		}
	}
}

func (l *loop) handle(e event) {
	switch e := e.(type) {
	case begun:
		l.begin(e)
	case stepped:
		l.step(e.id, e.event)
	}
}

func (l *loop) begin(e begun) {
	l.open[e.id] = &open{
		begun: e,
		machine: query.New(e.plan, query.Options{
			Deadline:      e.deadline,
			LeastCoverage: e.question.LeastCoverage,
			Preference:    e.question.Preference,
			Preferred:     l.knowledge.Preferred(e.plan),
			RetryPause:    retryPause,
			MaxTries:      maxTries,
			MaxSwitches:   maxSwitches,
			FallbackAfter: e.question.Timeout / fallbackShare,
		}),
		tickets: map[query.SendID]peer.Ticket{},
	}
	l.step(e.id, query.Started{})
}

func (l *loop) step(id uint64, e query.Event) {
	q := l.open[id]
	if q == nil {
		return
	}
	l.learn(q, e)
	for _, action := range q.machine.Step(l.options.Now(), e) {
		switch a := action.(type) {
		case query.Send:
			l.send(q, a)
		case query.CancelSend:
			if ticket := q.tickets[a.ID]; ticket != nil {
				ticket.Cancel()
			}
		case query.WakeAt:
			l.alarms.Set(id, a.At)
		case query.Finish:
			l.alarms.Clear(id)
			delete(l.open, id)
			q.answers <- a.Answer
		}
	}
}

// learn keeps what shards say of their versions, also from failed parts.
func (l *loop) learn(q *open, e query.Event) {
	switch e := e.(type) {
	case query.PartArrived:
		l.knowledge.Learn(q.plan.Needs[e.Need].Ref, e.Serves)
	case query.PartFailed:
		l.knowledge.Learn(q.plan.Needs[e.Need].Ref, e.Serves)
	}
}

func (l *loop) send(q *open, a query.Send) {
	node, ok := l.node(q.config.Catalog, a)
	if !ok {
		l.put(q.id, query.SendFailed{Send: a.ID, Outcome: core.NotRun, Reason: core.ReasonPeerUnreached})
		return
	}
	message := &peerpb.BundleRequest{
		Customer:       string(q.question.Customer),
		RequestId:      q.question.RequestID,
		Bundle:         uint32(a.Bundle),
		Version:        uint64(a.Version),
		TimeLeftUs:     uint64(a.TimeLeft.Microseconds()),
		Question:       q.question.Body,
		View:           l.options.Belief.View().ID(),
		Rank:           uint32(a.Rank),
		ConfigRevision: q.config.Revision,
	}
	for _, need := range a.Needs {
		message.Asks = append(message.Asks, l.ask(q, need, a.Version))
	}
	target := peer.Target{Node: node.ID, Address: node.PeerAddress}
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_BundleRequest{BundleRequest: message}}
	q.tickets[a.ID] = l.options.Peers.Ask(target, envelope, l.sink(q, a))
}

// node finds the node at the send's place of the bundle's order. With direct
// routing every entry asks itself.
func (l *loop) node(text *catalog.Catalog, a query.Send) (route.Node, bool) {
	if text.Policy.Routing == catalog.RoutingDirect {
		return route.Node{ID: l.options.Self}, true
	}
	bundle := text.Bundles[a.Bundle]
	return l.options.Belief.View().Rank(a.Bundle, bundle.DataCentre, a.Rank)
}

func (l *loop) ask(q *open, need int, version core.Version) *peerpb.ShardAsk {
	written := q.plan.Needs[need]
	ask := &peerpb.ShardAsk{Service: written.Ref.Service, Shard: uint32(written.Ref.Shard)}
	for _, dependency := range q.plan.Services[written.Service].DependsOn {
		for _, part := range q.machine.Parts(dependency, version) {
			ask.Dependencies = append(ask.Dependencies, &peerpb.DependencyPart{
				Service: part.Ref.Service,
				Shard:   uint32(part.Ref.Shard),
				Payload: part.Payload,
			})
		}
	}
	return ask
}

// sink turns the replies to a send into events. It is called from the peer's
// reading goroutine, which waits when the ring is full.
func (l *loop) sink(q *open, a query.Send) peer.Sink {
	id := q.id
	plan := q.plan
	return func(reply *peerpb.Envelope, failure *peer.LinkError) {
		switch {
		case failure != nil:
			l.put(id, query.SendFailed{Send: a.ID, Outcome: failure.Outcome, Reason: linkReason(failure)})
		case reply.GetPart() != nil:
			l.put(id, partEvent(plan, a, reply.GetPart()))
		case reply.GetRefusal() != nil:
			l.put(id, query.SendFailed{Send: a.ID, Outcome: core.NotRun, Reason: core.Reason(reply.GetRefusal().GetReason())})
		}
	}
}

// put queues an event. The loop's own goroutine uses it too, and must not wait
// for itself: a full ring is then emptied by another goroutine's wait.
func (l *loop) put(id uint64, e query.Event) {
	if l.events.TryPut(stepped{id: id, event: e}) {
		return
	}
	go func() { _ = l.events.Put(l.ctx, stepped{id: id, event: e}) }()
}

func linkReason(failure *peer.LinkError) core.Reason {
	if failure.Outcome == core.NotRun {
		return core.ReasonPeerUnreached
	}
	return core.ReasonPeerLost
}

// partEvent finds the shard that a part is for. A part that names none of the
// send's shards becomes an event for no shard, which the machine counts.
func partEvent(plan *query.Plan, a query.Send, part *peerpb.Part) query.Event {
	index := -1
	ref := core.ShardRef{Service: part.GetService(), Shard: int(part.GetShard())}
	for _, need := range a.Needs {
		if plan.Needs[need].Ref == ref {
			index = need
		}
	}
	var serves []core.Version
	for _, version := range part.GetServes() {
		serves = append(serves, core.Version(version))
	}
	if index < 0 {
		return query.SendFailed{Send: a.ID, Outcome: core.Unknown, Reason: core.ReasonCrossedReply}
	}
	if core.Outcome(part.GetOutcome()) != core.Done {
		return query.PartFailed{
			Send: a.ID, Need: index,
			Outcome:    core.Outcome(part.GetOutcome()),
			Reason:     core.Reason(part.GetReason()),
			Serves:     serves,
			RetryAfter: time.Duration(part.GetRetryAfterMs()) * time.Millisecond,
		}
	}
	return query.PartArrived{Send: a.ID, Need: index, Version: core.Version(part.GetVersion()), Serves: serves, Payload: part.GetPayload()}
}
