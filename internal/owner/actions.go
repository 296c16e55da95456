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

// calmAfter is how long a shard must refuse nothing for load until it no longer
// counts as overloaded.
const calmAfter = 10 * time.Second

// step gives the machine an event and does what it asks for.
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
		case admit.HealthChanged:
			l.healthChanged(s, a)
		case admit.Forgotten:
			l.forgetReplica(s, a.Address)
		case admit.WakeAt:
			l.alarms.Set(s.ref, a.At)
		}
	}
	l.meters.queued(s.machine.Waiting() - s.waiting)
	s.waiting = s.machine.Waiting()
	l.forgetIdle(s)
}

// dispatch runs a try on its own goroutine. There are never more of them than
// connections that this node may open: the machine keeps each replica's requests
// within its connection share.
func (l *loop) dispatch(s *shard, a admit.Dispatch) {
	l.meters.dispatched[a.Kind].Inc(1)
	ctx, cancel := context.WithCancel(l.ctx)
	waiting := s.requests[a.Request]
	waiting.tries = append(waiting.tries, a.Try)
	s.tries[a.Try] = &running{cancel: cancel, request: a.Request, address: a.Address, kind: a.Kind, startedAt: l.options.Now()}
	work := waiting.work
	call := work.call()
	call.Address = a.Address
	call.Ref = s.ref
	call.RemainingTime = a.TimeLeft
	l.tries.Add(1)
	go func() {
		defer l.tries.Done()
		defer cancel()
		result := l.sendUnlessPaused(ctx, work, call)
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
	l.recordOutcome(w, call, result)
	if result.Draining {
		l.options.Belief.ReportDraining(call.Address)
	}
	return result
}

func (l *loop) ended(e ended) {
	s := l.shards[e.ref]
	if s == nil || s.tries[e.try] == nil {
		return
	}
	t := s.tries[e.try]
	t.result, t.ended, t.endedAt = e.result, true, l.options.Now()
	if e.result.Refused {
		l.meters.refused.Inc(1)
	}
	l.step(s, admit.TryEnded{
		Try:        e.try,
		Outcome:    e.result.Outcome,
		Reason:     e.result.Reason,
		Draining:   e.result.Draining,
		Refused:    e.result.Refused,
		Broken:     e.result.Broken,
		RetryAfter: e.result.RetryAfter,
		Load:       e.result.Load,
	})
	if s.requests[t.request] == nil {
		delete(s.tries, e.try)
	}
}

// take removes a request and the tries of it that have ended; the others are
// removed at their end.
func (s *shard) take(id admit.RequestID) *request {
	taken := s.requests[id]
	if taken == nil {
		return nil
	}
	delete(s.requests, id)
	for _, try := range taken.tries {
		if s.tries[try].ended {
			delete(s.tries, try)
		}
	}
	return taken
}

func (l *loop) settle(s *shard, a admit.Settle) {
	result := s.tries[a.Try].result
	if result.Reason == core.ReasonDeadline {
		l.logPastDeadline(s, a.Request, a.Hedge)
	}
	if settled := s.take(a.Request); settled != nil {
		settled.work.settle(result, a.Tries)
	}
}

func (l *loop) refuse(s *shard, a admit.Refuse) {
	l.meters.shed(a.Reason)
	if a.Reason == core.ReasonOverloaded {
		s.overloaded = true
		l.options.Problems.Report(observe.KindOverloaded, s.ref.String(), "the shard's replicas take less than customers ask")
		l.calms.Set(s.ref, l.options.Now()+calmAfter)
	}
	if a.Reason == core.ReasonDeadline {
		l.logPastDeadline(s, a.Request, admit.HedgeNone)
	}
	if refused := s.take(a.Request); refused != nil {
		refused.work.refuse(a.Reason, a.RetryAfter)
	}
}

// calm clears the shard's overload.
func (l *loop) calm(s *shard) {
	if s.overloaded {
		s.overloaded = false
		l.options.Problems.Clear(observe.KindOverloaded, s.ref.String())
	}
}

// The names of the states of the replica chart that operators are told of.
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
		l.options.Problems.Report(observe.KindReplicaDown, observe.ReplicaSubject(s.ref, a.Address), "it does not answer requests")
	case a.From == stateDown:
		l.options.Problems.Clear(observe.KindReplicaDown, observe.ReplicaSubject(s.ref, a.Address))
	}
}
