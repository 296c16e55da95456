package entry

import (
	"context"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/alarm"
	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/ring"
	"github.com/pistachiopier/pistachiopier/internal/sharedbudget"
)

// event is what a loop's ring carries.
type event interface{ isEvent() }

// begun hands a new question to its loop.
type begun struct {
	id       uint64
	question Question
	config   *belief.Config
	deadline core.Time
	answers  chan<- answered
}

// answered is a question's answer and the text that it was drawn by.
type answered struct {
	query.Answer
	revision uint64
	// refused is the error of a question that was refused and not run.
	refused error
}

// stepped is an event for one question's machine.
type stepped struct {
	id    uint64
	event query.Event
	// plan is the one that the event's shards are counted by; nil is none.
	plan *query.Plan
}

func (begun) isEvent()   {}
func (stepped) isEvent() {}

// shared is what a node's loops have in common; each part is safe for
// concurrent use.
type shared struct {
	metrics   *meters
	thin      *thinWatch
	budget    *sharedbudget.Group
	knowledge *knowledge
}

func newShared(options Options) *shared {
	return &shared{
		metrics:   newMeters(options.Metrics),
		thin:      newThinWatch(options.Problems),
		budget:    sharedbudget.New(budget.GroupConfig{}),
		knowledge: newKnowledge(),
	}
}

// loop is one goroutine's share of the questions.
type loop struct {
	*shared
	options Options
	ctx     context.Context
	events  *ring.Ring[event]
	alarms  *alarm.Alarms[uint64]
	open    map[uint64]*open
	plans   plans
	// own are events that this goroutine made itself; see replies.
	own []stepped
}

// open is one question being answered.
type open struct {
	begun
	machine *query.Machine
	tickets map[query.SendID]peer.Canceller
}

func newLoop(ctx context.Context, options Options, shared *shared) *loop {
	return &loop{
		shared:  shared,
		options: options,
		ctx:     ctx,
		events:  ring.New[event](options.ringDepth),
		alarms:  alarm.New[uint64](),
		open:    map[uint64]*open{},
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
		l.drainOwn()
	}
}

// drainOwn handles the loop's own events, and those that they lead to, in order.
func (l *loop) drainOwn() {
	for i := 0; i < len(l.own); i++ {
		l.handle(l.own[i])
	}
	clear(l.own)
	l.own = l.own[:0]
}

func (l *loop) handle(e event) {
	switch e := e.(type) {
	case begun:
		l.begin(e)
	case stepped:
		l.learn(e)
		l.step(e.id, e.event)
	}
}

func (l *loop) begin(e begun) {
	plan := l.plan(e.config, e.question.Service)
	precautions := l.precautions(plan, e.question)
	if refused := refuseSetAside(plan, precautions, e.question.LeastCoverage); refused != nil {
		l.metrics.setAside.Inc(1)
		e.answers <- answered{refused: refused}
		return
	}
	l.open[e.id] = &open{
		begun: e,
		machine: query.New(plan, query.Options{
			Deadline:      e.deadline,
			LeastCoverage: e.question.LeastCoverage,
			Preference:    e.question.Preference,
			Preferred:     l.knowledge.preferred(plan),
			RetryPause:    retryPause,
			MaxTries:      maxTries,
			MaxReroutes:   maxReroutes,
			MaxSwitches:   maxSwitches,
			SwitchReserve: e.question.Timeout / reserveShare,
			MaxReplans:    maxReplans,
			FallbackAfter: e.question.Timeout / fallbackShare,
			Budget:        customerBudget{group: l.budget, customer: e.question.Customer},
			Precautions:   precautions,
		}),
		tickets: map[query.SendID]peer.Canceller{},
	}
	l.step(e.id, query.Started{})
}

// customerBudget is one customer's view of the node's budgets.
type customerBudget struct {
	group    *sharedbudget.Group
	customer core.Customer
}

// FirstTry implements query.Budget.
func (b customerBudget) FirstTry(service string, n int) { b.group.FirstTry(service, b.customer, n) }

