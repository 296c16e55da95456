package admit

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// quickQuantile is the latency that a request needs at least: with less
	// time left it cannot make its deadline.
	quickQuantile = 0.05
	// slowQuantile is the latency within which most requests are served.
	slowQuantile = 0.95
	// meanGain is the weight of a new sample in the mean service time.
	meanGain = 0.05
	// leastWait is the shortest advice when to come back.
	leastWait = time.Millisecond
	// textPause is the advice while only another text or the end of a drain can
	// bring a replica. It is longer than most questions last, so that they answer
	// without the shard at once rather than ask for it in vain.
	textPause = 5 * time.Second
)

// untilProbe is the time until some replica may get work again, for the advice
// when to come back.
func (s *Shard) untilProbe(now core.Time) time.Duration {
	least := time.Duration(0)
	for _, r := range s.replicas {
		at := core.Time(0)
		switch {
		case r.state == stateDown:
			at = r.probeAt
		case r.state == stateDraining && !r.Draining:
			at = r.drainedAt + drainHold
		default:
			continue
		}
		if wait := max(leastWait, at-now); least == 0 || wait < least {
			least = wait
		}
	}
	if least == 0 {
		return textPause
	}
	return least
}

// tooLate is by how much the request will miss its deadline, given the learnt
// service time and what is ahead of it; 0 when it can make it or that is not
// known.
func (s *Shard) tooLate(now core.Time, r *request) time.Duration {
	needs := s.quickest()
	if r.flow.length > 1 {
		needs = s.usual()
	}
	late := now + s.queueWait(now, r) + needs - r.Deadline
	if late <= 0 {
		return 0
	}
	return max(late, leastWait)
}

// queueWait is the expected time until a queued request is dispatched. While
// all replicas pause, each takes about one request a pause.
func (s *Shard) queueWait(now core.Time, r *request) time.Duration {
	room := s.room(now)
	if room.free {
		return 0
	}
	ahead := s.queue.ahead(r.flow) + float64(len(s.returned))
	switch {
	case room.slots > 0:
		return max(time.Duration(ahead*s.mean/float64(room.slots)), r.flow.wait())
	case room.pausing > 0:
		return room.soonest + time.Duration(ahead*float64(room.pause)/float64(room.pausing))
	default:
		return 0
	}
}

// room is what the usable replicas offer to waiting requests.
type room struct {
	// free is set when one of them takes a request now.
	free bool
	// slots counts the slots of those that are busy, pausing the replicas that
	// pause. pause is their longest pause, soonest the time until one ends.
	slots, pausing int
	pause, soonest time.Duration
}

func (s *Shard) room(now core.Time) room {
	var found room
	for _, r := range s.replicas {
		rest := r.pausedUntil - now
		switch {
		case !r.usable():
		case r.free(now):
			return room{free: true}
		case rest <= 0:
			found.slots += r.slots()
		default:
			found.addPause(r.pause, rest)
		}
	}
	return found
}

func (f *room) addPause(pause, rest time.Duration) {
	f.pausing++
	f.pause = max(f.pause, pause)
	if f.soonest == 0 || rest < f.soonest {
		f.soonest = rest
	}
}

// quickest is the time that a waiting request needs at least to be served. It
// is 0 while nothing runs: a service that was slow for a while would otherwise
// have all its requests refused for ever, since nothing new would be learnt.
func (s *Shard) quickest() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	quick, _ := s.service.Quantile(quickQuantile)
	return quick
}

// usual is the time in which most requests are served, by the rule of quickest.
func (s *Shard) usual() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	usual, _ := s.service.Quantile(slowQuantile)
	return usual
}

// learn takes an answer's latency.
func (s *Shard) learn(elapsed time.Duration) {
	s.service.Record(elapsed)
	if s.mean == 0 {
		s.mean = float64(elapsed)
		return
	}
	s.mean += meanGain * (float64(elapsed) - s.mean)
}
