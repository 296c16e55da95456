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

// event is an element of a loop's ring.
type event interface{ isEvent() }

// queryReceived passes a new query to its loop.
type queryReceived struct {
	id       uint64
	query    Query
	config   *belief.Config
	deadline core.Time
	results  chan<- askResult
}

// askResult is the result of one call of Entry.Ask. revision is that of the configuration
// that the answer was planned with.
type askResult struct {
	query.Answer
	revision uint64
	// refused is the error of a query that was refused and not run.
	refused error
}

// queryEvent is an event for the machine of one query.
type queryEvent struct {
	id    uint64
	event query.Event
	// plan is the plan that the need indexes of the event refer to; it may be nil.
	plan *query.Plan
}

func (queryReceived) isEvent() {}
func (queryEvent) isEvent()    {}

// shared is the state that all loops of a node share. Each field is safe for concurrent
// use.
type shared struct {
	metrics  *meters
	thin     *thinReporter
	budget   *sharedbudget.Group
	versions *versionTable
}

func newShared(options Options) *shared {
	return &shared{
		metrics:  newMeters(options.Metrics),
		thin:     newThinReporter(options.Problems),
		budget:   sharedbudget.New(budget.GroupConfig{}),
		versions: newVersionTable(),
	}
}

// loop handles a subset of the queries on one goroutine.
type loop struct {
	*shared
	options Options
	ctx     context.Context
	events  *ring.Ring[event]
	alarms  *alarm.Alarms[uint64]
	open    map[uint64]*openQuery
	plans   planCache
	// ownEvents are events that this goroutine has created itself; see replySink.
	ownEvents []queryEvent
}

// openQuery is a query that is not yet answered.
type openQuery struct {
	queryReceived
	machine    *query.Machine
	cancellers map[query.SendID]peer.Canceller
}

func newLoop(ctx context.Context, options Options, shared *shared) *loop {
	return &loop{
		shared:  shared,
		options: options,
		ctx:     ctx,
		events:  ring.New[event](options.ringDepth),
		alarms:  alarm.New[uint64](),
		open:    map[uint64]*openQuery{},
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
		for _, id := range l.alarms.PopDue(l.options.Now()) {
			l.step(id, query.Woken{})
		}
		l.handleOwnEvents()
	}
}

// handleOwnEvents handles the loop's own events, and those that result from them, in
// order.
func (l *loop) handleOwnEvents() {
	for i := 0; i < len(l.ownEvents); i++ {
		l.handle(l.ownEvents[i])
	}
	clear(l.ownEvents)
	l.ownEvents = l.ownEvents[:0]
}

func (l *loop) handle(e event) {
	switch e := e.(type) {
	case queryReceived:
		l.begin(e)
	case queryEvent:
		l.recordVersions(e)
		l.step(e.id, e.event)
	}
}

func (l *loop) begin(e queryReceived) {
	plan := l.plan(e.config, e.query.Service)
	precautions := l.precautions(plan, e.query)
	if refused := refuseSetAside(plan, precautions, e.query.LeastCoverage); refused != nil {
		l.metrics.setAside.Inc(1)
		e.results <- askResult{refused: refused}
		return
	}
	l.open[e.id] = &openQuery{
		queryReceived: e,
		machine: query.New(plan, query.Options{
			Deadline:      e.deadline,
			LeastCoverage: e.query.LeastCoverage,
			Preference:    e.query.Preference,
			Preferred:     l.versions.preferred(plan),
			RetryPause:    retryPause,
			MaxTries:      maxTries,
			MaxReroutes:   maxReroutes,
			MaxSwitches:   maxSwitches,
			SwitchReserve: e.query.Timeout / reserveDivisor,
			MaxReplans:    maxReplans,
			FallbackAfter: e.query.Timeout / fallbackDivisor,
			Budget:        customerBudget{group: l.budget, customer: e.query.Customer},
			Precautions:   precautions,
		}),
		cancellers: map[query.SendID]peer.Canceller{},
	}
	l.step(e.id, query.Started{})
}

// customerBudget applies the node's budgets to one customer.
type customerBudget struct {
	group    *sharedbudget.Group
	customer core.Customer
}

