package admit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// minLatencyQuantile gives the minimum time that a request needs: with less time remaining it cannot
	// meet its deadline.
	minLatencyQuantile = 0.05
	// usualLatencyQuantile gives the time within which most requests are served.
	usualLatencyQuantile = 0.95
	// meanGain is the weight of a new sample in the mean service time.
	meanGain = 0.05
	// minRetryAfter is the shortest retry-after time.
	minRetryAfter = time.Millisecond
	// retryAfterConfigChange is the retry-after time while only a configuration change or the end of a
	// drain can make a replica usable. It is longer than most queries last, so that they complete without
	// the shard at once instead of retrying in vain.
	retryAfterConfigChange = 5 * time.Second
)

// timeUntilProbe returns the time until a replica may get requests again, as a retry-after time.
func (s *Shard) timeUntilProbe(now core.Time) time.Duration {
	least := time.Duration(0)
	for _, r := range s.replicas {
		at := core.Time(0)
		switch {
		case r.state == stateDown:
			at = r.probeAt
		case r.state == stateDraining && !r.Draining:
			at = r.drainSeenAt + drainHold
		default:
			continue
		}
		if wait := max(minRetryAfter, at-now); least == 0 || wait < least {
			least = wait
		}
	}
	if least == 0 {
		return retryAfterConfigChange
	}
	return least
}

// expectedLateness returns by how much the request is expected to miss its deadline, given the
// measured service time and the queue ahead of it. It returns 0 if the request can meet the deadline
// or if that is unknown.
func (s *Shard) expectedLateness(now core.Time, r *request) time.Duration {
	needs := s.minServiceTime()
	if r.flow.length > 1 {
		needs = s.usualServiceTime()
	}
	late := now + s.queueWait(now, r) + needs - r.Deadline
	if late <= 0 {
		return 0
	}
	return max(late, minRetryAfter)
}

// queueWait returns the expected time until a queued request is dispatched. While all replicas are
// paused, each takes about one request per pause.
func (s *Shard) queueWait(now core.Time, r *request) time.Duration {
	capacity := s.availability(now)
	if capacity.immediate {
		return 0
	}
	ahead := s.queue.requestsAhead(r.flow) + float64(len(s.returned))
	switch {
	case capacity.busySlots > 0:
		return max(time.Duration(ahead*s.meanServiceTimeNs/float64(capacity.busySlots)), r.flow.estimatedWait())
	case capacity.pausedReplicas > 0:
		return capacity.firstPauseEnd + time.Duration(ahead*float64(capacity.longestPause)/float64(capacity.pausedReplicas))
	default:
		return 0
	}
}

// availability summarizes the capacity of the usable replicas for waiting requests.
type availability struct {
	// immediate is set if a replica can take a request now.
	immediate bool
	// busySlots is the number of slots of the busy replicas, pausedReplicas the number of replicas that
	// are paused. longestPause is their longest pause, firstPauseEnd the time until the first pause ends.
	busySlots, pausedReplicas   int
	longestPause, firstPauseEnd time.Duration
}

func (s *Shard) availability(now core.Time) availability {
	var found availability
	for _, r := range s.replicas {
		remaining := r.pausedUntil - now
		switch {
		case !r.usable():
		case r.available(now):
			return availability{immediate: true}
		case remaining <= 0:
			found.busySlots += r.Slots()
		default:
			found.addPause(r.pause, remaining)
		}
	}
	return found
}

func (a *availability) addPause(pause, remaining time.Duration) {
	a.pausedReplicas++
	a.longestPause = max(a.longestPause, pause)
	if a.firstPauseEnd == 0 || remaining < a.firstPauseEnd {
		a.firstPauseEnd = remaining
	}
}

// minServiceTime returns the minimum time to serve a waiting request. It is 0 while nothing is in
// flight: otherwise a service that was slow for a while would have all its requests refused forever,
// because no new latencies would be measured.
func (s *Shard) minServiceTime() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	quick, _ := s.serviceLatency.Quantile(minLatencyQuantile)
	return quick
}

// usualServiceTime returns the time within which most requests are served. It is 0 while nothing is in
// flight, as for minServiceTime.
func (s *Shard) usualServiceTime() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	usual, _ := s.serviceLatency.Quantile(usualLatencyQuantile)
	return usual
}

// recordServiceTime records the latency of an answer.
func (s *Shard) recordServiceTime(elapsed time.Duration) {
	s.serviceLatency.Record(elapsed)
	if s.meanServiceTimeNs == 0 {
		s.meanServiceTimeNs = float64(elapsed)
		return
	}
	s.meanServiceTimeNs += meanGain * (float64(elapsed) - s.meanServiceTimeNs)
}