// TryExtra implements query.Budget.
func (b customerBudget) TryExtra(service string) bool { return b.group.TryExtra(service, b.customer) }

// plan returns a service's plan. With a new text it forgets what the former
// one alone listed.
func (l *loop) plan(config *belief.Config, service string) *query.Plan {
	if l.plans.config != config {
		l.knowledge.retain(config)
		l.thin.retain(func(name string) bool { return config.Catalog.Services[name] != nil })
	}
	return l.plans.get(config, service)
}

// replan offers the question the text in force, when that is not its own.
func (l *loop) replan(q *open) {
	config := l.options.Belief.Config()
	if config == q.config {
		return
	}
	plan := l.plan(config, q.question.Service)
	if plan == nil {
		return
	}
	q.config = config
	l.step(q.id, query.Replanned{Plan: plan, Precautions: l.precautions(plan, q.question)})
}

func (l *loop) step(id uint64, e query.Event) {
	q := l.open[id]
	if q == nil {
		return
	}
	replan := false
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
		case query.Replan:
			replan = true
		case query.Finish:
			l.finish(q, a.Answer)
		}
	}
	if replan && l.open[id] != nil {
		l.replan(q)
	}
}

func (l *loop) finish(q *open, answer query.Answer) {
	l.alarms.Clear(q.id)
	delete(l.open, q.id)
	l.metrics.answered(&answer)
	service := q.config.Catalog.Services[q.question.Service]
	l.thin.answered(q.machine.Plan(), &answer, service == nil || q.question.Timeout < service.Timeout)
	q.answers <- answered{Answer: answer, revision: q.config.Revision}
}

// learn keeps what shards say of their versions, also from failed parts. A
// reply to a former plan's send counts its shards in another order.
func (l *loop) learn(e stepped) {
	q := l.open[e.id]
	if q == nil || q.machine.Plan() != e.plan {
		return
	}
	switch event := e.event.(type) {
	case query.PartArrived:
		l.learnShard(e.plan, event.Need, event.Serves)
	case query.PartFailed:
		l.learnShard(e.plan, event.Need, event.Serves)
	}
}

func (l *loop) learnShard(plan *query.Plan, need int, serves []core.Version) {
	if need != noShard {
		l.knowledge.learn(plan.Needs[need].Ref, serves)
	}
}

func (l *loop) send(q *open, a query.Send) {
	node, ok := l.node(q.config.Catalog, a)
	if !ok {
		l.own = append(l.own, stepped{id: q.id, event: query.SendFailed{Send: a.ID, Outcome: core.NotRun, Reason: core.ReasonPeerUnreached}})
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
	for i, need := range a.Needs {
		ask := l.ask(q, need, a.Version)
		if a.Trials != nil {
			ask.Trial = uint32(a.Trials[i])
		}
		message.Asks = append(message.Asks, ask)
	}
	target := peer.Target{Node: node.ID, Address: node.PeerAddress}
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_BundleRequest{BundleRequest: message}}
	replies := &replies{loop: l, deadline: q.deadline, asking: true}
	q.tickets[a.ID] = l.options.Peers.Send(target, envelope, l.sink(q, a, replies))
	l.own = append(l.own, replies.asked()...)
}

// node finds the node at the send's place of the bundle's order. With direct
// routing every entry asks itself.
func (l *loop) node(text *catalog.Catalog, a query.Send) (route.Node, bool) {
	if text.Policy.Routing == catalog.RoutingDirect {
		return route.Node{ID: l.options.Self}, true
	}
	bundle := text.Bundles[a.Bundle]
	if bundle == nil {
		return route.Node{}, false
	}
	return l.options.Belief.View().Rank(a.Bundle, bundle.DataCentre, a.Rank)
}

func (l *loop) ask(q *open, need int, version core.Version) *peerpb.ShardAsk {
	plan := q.machine.Plan()
	written := plan.Needs[need]
	service := &plan.Services[written.Service]
	ask := &peerpb.ShardAsk{Service: written.Ref.Service, Shard: uint32(written.Ref.Shard), Shards: uint32(len(service.Shards))}
	for _, dependency := range service.DependsOn {
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
