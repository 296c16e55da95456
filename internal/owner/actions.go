package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// overloadReportFor is how long a shard is reported as overloaded after it last
// refused a request because of load.
const overloadReportFor = 10 * time.Second

// step passes an event to the shard's machine and executes the resulting actions.
func (l *loop) step(s *shard, e admit.Event) {
	for _, action := range s.machine.Step(l.options.Now(), e) {
		switch a := action.(type) {
		case admit.Dispatch:
			l.dispatch(s, a)
		case admit.Abort:
			s.attempts[a.Try].cancel()
		case admit.Settle:
			l.settle(s, a)
		case admit.Refuse:
			l.refuse(s, a)
		case admit.HealthChanged:
			l.healthChanged(s, a)
		case admit.Forgotten:
			l.forgetReplica(s, a.Address)
		case admit.WakeAt:
			l.alarms.Set(s.ref, a.At)
		}
	}
	l.meters.addWaiting(s.machine.Waiting() - s.countedWaiting)
	s.countedWaiting = s.machine.Waiting()
	l.forgetIfIdle(s)
}

// dispatch runs an attempt on its own goroutine. The number of these goroutines is
// bounded by the connections that this node may open, because the machine keeps the
// requests at each replica within the connection share.
func (l *loop) dispatch(s *shard, a admit.Dispatch) {
	l.meters.dispatched[a.Kind].Inc(1)
	ctx, cancel := context.WithCancel(l.ctx)
	waiting := s.requests[a.Request]
	waiting.attempts = append(waiting.attempts, a.Try)
	s.attempts[a.Try] = &attempt{cancel: cancel, request: a.Request, address: a.Address, kind: a.Kind, startedAt: l.options.Now()}
	work := waiting.work
	call := work.call()
	call.Address = a.Address
	call.Ref = s.ref
	call.RemainingTime = a.TimeLeft
	l.calls.Add(1)
	go func() {
		defer l.calls.Done()
		defer cancel()
		result := l.sendUnlessPaused(ctx, work, call)
		_ = l.events.Put(l.ctx, callEnded{ref: s.ref, attempt: a.Try, result: result})
	}()
}

// sendUnlessPaused runs a request's call. A request that was queued before a pause of
// this process is not sent: another node may own the replica by now.
func (l *loop) sendUnlessPaused(ctx context.Context, w work, call upstream.Call) upstream.Result {
	if l.options.Belief.Paused() {
		return upstream.Result{Outcome: core.NotRun, Reason: core.ReasonPeerUnreached, RetryAfter: pausedRetryAfter, Load: -1}
	}
	result := l.send(ctx, w, call)
	l.recordOutcome(w, call, result)
	if result.Draining {
		l.options.Belief.ReportDraining(call.Address)
	}
	return result
}

func (l *loop) handleCallEnd(e callEnded) {
	s := l.shards[e.ref]
	if s == nil || s.attempts[e.attempt] == nil {
		return
	}
	t := s.attempts[e.attempt]
	t.result, t.ended, t.endedAt = e.result, true, l.options.Now()
	if e.result.Refused {
		l.meters.refused.Inc(1)
	}
	l.step(s, admit.TryEnded{
		Try:        e.attempt,
		Outcome:    e.result.Outcome,
		Reason:     e.result.Reason,
		Draining:   e.result.Draining,
		Refused:    e.result.Refused,
		Broken:     e.result.Broken,
		RetryAfter: e.result.RetryAfter,
		Load:       e.result.Load,
	})
	if s.requests[t.request] == nil {
		delete(s.attempts, e.attempt)
	}
}

// remove removes a request and its ended attempts. Attempts that are still running are
// removed when they end.
func (s *shard) remove(id admit.RequestID) *request {
	removed := s.requests[id]
	if removed == nil {
		return nil
	}
	delete(s.requests, id)
	for _, attemptID := range removed.attempts {
		if s.attempts[attemptID].ended {
			delete(s.attempts, attemptID)
		}
	}
	return removed
}

func (l *loop) settle(s *shard, a admit.Settle) {
	result := s.attempts[a.Try].result
	if result.Reason == core.ReasonDeadline {
		l.logPastDeadline(s, a.Request, a.Hedge)
	}
	if settled := s.remove(a.Request); settled != nil {
		settled.work.settle(result, a.Tries)
	}
}

func (l *loop) refuse(s *shard, a admit.Refuse) {
	l.meters.countShed(a.Reason)
	if a.Reason == core.ReasonOverloaded {
		s.overloaded = true
		l.options.Problems.Report(observe.KindOverloaded, s.ref.String(), "the replicas of the shard serve fewer requests than customers send")
		l.overloadAlarms.Set(s.ref, l.options.Now()+overloadReportFor)
	}
	if a.Reason == core.ReasonDeadline {
		l.logPastDeadline(s, a.Request, admit.HedgeNone)
	}
	if refused := s.remove(a.Request); refused != nil {
		refused.work.refuse(a.Reason, a.RetryAfter)
	}
}

// clearOverload clears the report that the shard is overloaded.
func (l *loop) clearOverload(s *shard) {
	if s.overloaded {
		s.overloaded = false
		l.options.Problems.Clear(observe.KindOverloaded, s.ref.String())
	}
}

// stateDown is the state of the replica state chart that is reported as a problem.
const stateDown = "down"

func (l *loop) healthChanged(s *shard, a admit.HealthChanged) {
	l.options.Log.WithFields(logrus.Fields{
		"event":   "replica_state",
		"shard":   s.ref.String(),
		"replica": a.Address,
		"from":    a.From,
		"to":      a.To,
	}).Info("replica changed state")
	switch {
	case a.To == stateDown:
		l.options.Problems.Report(observe.KindReplicaDown, observe.ReplicaSubject(s.ref, a.Address), "the replica does not answer requests")
	case a.From == stateDown:
		l.options.Problems.Clear(observe.KindReplicaDown, observe.ReplicaSubject(s.ref, a.Address))
	}
}
