package owner

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// Recorder records the outcomes of requests at replicas for the quarantine.
type Recorder interface {
	// Empty reports whether no request is remembered, in which case answers need not be recorded.
	Empty() bool
	// RecordFacts records that a replica of a shard ended while running a request, or did not answer a trial.
	RecordFacts(identity quarantine.Identity, description, shard string, incarnation replica.Incarnation, fact quarantine.Fact)
	// RecordAnswer records that a replica of a shard has answered a request.
	RecordAnswer(names func() quarantine.Names, shard string)
}

// observation is a mark for a request under one of its identities.
type observation struct {
	identity    quarantine.Identity
	description string
	// shard is empty for the identity over all services.
	shard string
	// trial are the marks for a send that was the only one of the request in flight.
	trial quarantine.Fact
}

// observationsOf returns the observations that a failed call allows, one for each identity of its request.
func observationsOf(w work, call upstream.Call) []observation {
	list := []observation{{identity: w.identity(), description: w.describe(call), shard: call.Ref.String(), trial: w.trialMarks()}}
	if identity, trial, ok := w.closureIdentity(); ok {
		list = append(list, observation{identity: identity(), description: w.describe(call) + ", over all services", trial: trial})
	}
	return list
}

// recordOutcome reports the result of a call to the recorder. The owner holds the connections, so only it can detect that a
// replica has ended.
func (l *loop) recordOutcome(w work, call upstream.Call, result upstream.Result) {
	switch {
	case l.options.Recorder == nil:
	case result.Outcome == core.Done:
		l.recordAnswer(w, call)
	case unanswered(result):
		l.recordUnanswered(w, call, result)
	}
}

// recordAnswer records that a replica has answered a request. The requests that broke off at that replica before have
// ended it.
func (l *loop) recordAnswer(w work, call upstream.Call) {
	if !l.options.brokenSends.empty() {
		for _, broken := range l.options.brokenSends.answered(w.identity().Names().Exact, call.Ref.String(), call.Address, l.options.Now()) {
			l.logEnded(broken.observations[0], call.Address, broken.requestID)
			l.recordFacts(broken.observations, broken.incarnation, quarantine.Ended)
		}
	}
	if l.options.Recorder.Empty() {
		return
	}
	l.options.Recorder.RecordAnswer(func() quarantine.Names { return w.identity().Names() }, call.Ref.String())
	if identity, _, ok := w.closureIdentity(); ok {
		l.options.Recorder.RecordAnswer(func() quarantine.Names { return identity().Names() }, "")
	}
}

// recordUnanswered records a call that reached a replica and ended without an answer.
func (l *loop) recordUnanswered(w work, call upstream.Call, result upstream.Result) {
	observations := observationsOf(w, call)
	incarnation := l.incarnation(call.Address, result.Incarnation)
	if result.Ended {
		l.logEnded(observations[0], call.Address, call.RequestID)
		l.recordFacts(observations, incarnation, quarantine.Ended)
		return
	}
	if result.Broken {
		l.options.brokenSends.keep(brokenSend{address: call.Address, incarnation: incarnation, requestID: call.RequestID, observations: observations, at: l.options.Now()})
	}
	l.recordFacts(observations, incarnation, 0)
}

// recordFacts records the trial marks of the observations and the given mark at an incarnation.
func (l *loop) recordFacts(observations []observation, incarnation replica.Incarnation, mark quarantine.Fact) {
	for _, o := range observations {
		if marks := mark | o.trial; marks != 0 {
			l.options.Recorder.RecordFacts(o.identity, o.description, o.shard, incarnation, marks)
		}
	}
}

func (l *loop) logEnded(o observation, address, requestID string) {
	l.meters.ended.Inc(1)
	l.options.Log.WithFields(map[string]any{
		"event": "replica_ended", "shard": o.shard, "replica": address, "request": requestID, "key": o.identity.Names().Exact.String(),
	}).Warn("replica ended while running a request")
}

// unanswered reports whether a call that reached a replica ended without an answer.
func unanswered(result upstream.Result) bool {
	return result.Outcome == core.Unknown && result.Incarnation != 0 && (result.Broken || result.Reason == core.ReasonDeadline)
}

// incarnation identifies an incarnation of a replica as this node counts them, because the upstream protocol carries no
// identifier. If two nodes detect the same end, it counts once for each of them.
func (l *loop) incarnation(address string, number uint64) replica.Incarnation {
	return replica.Incarnation{ID: address + " by " + string(l.options.Self), Born: int64(number)}
}

// identity implements work.
func (w *bundleWork) identity() quarantine.Identity {
	message := w.reply.inbound.Envelope.GetBundleRequest()
	return quarantine.ServiceQuery(w.ask.GetService(), core.Customer(message.GetCustomer()), message.GetQuestion())
}

// closureIdentity implements work.
func (w *bundleWork) closureIdentity() (identity func() quarantine.Identity, trial quarantine.Fact, ok bool) {
	message := w.reply.inbound.Envelope.GetBundleRequest()
	if query.Trial(w.ask.GetTrial()) == query.QueryTrial {
		trial = quarantine.Trial
	}
	return func() quarantine.Identity {
		return quarantine.ClosureQuery(core.Customer(message.GetCustomer()), message.GetQuestion())
	}, trial, true
}

// describe implements work.
func (w *bundleWork) describe(call upstream.Call) string {
	return "query of " + call.Ref.Service + " by customer " + string(call.Customer) + ", request " + call.RequestID
}

// trialMarks implements work.
func (w *bundleWork) trialMarks() quarantine.Fact {
	switch query.Trial(w.ask.GetTrial()) {
	case query.ServiceTrial, query.QueryTrial:
		return quarantine.Trial | quarantine.ShardTrial
	case query.ShardTrial:
		return quarantine.ShardTrial
	default:
		return 0
	}
}

// identity implements work.
func (w *submitWork) identity() quarantine.Identity {
	return submitIdentity(w.inbound.Envelope.GetSubmitRequest())
}

func submitIdentity(message *peerpb.SubmitRequest) quarantine.Identity {
	return quarantine.Submit(message.GetService(), core.Customer(message.GetCustomer()), message.GetPayload())
}

// closureIdentity implements work. A submit is sent to one service only.
func (w *submitWork) closureIdentity() (identity func() quarantine.Identity, trial quarantine.Fact, ok bool) {
	return nil, 0, false
}

// describe implements work.
func (w *submitWork) describe(call upstream.Call) string {
	return "submit to " + call.Ref.Service + " by customer " + string(call.Customer) + ", key " + call.SubmitKey
}

// trialMarks implements work. A submit is sent to one replica only, so every send of it is a trial.
func (w *submitWork) trialMarks() quarantine.Fact { return quarantine.Trial | quarantine.ShardTrial }
