package admit

import (
	"slices"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// State is a snapshot of a shard for operators.
type State struct {
	Waiting   int             `json:"waiting"`
	Returned  int             `json:"returned"`
	Running   int             `json:"running"`
	MeanUs    int64           `json:"mean_us"`
	HedgeUs   int64           `json:"hedge_after_us"`
	Customers []CustomerState `json:"customers,omitempty"`
	Replicas  []ReplicaState  `json:"replicas"`
}

// CustomerState is the state of one customer's queue.
type CustomerState struct {
	Customer core.Customer `json:"customer"`
	Weight   float64       `json:"weight"`
	Waiting  int           `json:"waiting"`
}

// ReplicaState is the state of one replica as seen by its owner.
type ReplicaState struct {
	Address     string  `json:"address"`
	State       string  `json:"state"`
	InFlight    int     `json:"in_flight"`
	Limit       float64 `json:"limit"`
	Share       int     `json:"share"`
	LatencyUs   int64   `json:"latency_us"`
	FailureRate float64 `json:"failure_rate"`
	// PausedMs and ProbeInMs are the times until the replica gets requests again.
	PausedMs  int64 `json:"paused_ms,omitempty"`
	ProbeInMs int64 `json:"probe_in_ms,omitempty"`
}

// State returns a snapshot of the shard.
func (s *Shard) State(now core.Time) State {
	state := State{
		Waiting:  s.queue.waiting,
		Returned: len(s.returned),
		Running:  len(s.running),
		MeanUs:   time.Duration(s.meanServiceTimeNs).Microseconds(),
	}
	if delay, known := s.serviceLatency.Quantile(hedgeQuantile); known {
		state.HedgeUs = delay.Microseconds()
	}
	for _, f := range s.queue.customers {
		state.Customers = append(state.Customers, CustomerState{Customer: f.customer, Weight: f.weight, Waiting: f.length})
	}
	slices.SortFunc(state.Customers, func(a, b CustomerState) int { return strings.Compare(string(a.Customer), string(b.Customer)) })
	for _, r := range s.replicas {
		state.Replicas = append(state.Replicas, r.report(now))
	}
	return state
}

func (r *replica) report(now core.Time) ReplicaState {
	report := ReplicaState{
		Address:     r.Address,
		State:       healthChart.Name(r.state),
		InFlight:    r.inFlight,
		Limit:       r.Limit(),
		Share:       r.MaxLimit(),
		LatencyUs:   time.Duration(r.latencyNs).Microseconds(),
		FailureRate: r.failureRate,
		PausedMs:    max(0, r.pausedUntil-now).Milliseconds(),
	}
	if r.state == stateDown {
		report.ProbeInMs = max(0, r.probeAt-now).Milliseconds()
	}
	return report
}
