// Package admit decides, for one shard, which request runs next on which
// replica: the queue between customers, the replicas' limits and early refusal.
package admit

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// RequestID identifies a queued request within one shard's machine.
type RequestID uint64

// TryID identifies one upstream request within one shard's machine.
type TryID uint64

// Config is what the operators' text says of a shard.
type Config struct {
	Slots    int
	Replicas []ReplicaConfig
	// MaxQueue bounds the requests that wait, over all customers.
	MaxQueue int
}

// ReplicaConfig is one replica of the shard.
type ReplicaConfig struct {
	Address  string
	Draining bool
}

// Event is something that happened to the shard.
type Event interface{ isEvent() }

// Offered asks for a request to be run.
type Offered struct {
	ID       RequestID
	Customer core.Customer
	Weight   float64
	Deadline core.Time
	// Once marks a request that must not be repeated.
	Once bool
}

// Withdrawn says that nobody waits for the request any longer.
type Withdrawn struct{ ID RequestID }

// TryEnded is the end of an upstream request.
type TryEnded struct {
	Try      TryID
	Outcome  core.Outcome
	Reason   core.Reason
	Draining bool
}

// Reconfigured says that the operators' text has changed the shard.
type Reconfigured struct{ Config Config }

// Woken is the alarm that a WakeAt asked for.
type Woken struct{}

func (Offered) isEvent()      {}
func (Withdrawn) isEvent()    {}
func (TryEnded) isEvent()     {}
func (Reconfigured) isEvent() {}
func (Woken) isEvent()        {}

// Action is something the shard wants done.
type Action interface{ isAction() }

// Dispatch sends the request to a replica.
type Dispatch struct {
	Try     TryID
	Request RequestID
	Address string
	// TimeLeft is the time to the request's deadline.
	TimeLeft time.Duration
}

// Abort cancels an upstream request whose result is not wanted.
type Abort struct{ Try TryID }

// Settle ends the request with the result of a try.
type Settle struct {
	Request RequestID
	Try     TryID
	Tries   int
}

// Refuse ends the request without its having run.
type Refuse struct {
	Request    RequestID
	Reason     core.Reason
	RetryAfter time.Duration
}

// WakeAt asks for a Woken event; a later WakeAt replaces it.
type WakeAt struct{ At core.Time }

func (Dispatch) isAction() {}
func (Abort) isAction()    {}
func (Settle) isAction()   {}
func (Refuse) isAction()   {}
func (WakeAt) isAction()   {}

const refusalPause = 20 * time.Millisecond

// Shard is the state of one shard's queue. It is not safe for concurrent use.
type Shard struct {
	config   Config
	replicas []*replica
	waiting  []*request
	running  map[TryID]*try
	nextTry  TryID
	actions  []Action
}

type replica struct {
	address  string
	inFlight int
	// draining is set by the text or by the upstream's own reply.
	draining bool
	// gone is set when the text no longer lists the replica.
	gone bool
}

type request struct {
	Offered
	tries int
}

type try struct {
	request *request
	replica *replica
}

// NewShard makes an idle shard.
func NewShard(config Config) *Shard {
	shard := &Shard{running: map[TryID]*try{}}
	shard.configure(config)
	return shard
}

// Step takes one event and returns what to do. The slice is valid until the
// next Step.
func (s *Shard) Step(now core.Time, event Event) []Action {
	s.actions = s.actions[:0]
	switch e := event.(type) {
	case Offered:
		s.offered(now, e)
	case Withdrawn:
		s.withdrawn(e)
	case TryEnded:
		s.tryEnded(e)
	case Reconfigured:
		s.configure(e.Config)
	}
	s.shedLate(now)
	s.dispatch(now)
	return s.actions
}

// Waiting is the number of queued requests.
func (s *Shard) Waiting() int { return len(s.waiting) }

// configure takes over the text's replicas. One that is running work keeps its
// state, so that its slots stay counted.
func (s *Shard) configure(config Config) {
	s.config = config
	for _, existing := range s.replicas {
		existing.gone = true
	}
	for _, written := range config.Replicas {
		at := slices.IndexFunc(s.replicas, func(r *replica) bool { return r.address == written.Address })
		if at < 0 {
			s.replicas = append(s.replicas, &replica{address: written.Address, draining: written.Draining})
			continue
		}
		s.replicas[at].gone = false
		s.replicas[at].draining = written.Draining
	}
	s.replicas = slices.DeleteFunc(s.replicas, func(r *replica) bool { return r.gone && r.inFlight == 0 })
}

func (r *replica) usable() bool { return !r.draining && !r.gone }

func (s *Shard) offered(now core.Time, e Offered) {
	switch {
	case e.Deadline <= now:
		s.refuse(e.ID, core.ReasonDeadline, 0)
	case !s.usable():
		s.refuse(e.ID, core.ReasonNoReplica, refusalPause)
	case len(s.waiting) >= s.config.MaxQueue:
		s.refuse(e.ID, core.ReasonOverloaded, refusalPause)
	default:
		s.waiting = append(s.waiting, &request{Offered: e})
	}
}

func (s *Shard) usable() bool {
	return slices.ContainsFunc(s.replicas, (*replica).usable)
}

func (s *Shard) withdrawn(e Withdrawn) {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *request) bool { return r.ID == e.ID })
	for id, running := range s.running {
		if running.request.ID == e.ID {
			s.actions = append(s.actions, Abort{Try: id})
		}
	}
}

func (s *Shard) tryEnded(e TryEnded) {
	ended := s.running[e.Try]
	if ended == nil {
		return
	}
	delete(s.running, e.Try)
	ended.replica.inFlight--
	ended.replica.draining = ended.replica.draining || e.Draining
	s.actions = append(s.actions, Settle{Request: ended.request.ID, Try: e.Try, Tries: ended.request.tries})
}

func (s *Shard) shedLate(now core.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *request) bool {
		late := r.Deadline <= now
		if late {
			s.refuse(r.ID, core.ReasonDeadline, 0)
		}
		return late
	})
}

func (s *Shard) dispatch(now core.Time) {
	for len(s.waiting) > 0 {
		chosen := s.freest()
		if chosen == nil {
			break
		}
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next.tries++
		s.nextTry++
		chosen.inFlight++
		s.running[s.nextTry] = &try{request: next, replica: chosen}
		s.actions = append(s.actions, Dispatch{Try: s.nextTry, Request: next.ID, Address: chosen.address, TimeLeft: next.Deadline - now})
	}
	if len(s.waiting) > 0 {
		s.actions = append(s.actions, WakeAt{At: s.nextDeadline()})
	}
}

// freest returns the usable replica with the most free slots, or nil.
func (s *Shard) freest() *replica {
	var best *replica
	for _, candidate := range s.replicas {
		if !candidate.usable() || candidate.inFlight >= s.config.Slots {
			continue
		}
		if best == nil || candidate.inFlight < best.inFlight {
			best = candidate
		}
	}
	return best
}

func (s *Shard) nextDeadline() core.Time {
	earliest := s.waiting[0].Deadline
	for _, waiting := range s.waiting[1:] {
		earliest = min(earliest, waiting.Deadline)
	}
	return earliest
}

func (s *Shard) refuse(id RequestID, reason core.Reason, retryAfter time.Duration) {
	s.actions = append(s.actions, Refuse{Request: id, Reason: reason, RetryAfter: retryAfter})
}