// AddFirst implements query.Budget.
func (b customerBudget) AddFirst(service string, n int) { b.group.AddFirst(service, b.customer, n) }

// TakeExtra implements query.Budget.
func (b customerBudget) TakeExtra(service string) bool { return b.group.TakeExtra(service, b.customer) }

// plan returns the plan of a service. With a new configuration it also removes the state
// of shards and services that the configuration no longer lists.
func (l *loop) plan(config *belief.Config, service string) *query.Plan {
	if l.plans.config != config {
		l.versions.retain(config)
		l.thin.retain(func(name string) bool { return config.Catalog.Services[name] != nil })
	}
	return l.plans.get(config, service)
}

// replan passes the plan of the configuration in force to the query's machine, if the
// query was planned with another configuration.
func (l *loop) replan(q *openQuery) {
	config := l.options.Belief.Config()
	if config == q.config {
		return
	}
	plan := l.plan(config, q.query.Service)
	if plan == nil {
		return
	}
	q.config = config
	l.step(q.id, query.Replanned{Plan: plan, Precautions: l.precautions(plan, q.query)})
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
			if canceller := q.cancellers[a.ID]; canceller != nil {
				canceller.Cancel()
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

func (l *loop) finish(q *openQuery, answer query.Answer) {
	l.alarms.Clear(q.id)
	delete(l.open, q.id)
	l.metrics.countAnswer(&answer)
	service := q.config.Catalog.Services[q.query.Service]
	l.thin.recordAnswer(q.machine.Plan(), &answer, service == nil || q.query.Timeout < service.Timeout)
	q.results <- askResult{Answer: answer, revision: q.config.Revision}
}

// recordVersions records the versions that shards report, also in failed parts. Replies
// to sends of an earlier plan are skipped, because their need indexes refer to it.
func (l *loop) recordVersions(e queryEvent) {
	q := l.open[e.id]
	if q == nil || q.machine.Plan() != e.plan {
		return
	}
	switch event := e.event.(type) {
	case query.PartArrived:
		l.recordShardVersions(e.plan, event.Need, event.Serves)
	case query.PartFailed:
		l.recordShardVersions(e.plan, event.Need, event.Serves)
	}
}

func (l *loop) recordShardVersions(plan *query.Plan, need int, serves []core.Version) {
	if need != noShard {
		l.versions.update(plan.Needs[need].Ref, serves)
	}
}

func (l *loop) send(q *openQuery, a query.Send) {
	node, ok := l.node(q.config.Catalog, a)
	if !ok {
		l.ownEvents = append(l.ownEvents, queryEvent{id: q.id, event: query.SendFailed{Send: a.ID, Outcome: core.NotRun, Reason: core.ReasonPeerUnreached}})
		return
	}
	message := &peerpb.BundleRequest{
		Customer:       string(q.query.Customer),
		RequestId:      q.query.RequestID,
		Bundle:         uint32(a.Bundle),
		Version:        uint64(a.Version),
		TimeLeftUs:     uint64(a.TimeLeft.Microseconds()),
		Question:       q.query.Body,
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
	replies := &replySink{loop: l, deadline: q.deadline, asking: true}
	q.cancellers[a.ID] = l.options.Peers.Send(target, envelope, l.sink(q, a, replies))
	l.ownEvents = append(l.ownEvents, replies.endAsk()...)
}

// node returns the node at the send's rank in the bundle's owner order. With direct
// routing each entry sends to itself.
func (l *loop) node(cat *catalog.Catalog, a query.Send) (route.Node, bool) {
	if cat.Policy.Routing == catalog.RoutingDirect {
		return route.Node{ID: l.options.Self}, true
	}
	bundle := cat.Bundles[a.Bundle]
	if bundle == nil {
		return route.Node{}, false
	}
	return l.options.Belief.View().Rank(a.Bundle, bundle.DataCentre, a.Rank)
}

func (l *loop) ask(q *openQuery, need int, version core.Version) *peerpb.ShardAsk {
	plan := q.machine.Plan()
	needed := plan.Needs[need]
	service := &plan.Services[needed.Service]
	ask := &peerpb.ShardAsk{Service: needed.Ref.Service, Shard: uint32(needed.Ref.Shard), Shards: uint32(len(service.Shards))}
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
