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

// recordOutcome reports the result of a call to the recorder. The owner holds the connections, so only it can detect that a
// replica has ended.
func (l *loop) recordOutcome(w work, call upstream.Call, result upstream.Result) {
	recorder := l.options.Recorder
	if recorder == nil {
		return
	}
	if result.Outcome == core.Done && recorder.Empty() {
		return
	}
	if result.Outcome == core.Done {
		recorder.RecordAnswer(func() quarantine.Names { return w.identity().Names() }, call.Ref.String())
		if identity, _, ok := w.closureIdentity(); ok {
			recorder.RecordAnswer(func() quarantine.Names { return identity().Names() }, "")
		}
		return
	}
	marks := w.trialMarks()
	if !unanswered(result) {
		return
	}
	if result.Ended {
		marks |= quarantine.Ended
		l.meters.ended.Inc(1)
		l.options.Log.WithFields(map[string]any{
			"event": "replica_ended", "shard": call.Ref.String(), "replica": call.Address, "request": call.RequestID, "key": w.identity().Names().Exact.String(),
		}).Warn("replica ended while running a request")
	}
	if marks != 0 {
		recorder.RecordFacts(w.identity(), w.describe(call), call.Ref.String(), l.incarnation(call.Address, result.Incarnation), marks)
	}
	if identity, trial, ok := w.closureIdentity(); ok && marks&quarantine.Ended|trial != 0 {
		description := w.describe(call) + ", over all services"
		recorder.RecordFacts(identity(), description, "", l.incarnation(call.Address, result.Incarnation), marks&quarantine.Ended|trial)
	}
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
