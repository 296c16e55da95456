package admit

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

// Shard is the state of one shard's queue. It is not safe for concurrent use.
type Shard struct {
	config   Config
	replicas []*replica
	queue    fairQueue
	// returned are requests to be tried again, oldest first. They have paid for
	// their turn and go before the queue.
	returned []*request
	requests map[RequestID]*request
	running  map[AttemptID]*try
	// deadlines orders the requests that wait or are returned.
	deadlines indexedHeap[*request]
	hedges    indexedHeap[*try]
	// overdue are the tries whose hedge waits for a slot or the budget.
	overdue []*try
	service *latency.Histogram
	// mean is the smoothed service time in nanoseconds; 0 is not known.
	mean    float64
	nextTry AttemptID
	wake    core.Time
	actions []Action
}

// NewShard makes an idle shard.
func NewShard(config Config) *Shard {
	shard := &Shard{
		queue:     newFairQueue(),
		requests:  map[RequestID]*request{},
		running:   map[AttemptID]*try{},
		deadlines: indexedHeap[*request]{before: dueBefore, place: func(r *request) *int { return &r.deadlinePlace }},
		hedges:    indexedHeap[*try]{before: hedgedBefore, place: func(t *try) *int { return &t.hedgePlace }},
	}
	shard.configure(0, config)
	return shard
}

// Step takes one event and returns what to do. The slice is valid until the
// next Step.
func (s *Shard) Step(now core.Time, event Event) []Action {
	s.actions = s.actions[:0]
	s.endHolds(now)
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
	s.dispatch(now)
	s.refuseUnserved(now)
	s.hedge(now)
	s.planWake(now)
	return s.actions
}

// Waiting is the number of requests that wait for a replica.
func (s *Shard) Waiting() int { return s.queue.waiting + len(s.returned) }

// Idle reports whether nothing waits or runs.
func (s *Shard) Idle() bool { return len(s.requests) == 0 && len(s.running) == 0 }

// planWake asks to be woken at the next deadline, hedge or end of a pause.
func (s *Shard) planWake(now core.Time) {
	wake := core.Time(0)
	earliest := func(at core.Time) {
		if wake == 0 || at < wake {
			wake = at
		}
	}
	if s.deadlines.len() > 0 {
		earliest(max(now+1, s.deadlines.first().Deadline-s.quickest()))
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
		}
	}
	if wake != 0 && wake != s.wake {
		s.actions = append(s.actions, WakeAt{At: wake})
	}
	s.wake = wake
}
