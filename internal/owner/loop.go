package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/alarm"
	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/ring"
	"github.com/pistachiopier/pistachiopier/internal/sharedbudget"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// maxQueue bounds the requests that wait for one shard.
const maxQueue = 512

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
	try    admit.AttemptID
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
	// calms are when a shard no longer counts as overloaded.
	calms  *alarm.Alarms[core.ShardRef]
	shards map[core.ShardRef]*shard
	// applied is the text that the shards' machines follow.
	applied *belief.Config
	next    admit.RequestID
	// tries counts the goroutines of running upstream requests.
	tries  sync.WaitGroup
	meters *meters
	jitter admit.Jitter
	// latencies are learnt for each service.
	latencies map[string]*latency.Histogram
}

// work is a queued request: what to send upstream and where its end goes.
// Exactly one of settle and refuse is called, unless the request is withdrawn.
type work interface {
	call() upstream.Call
	// identity is the same for all tries of the request. describe returns a description for operators. trialMarks returns
	// the marks that the quarantine sets if a call ends without an answer.
	identity() quarantine.Identity
	// questionIdentity returns the identity of the request over all services that it is sent to, and the mark that the
	// quarantine sets for it if a call that ran in a QueryTrial ends without an answer. ok is false if the request is
	// sent to one service only.
	questionIdentity() (identity func() quarantine.Identity, trial quarantine.Fact, ok bool)
	describe(call upstream.Call) string
	trialMarks() quarantine.Fact
	settle(result upstream.Result, tries int)
	refuse(reason core.Reason, retryAfter time.Duration)
}

type request struct {
	inbound *peer.Inbound
	work    work
	tries   []admit.AttemptID
	// deadline is when the caller stops waiting for the answer.
	deadline core.Time
}

// running is an upstream request; its result is kept until its request ends.
type running struct {
	cancel  context.CancelFunc
	request admit.RequestID
	result  upstream.Result
	ended   bool
	// address, kind, startedAt and endedAt are kept for the part_past_deadline log line.
	address            string
	kind               admit.Kind
	startedAt, endedAt core.Time
}

func newLoop(ctx context.Context, options Options) *loop {
	if options.meters == nil {
		options.meters = newMeters(options.Metrics)
	}
	if options.budget == nil {
		options.budget = sharedbudget.New(budget.GroupConfig{})
	}
	return &loop{
		options:   options,
		ctx:       ctx,
		events:    ring.New[event](ringDepth),
		changed:   make(chan struct{}, 1),
		alarms:    alarm.New[core.ShardRef](),
		calms:     alarm.New[core.ShardRef](),
		shards:    map[core.ShardRef]*shard{},
		meters:    options.meters,
		jitter:    rand.New(rand.NewPCG(xxhash.Sum64String(string(options.Self)), uint64(options.number))),
		latencies: map[string]*latency.Histogram{},
	}
}

func (l *loop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer l.tries.Wait()
	for {
		if at, ok := l.nextAlarm(); ok {
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
		l.wake()
	}
}

func (l *loop) nextAlarm() (core.Time, bool) {
	at, ok := l.alarms.Next()
	calm, calming := l.calms.Next()
	if calming && (!ok || calm < at) {
		return calm, true
	}
	return at, ok
}

// wake does what is due.
func (l *loop) wake() {
	for _, ref := range l.alarms.Pop(l.options.Now()) {
		if s := l.shards[ref]; s != nil {
			l.step(s, admit.Woken{})
		}
	}
	for _, ref := range l.calms.Pop(l.options.Now()) {
		if s := l.shards[ref]; s != nil {
			l.calm(s)
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
	case inspected:
		l.inspect(e)
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
	s.requests[l.next] = &request{inbound: inbound, work: w, deadline: offered.Deadline}
	l.step(s, offered)
}

func (l *loop) withdrawn(e withdrawn) {
	for _, ref := range asked(e.inbound.Envelope) {
		s := l.shards[ref]
		if s == nil {
			continue
		}
		for id, waiting := range s.requests {
			if waiting.inbound == e.inbound {
				l.logPastDeadline(s, id, s.machine.HedgeState(id))
				s.take(id)
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
