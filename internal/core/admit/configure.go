package admit

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

// configure takes over the text's replicas. One that is running work keeps its
// state, so that what it runs stays counted.
func (s *Shard) configure(now core.Time, config Config) {
	s.config = config
	if config.Latency != nil {
		s.service = config.Latency
	}
	if s.service == nil {
		s.service = &latency.Histogram{}
	}
	for _, existing := range s.replicas {
		existing.written = false
	}
	for _, written := range config.Replicas {
		s.write(now, written)
	}
	for _, existing := range s.replicas {
		if !existing.written {
			s.fire(existing, eventRemoved, incident{now: now})
		}
	}
	s.forgetGone()
}

// write takes over one replica as the text has it.
func (s *Shard) write(now core.Time, written ReplicaConfig) {
	r := s.replica(written.Address)
	if r == nil {
		r = &replica{}
		r.restart()
		s.replicas = append(s.replicas, r)
	}
	undrained := r.Draining && !written.Draining
	r.ReplicaConfig = written
	r.written = true
	r.remote = s.config.DataCentre != "" && written.DataCentre != s.config.DataCentre
	r.bounds(s.config.Slots, s.config.Share)
	s.fire(r, eventRestored, incident{now: now})
	switch {
	case written.Draining:
		s.fire(r, eventDrainSeen, incident{now: now})
	case undrained:
		s.fire(r, eventUndrained, incident{now: now})
	}
}

func (s *Shard) replica(address string) *replica {
	for _, r := range s.replicas {
		if r.Address == address {
			return r
		}
	}
	return nil
}

// drainSeen takes what another node saw of a replica.
func (s *Shard) drainSeen(now core.Time, address string) {
	if r := s.replica(address); r != nil {
		s.fire(r, eventDrainSeen, incident{now: now})
	}
}

// endHolds lets replicas whose drain the text does not confirm be probed again.
func (s *Shard) endHolds(now core.Time) {
	for _, r := range s.replicas {
		if r.state == stateDraining && !r.Draining && now-r.drainedAt >= drainHold {
			s.fire(r, eventHoldOver, incident{now: now})
		}
	}
}

func (s *Shard) forgetGone() {
	s.replicas = slices.DeleteFunc(s.replicas, func(r *replica) bool {
		forget := r.state == stateGone && r.inFlight == 0
		if forget {
			s.actions = append(s.actions, Forgotten{Address: r.Address})
		}
		return forget
	})
}
