package owner

import (
	"context"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/alarm"
	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/ring"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

const (
	maxQueue = 512
	// connectionShareDivisor keeps half of a replica's connections for a second
	// owner: during a partition, a pause or a hand-over two nodes may each take
	// themselves for the owner, and together they must stay under the limit.
	connectionShareDivisor = 2
)

// event is what a loop's ring carries.
type event interface{ isEvent() }

// arrived is a peer's request; at is when it was taken from the stream.
type arrived struct {
	inbound *peer.Inbound
	at      core.Time
	// submit is set for a must-not-repeat request.
	submit *submitWork
}

// withdrawn says that the asker of an arrived request has gone.
type withdrawn struct{ inbound *peer.Inbound }

// ended is the end of an upstream request.
type ended struct {
	ref    core.ShardRef
	try    admit.TryID
	result upstream.Result
}

func (arrived) isEvent()   {}
func (withdrawn) isEvent() {}
func (ended) isEvent()     {}

// loop is one goroutine's share of the shards.
type loop struct {
	options Options
	ctx     context.Context
	events  *ring.Ring[event]
	// changed holds one token while a change of beliefs is not yet taken up.
	changed chan struct{}
	alarms  *alarm.Alarms[core.ShardRef]
	shards  map[core.ShardRef]*shard
	// applied is the text that the shards' machines follow.
	applied *belief.Config
	next    admit.RequestID
}

// shard is one shard's machine with the messages behind its requests.
type shard struct {
	ref      core.ShardRef
	machine  *admit.Shard
	requests map[admit.RequestID]*request
	tries    map[admit.TryID]*running
}

// work is a queued request: what to send upstream and where its end goes.
// Exactly one of settle and refuse is called, unless the request is withdrawn.
type work interface {
	call() upstream.Call
	settle(result upstream.Result, tries int)
	refuse(reason core.Reason, retryAfter time.Duration)
}

type request struct {
	inbound *peer.Inbound
	work    work
	// sent is set once a try of it went upstream.
	sent bool
}

type running struct {
	cancel context.CancelFunc
	result upstream.Result
}

func newLoop(ctx context.Context, options Options) *loop {
	return &loop{
		options: options,
		ctx:     ctx,
		events:  ring.New[event](ringDepth),
		changed: make(chan struct{}, 1),
		alarms:  alarm.New[core.ShardRef](),
		shards:  map[core.ShardRef]*shard{},
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
		case <-l.changed:
			l.reload()
		case <-timer.C:
		}
		for _, ref := range l.alarms.Pop(l.options.Now()) {
			if s := l.shards[ref]; s != nil {
				l.step(s, admit.Woken{})
			}
		}
	}
}

func (l *loop) handle(e event) {
	switch e := e.(type) {
	case arrived:
		l.arrived(e)
	case withdrawn:
		l.withdrawn(e)
	case ended:
		l.ended(e)
	}
}

func (l *loop) arrived(e arrived) {
	config := l.options.Belief.Config()
	// An ask by the text in force must not meet machines of a former one.
	if config != l.applied {
		l.reload()
	}
	if e.submit != nil {
		l.submitArrived(config.Catalog, e)
		return
	}
	stopWatch := context.AfterFunc(e.inbound.Context, func() {
		_ = l.events.Put(l.ctx, withdrawn{inbound: e.inbound})
	})
	l.bundleArrived(config.Catalog, e, stopWatch)
}

// offer queues one request at its shard's machine.
func (l *loop) offer(s *shard, inbound *peer.Inbound, w work, offered admit.Offered) {
	l.next++
	offered.ID = l.next
	s.requests[l.next] = &request{inbound: inbound, work: w}
	l.step(s, offered)
}

// shard returns the shard's machine, made on first use, or nil when the text
// does not know the shard.
func (l *loop) shard(text *catalog.Catalog, ref core.ShardRef) *shard {
	if existing := l.shards[ref]; existing != nil {
		return existing
	}
	if text.Shard(ref) == nil {
		return nil
	}
	created := &shard{
		ref:      ref,
		machine:  admit.NewShard(l.configure(text, ref)),
		requests: map[admit.RequestID]*request{},
		tries:    map[admit.TryID]*running{},
	}
	l.shards[ref] = created
	return created
}

