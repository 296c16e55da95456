package admit

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// observe learns from the end of a request. What requests did outweighs what
// the upstream says of its own load.
func (s *Shard) observe(now core.Time, t *try, e TryEnded) {
	r := t.replica
	i := incident{now: now, inFlight: t.inFlight, result: e}
	if e.Load >= 0 {
		r.load = min(e.Load, 1)
	}
	if e.Draining || e.Reason == core.ReasonDraining {
		s.fire(r, eventDrainSeen, i)
	}
	elapsed := now - t.started
	verdict := s.verdict(t, e, elapsed)
	s.learnLatency(now, r, elapsed, verdict)
	if event, ok := eventOf(verdict, r); ok {
		s.fire(r, event, i)
	}
}

// learnLatency takes the time that a request took, or took at least.
func (s *Shard) learnLatency(now core.Time, r *replica, elapsed core.Time, v verdict) {
	switch v {
	case verdictAnswered:
		r.learn(now, elapsed, false)
		s.learn(elapsed)
		if r.state == stateLive {
			r.answered(elapsed)
		}
	case verdictCut, verdictTimedOut:
		r.learn(now, elapsed, true)
		s.service.Record(elapsed)
	}
}

// eventOf is what the replica's chart is told of a verdict, if anything.
func eventOf(v verdict, r *replica) (chart.Event, bool) {
	switch v {
	case verdictAnswered, verdictAlive:
		return eventSucceeded, true
	case verdictRefused:
		return eventRefused, true
	case verdictShed:
		return eventShed, true
	case verdictFailed, verdictTimedOut:
		return eventFailed, true
	case verdictCut:
		// A hedge overtook the probe: without this a silent replica would be
		// probed by every request.
		return eventFailed, r.state == stateDown
	default:
		return 0, false
	}
}

// verdict is what the end of a request says about its replica.
type verdict uint8

const (
	// verdictNothing says nothing of the replica.
	verdictNothing verdict = iota
	// verdictAnswered is a reply with a result.
	verdictAnswered
	// verdictAlive is a reply that the version is gone: its time is no measure.
	verdictAlive
	// verdictCut is a request that this node ended before a reply was due.
	verdictCut
	// verdictRefused is a connection that was not taken.
	verdictRefused
	// verdictShed is the upstream's own refusal for load.
	verdictShed
	// verdictFailed is any other failure of the replica.
	verdictFailed
	// verdictTimedOut is silence for longer than patience.
	verdictTimedOut
)

func (s *Shard) verdict(t *try, e TryEnded, elapsed core.Time) verdict {
	switch {
	case e.Outcome == core.Done:
		return verdictAnswered
	case e.Refused:
		return verdictRefused
	case e.Outcome == core.NotRun && e.Reason == core.ReasonOverloaded:
		return verdictShed
	case e.Outcome == core.NotRun && e.Reason == core.ReasonVersionGone:
		return verdictAlive
	case e.Reason == core.ReasonDraining:
		return verdictNothing
	case t.aborted || e.Reason == core.ReasonCancelled:
		// The elapsed time is a lower bound. Leaving the losers of hedges out
		// would make the learnt quantile sink and hedges grow.
		return verdictCut
	case e.Reason == core.ReasonDeadline && elapsed < s.patience():
		// The caller left little time: that says nothing of the replica.
		return verdictCut
	case e.Reason == core.ReasonDeadline:
		return verdictTimedOut
	case byReplica(e):
		return verdictFailed
	default:
		return verdictNothing
	}
}

// patience is how long a silent replica is given before its silence counts as
// a failure.
func (s *Shard) patience() core.Time {
	usual, _ := s.service.Quantile(slowQuantile)
	return 2 * usual
}
