package admit

import (
	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// observe updates the state of a replica from the end of an attempt. Outcomes of requests weigh more
// than the load that the upstream reports.
func (s *Shard) observe(now core.Time, a *attempt, e TryEnded) {
	r := a.replica
	i := chartInput{now: now, inFlight: a.inFlightAtSend, result: e}
	if e.Load >= 0 {
		r.load = min(e.Load, 1)
	}
	if e.Draining || e.Reason == core.ReasonDraining {
		s.fire(r, eventDrainSeen, i)
	}
	elapsed := now - a.startedAt
	verdict := s.verdict(a, e, elapsed)
	s.recordLatencies(now, r, elapsed, verdict)
	if event, ok := eventForVerdict(verdict, r); ok {
		s.fire(r, event, i)
	}
}

// recordLatencies records the latency of an attempt, or a lower bound of it.
func (s *Shard) recordLatencies(now core.Time, r *replica, elapsed core.Time, v verdict) {
	switch v {
	case verdictAnswered:
		r.recordLatency(now, elapsed, false)
		s.recordServiceTime(elapsed)
		if r.state == stateLive {
			r.RecordAnswer(elapsed)
		}
	case verdictCancelled, verdictTimedOut:
		r.recordLatency(now, elapsed, true)
		s.serviceLatency.Record(elapsed)
	}
}

// eventForVerdict returns the state chart event for a verdict, if there is one.
func eventForVerdict(v verdict, r *replica) (chart.Event, bool) {
	switch v {
	case verdictAnswered, verdictAlive:
		return eventSucceeded, true
	case verdictRefused:
		return eventRefused, true
	case verdictShed:
		return eventShed, true
	case verdictFailed, verdictTimedOut:
		return eventFailed, true
	case verdictCancelled:
		// A hedge answered before the probe. Without this event an unresponsive replica would be probed by
		// every request.
		return eventFailed, r.state == stateDown
	default:
		return 0, false
	}
}

// verdict is the conclusion about the replica from the end of an attempt.
type verdict uint8

const (
	// verdictNone gives no information about the replica.
	verdictNone verdict = iota
	// verdictAnswered is a reply with a result.
	verdictAnswered
	// verdictAlive is a reply that the version is gone; its latency is not representative.
	verdictAlive
	// verdictCancelled is an attempt that this node ended before a reply was due.
	verdictCancelled
	// verdictRefused is a refused connection.
	verdictRefused
	// verdictShed is a refusal by an overloaded upstream.
	verdictShed
	// verdictFailed is any other failure of the replica.
	verdictFailed
	// verdictTimedOut is an attempt without a reply for at least silenceTimeout.
	verdictTimedOut
)

func (s *Shard) verdict(a *attempt, e TryEnded, elapsed core.Time) verdict {
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
		return verdictNone
	case a.aborted || e.Reason == core.ReasonCancelled:
		// The elapsed time is a lower bound. Without the attempts that lost to a hedge, the measured quantile
		// would fall and hedges would increase.
		return verdictCancelled
	case e.Reason == core.ReasonDeadline && elapsed < s.silenceTimeout():
		// A short deadline set by the caller gives no information about the replica.
		return verdictCancelled
	case e.Reason == core.ReasonDeadline:
		return verdictTimedOut
	case causedByReplica(e):
		return verdictFailed
	default:
		return verdictNone
	}
}

// silenceTimeout returns how long a replica may go without a reply before that counts as a failure.
func (s *Shard) silenceTimeout() core.Time {
	usual, _ := s.serviceLatency.Quantile(usualLatencyQuantile)
	return 2 * usual
}
