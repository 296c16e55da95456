package admit

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

// configure applies a new configuration. Replicas that stay keep their state. A removed replica is
// kept until its requests in flight have ended, so that they stay counted.
func (s *Shard) configure(now core.Time, config Config) {
	s.config = config
	if config.Latency != nil {
		s.serviceLatency = config.Latency
	}
	if s.serviceLatency == nil {
		s.serviceLatency = &latency.Histogram{}
	}
	for _, existing := range s.replicas {
		existing.configured = false
	}
	for _, replicaConfig := range config.Replicas {
		s.configureReplica(now, replicaConfig)
	}
	for _, existing := range s.replicas {
		if !existing.configured {
			s.fire(existing, eventRemoved, chartInput{now: now})
		}
	}
	s.removeGoneReplicas()
}

// configureReplica adds a replica or updates its configuration.
func (s *Shard) configureReplica(now core.Time, replicaConfig ReplicaConfig) {
	r := s.replicaByAddress(replicaConfig.Address)
	if r == nil {
		r = &replica{}
		r.RestartRamp()
		s.replicas = append(s.replicas, r)
	}
	undrained := r.Draining && !replicaConfig.Draining
	r.ReplicaConfig = replicaConfig
	r.configured = true
	r.remote = s.config.DataCentre != "" && replicaConfig.DataCentre != s.config.DataCentre
	r.SetBounds(s.config.Slots, s.config.Share)
	s.fire(r, eventRestored, chartInput{now: now})
	switch {
	case replicaConfig.Draining:
		s.fire(r, eventDrainSeen, chartInput{now: now})
	case undrained:
		s.fire(r, eventUndrained, chartInput{now: now})
	}
}

func (s *Shard) replicaByAddress(address string) *replica {
	for _, r := range s.replicas {
		if r.Address == address {
			return r
		}
	}
	return nil
}

// drainSeen handles a drain of a replica that another node has observed.
func (s *Shard) drainSeen(now core.Time, address string) {
	if r := s.replicaByAddress(address); r != nil {
		s.fire(r, eventDrainSeen, chartInput{now: now})
	}
}

// expireDrainHolds allows probes of replicas whose drain is not confirmed by the configuration.
func (s *Shard) expireDrainHolds(now core.Time) {
	for _, r := range s.replicas {
		if r.state == stateDraining && !r.Draining && now-r.drainSeenAt >= drainHold {
			s.fire(r, eventHoldOver, chartInput{now: now})
		}
	}
}

func (s *Shard) removeGoneReplicas() {
	s.replicas = slices.DeleteFunc(s.replicas, func(r *replica) bool {
		remove := r.state == stateGone && r.inFlight == 0
		if remove {
			s.actions = append(s.actions, Forgotten{Address: r.Address})
		}
		return remove
	})
}
