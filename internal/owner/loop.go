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

// maxQueue is the maximum number of queued requests of one shard.
const maxQueue = 512

// event is an element of a loop's ring.
type event interface{ isEvent() }

// requestReceived carries a peer's request; at is when it was read from the stream.
type requestReceived struct {
	inbound *peer.Inbound
	at      core.Time
	// submit is set if the request must not be repeated.
	submit *submitWork
}

// requestWithdrawn reports that the requester of a received request no longer waits.
type requestWithdrawn struct{ inbound *peer.Inbound }

// callEnded reports the end of an upstream request.
type callEnded struct {
	ref     core.ShardRef
	attempt admit.AttemptID
	result  upstream.Result
}

func (requestReceived) isEvent()  {}
func (requestWithdrawn) isEvent() {}
func (callEnded) isEvent()        {}

// loop handles a fixed subset of the bundles on one goroutine.
type loop struct {
	options Options
	ctx     context.Context
	events  *ring.Ring[event]
	// changed holds one element while a change of view or configuration is pending.
	changed chan struct{}
	alarms  *alarm.Alarms[core.ShardRef]
	// overloadAlarms hold the times when a shard's overload report is cleared.
	overloadAlarms *alarm.Alarms[core.ShardRef]
	shards         map[core.ShardRef]*shard
	// applied is the configuration that the shards' machines use.
	applied       *belief.Config
	lastRequestID admit.RequestID
	// calls counts the goroutines of running upstream requests.
	calls  sync.WaitGroup
	meters *meters
	jitter admit.Jitter
	// histograms holds the latency histogram of each service.
	histograms map[string]*latency.Histogram
}

// work is a queued request: it builds the upstream call and receives the result.
// Exactly one of settle and refuse is called, unless the request is withdrawn.
type work interface {
	call() upstream.Call
	// identity is the same for all attempts of the request. describe returns a description for operators. trialMarks returns
	// the marks that the quarantine sets if a call ends without an answer.
	identity() quarantine.Identity
	// closureIdentity returns the identity of the request over all services that it is sent to, and the mark that the
	// quarantine sets for it if a call that ran in a QueryTrial ends without an answer. ok is false if the request is
	// sent to one service only.
	closureIdentity() (identity func() quarantine.Identity, trial quarantine.Fact, ok bool)
	describe(call upstream.Call) string
	trialMarks() quarantine.Fact
	settle(result upstream.Result, attempts int)
	refuse(reason core.Reason, retryAfter time.Duration)
}

type request struct {
	inbound  *peer.Inbound
	work     work
	attempts []admit.AttemptID
	// deadline is when the caller stops waiting for the answer.
	deadline core.Time
}

// attempt is an upstream request; its result is kept until the queued request ends.
type attempt struct {
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
	if options.brokenSends == nil {
		options.brokenSends = &brokenSends{}
	}
	return &loop{
		options:        options,
		ctx:            ctx,
		events:         ring.New[event](ringDepth),
		changed:        make(chan struct{}, 1),
		alarms:         alarm.New[core.ShardRef](),
		overloadAlarms: alarm.New[core.ShardRef](),
		shards:         map[core.ShardRef]*shard{},
		meters:         options.meters,
		jitter:         rand.New(rand.NewPCG(xxhash.Sum64String(string(options.Self)), uint64(options.number))),
		histograms:     map[string]*latency.Histogram{},
	}
}

func (l *loop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer l.calls.Wait()
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
	overloadEnd, overloaded := l.overloadAlarms.Next()
	if overloaded && (!ok || overloadEnd < at) {
		return overloadEnd, true
	}
	return at, ok
}

// wake handles the alarms that are due.
func (l *loop) wake() {
	for _, ref := range l.alarms.PopDue(l.options.Now()) {
		if s := l.shards[ref]; s != nil {
			l.step(s, admit.Woken{})
		}
	}
	for _, ref := range l.overloadAlarms.PopDue(l.options.Now()) {
		if s := l.shards[ref]; s != nil {
			l.clearOverload(s)
		}
	}
}

func (l *loop) handle(e event) {
	switch e := e.(type) {
	case requestReceived:
		l.handleRequest(e)
	case requestWithdrawn:
		l.handleWithdrawal(e)
	case callEnded:
		l.handleCallEnd(e)
	case dumpRequested:
		l.dump(e)
	}
}

func (l *loop) handleRequest(e requestReceived) {
	config := l.options.Belief.Config()
	// A request planned with the configuration in force must not be queued at
	// machines that still use an earlier one.
	if config != l.applied {
		l.reload()
	}
	if e.submit != nil {
		l.handleSubmit(config.Catalog, e)
		return
	}
	stopWatch := context.AfterFunc(e.inbound.Context, func() {
		_ = l.events.Put(l.ctx, requestWithdrawn{inbound: e.inbound})
	})
	l.handleBundle(config.Catalog, e, stopWatch)
}

// offer passes one request to its shard's machine.
func (l *loop) offer(s *shard, inbound *peer.Inbound, w work, offered admit.Offered) {
	l.lastRequestID++
	offered.ID = l.lastRequestID
	s.requests[l.lastRequestID] = &request{inbound: inbound, work: w, deadline: offered.Deadline}
	l.step(s, offered)
}

func (l *loop) handleWithdrawal(e requestWithdrawn) {
	for _, ref := range requestedShards(e.inbound.Envelope) {
		s := l.shards[ref]
		if s == nil {
			continue
		}
		for id, waiting := range s.requests {
			if waiting.inbound == e.inbound {
				l.logPastDeadline(s, id, s.machine.HedgeState(id))
				s.remove(id)
				l.step(s, admit.Withdrawn{ID: id})
			}
		}
	}
}

// requestedShards returns the shards that a request names.
func requestedShards(envelope *peerpb.Envelope) []core.ShardRef {
	var refs []core.ShardRef
	for _, ask := range envelope.GetBundleRequest().GetAsks() {
		refs = append(refs, core.ShardRef{Service: ask.GetService(), Shard: int(ask.GetShard())})
	}
	return refs
}