// configure gives each replica its share of connections and returns the
// machine's configuration.
func (l *loop) configure(text *catalog.Catalog, ref core.ShardRef) admit.Config {
	service := text.Services[ref.Service]
	share := connectionShare(text, service, len(l.options.Belief.View().Nodes()))
	config := admit.Config{Slots: min(service.Slots, share), MaxQueue: maxQueue}
	for _, replica := range text.Shard(ref).Replicas {
		l.options.Upstream.Limit(replica.Address, share)
		config.Replicas = append(config.Replicas, admit.ReplicaConfig{Address: replica.Address, Draining: replica.Draining || l.options.Belief.Drained(replica.Address)})
	}
	return config
}

// connectionShare is how many connections this node may hold to a replica.
func connectionShare(text *catalog.Catalog, service *catalog.Service, nodes int) int {
	if text.Policy.Routing == catalog.RoutingDirect {
		return max(1, service.Connections/max(1, nodes))
	}
	return max(1, service.Connections/connectionShareDivisor)
}

func (l *loop) withdrawn(e withdrawn) {
	for _, ref := range asked(e.inbound.Envelope) {
		s := l.shards[ref]
		if s == nil {
			continue
		}
		for id, waiting := range s.requests {
			if waiting.inbound == e.inbound {
				delete(s.requests, id)
				l.step(s, admit.Withdrawn{ID: id})
			}
		}
	}
}

// asked lists the shards that a request names.
func asked(envelope *peerpb.Envelope) []core.ShardRef {
	var refs []core.ShardRef
	for _, ask := range envelope.GetBundleRequest().GetAsks() {
		refs = append(refs, core.ShardRef{Service: ask.GetService(), Shard: int(ask.GetShard())})
	}
	return refs
}

func (l *loop) ended(e ended) {
	s := l.shards[e.ref]
	if s == nil || s.tries[e.try] == nil {
		return
	}
	s.tries[e.try].result = e.result
	l.step(s, admit.TryEnded{Try: e.try, Outcome: e.result.Outcome, Reason: e.result.Reason, Draining: e.result.Draining})
	delete(s.tries, e.try)
}

// reload brings every machine up to the present text. Shards that the text no
// longer lists finish what they run.
func (l *loop) reload() {
	config := l.options.Belief.Config()
	if config == nil {
		return
	}
	if config != l.applied {
		l.refuseRepartitioned(config.Catalog)
		l.applied = config
	}
	for ref, s := range l.shards {
		if config.Catalog.Shard(ref) == nil {
			l.step(s, admit.Reconfigured{})
			continue
		}
		l.step(s, admit.Reconfigured{Config: l.configure(config.Catalog, ref)})
	}
}

func (l *loop) step(s *shard, e admit.Event) {
	for _, action := range s.machine.Step(l.options.Now(), e) {
		switch a := action.(type) {
		case admit.Dispatch:
			l.dispatch(s, a)
		case admit.Abort:
			s.tries[a.Try].cancel()
		case admit.Settle:
			l.settle(s, a)
		case admit.Refuse:
			l.refuse(s, a)
		case admit.WakeAt:
			l.alarms.Set(s.ref, a.At)
		}
	}
}

func (l *loop) dispatch(s *shard, a admit.Dispatch) {
	ctx, cancel := context.WithCancel(l.ctx)
	s.tries[a.Try] = &running{cancel: cancel}
	s.requests[a.Request].sent = true
	w := s.requests[a.Request].work
	call := w.call()
	call.Address = a.Address
	call.Ref = s.ref
	call.TimeLeft = a.TimeLeft
	go func() {
		defer cancel()
		result := l.sendUnlessPaused(ctx, w, call)
		_ = l.events.Put(l.ctx, ended{ref: s.ref, try: a.Try, result: result})
	}()
}

// sendUnlessPaused runs a request's call. What was queued before this process
// stood still is not sent: another node may own the replica by now.
func (l *loop) sendUnlessPaused(ctx context.Context, w work, call upstream.Call) upstream.Result {
	if l.options.Belief.Paused() {
		return upstream.Result{Outcome: core.NotRun, Reason: core.ReasonPeerUnreached, RetryAfter: pausedRetryAfter, Load: -1}
	}
	result := l.send(ctx, w, call)
	if result.Draining {
		l.options.Belief.SeeDrain(call.Address)
	}
	return result
}

func (l *loop) settle(s *shard, a admit.Settle) {
	waiting := s.requests[a.Request]
	if waiting == nil {
		return
	}
	delete(s.requests, a.Request)
	waiting.work.settle(s.tries[a.Try].result, a.Tries)
}

func (l *loop) refuse(s *shard, a admit.Refuse) {
	waiting := s.requests[a.Request]
	if waiting == nil {
		return
	}
	delete(s.requests, a.Request)
	waiting.work.refuse(a.Reason, a.RetryAfter)
}
