package admit

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

// Shard schedules the requests of one shard. It is not safe for concurrent use.
type Shard struct {
	config   Config
	replicas []*replica
	queue    fairQueue
	// returned holds the requests that await another attempt, oldest first. Their customers have been
	// charged for them already, so they are dispatched before the queue.
	returned []*request
	requests map[RequestID]*request
	running  map[AttemptID]*attempt
	// deadlines orders the queued and the returned requests by deadline.
	deadlines indexedHeap[*request]
	hedges    indexedHeap[*attempt]
	// overdue holds the attempts whose hedge is due but lacks a slot or budget.
	overdue        []*attempt
	serviceLatency *latency.Histogram
	// meanServiceTimeNs is the smoothed service time in nanoseconds; 0 if unknown.
	meanServiceTimeNs float64
	lastAttempt       AttemptID
	wakeAt            core.Time
	actions           []Action
}

// NewShard returns an idle shard.
func NewShard(config Config) *Shard {
	shard := &Shard{
		queue:     newFairQueue(),
		requests:  map[RequestID]*request{},
		running:   map[AttemptID]*attempt{},
		deadlines: indexedHeap[*request]{before: deadlineBefore, position: func(r *request) *int { return &r.deadlinePosition }},
		hedges:    indexedHeap[*attempt]{before: hedgeAtBefore, position: func(a *attempt) *int { return &a.hedgePosition }},
	}
	shard.configure(0, config)
	return shard
}

// Step handles an event and returns the resulting actions. The slice is valid until the next call of
// Step.
func (s *Shard) Step(now core.Time, event Event) []Action {
	s.actions = s.actions[:0]
	s.expireDrainHolds(now)
	switch e := event.(type) {
	case Offered:
		s.offered(now, e)
	case Withdrawn:
		s.withdrawn(e)
	case TryEnded:
		s.tryEnded(now, e)
	case DrainSeen:
		s.drainSeen(now, e.Address)
	case Reconfigured:
		s.configure(now, e.Config)
	}
	s.expire(now)
	s.rampPastUnanswered(now)
	s.dispatch(now)
	s.refuseUnservable(now)
	s.hedge(now)
	s.scheduleWake(now)
	return s.actions
}

// Waiting returns the number of requests that wait for a replica.
func (s *Shard) Waiting() int { return s.queue.waiting + len(s.returned) }

// Idle reports whether no request is waiting or in flight.
func (s *Shard) Idle() bool { return len(s.requests) == 0 && len(s.running) == 0 }

// scheduleWake requests a Woken event at the next deadline, hedge or end of a pause.
func (s *Shard) scheduleWake(now core.Time) {
	wake := core.Time(0)
	earliest := func(at core.Time) {
		if wake == 0 || at < wake {
			wake = at
		}
	}
	if s.deadlines.len() > 0 {
		earliest(max(now+1, s.deadlines.first().Deadline-s.minServiceTime()))
	}
	if s.hedges.len() > 0 {
		earliest(s.hedges.first().hedgeAt)
	}
	if len(s.overdue) > 0 {
		earliest(now + overdueRetryInterval)
	}
	if s.Waiting() > 0 {
		for _, r := range s.replicas {
			if r.usable() && r.pausedUntil > now {
				earliest(r.pausedUntil)
			}
			if r.isHeldByUnanswered() {
				earliest(max(now+1, r.lastSentAt+coldPatience))
			}
		}
	}
	if wake != 0 && wake != s.wakeAt {
		s.actions = append(s.actions, WakeAt{At: wake})
	}
	s.wakeAt = wake
}
