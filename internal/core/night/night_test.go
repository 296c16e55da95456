package night

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	reportWithin   = time.Minute
	noWake         = core.Time(1<<63 - 1)
	silentReplicas = 130
)

func defaults() Config { return ConfigFor(reportWithin, 16) }

// harness runs a machine in virtual time. Replicas listed in dead never answer probes;
// those in busy answer real traffic.
type harness struct {
	t            *testing.T
	machine      *Machine
	now          core.Time
	wakeAt       core.Time
	probeEnds    map[Target]core.Time
	dead         map[string]bool
	busy         map[string]bool
	downAt       map[Target]core.Time
	stalled      map[core.ShardRef]bool
	probes       map[Target]int
	peakInFlight int
}

func newHarness(t *testing.T, config Config, targets []Target) *harness {
	h := &harness{t: t, machine: New(config), probeEnds: map[Target]core.Time{}, dead: map[string]bool{}, busy: map[string]bool{},
		downAt: map[Target]core.Time{}, stalled: map[core.ShardRef]bool{}, probes: map[Target]int{}}
	h.step(TargetsAssigned{Targets: targets})
	return h
}

func (h *harness) step(e Event) {
	h.wakeAt = noWake
	for _, action := range h.machine.Step(h.now, e) {
		switch a := action.(type) {
		case StartProbe:
			h.probe(a.Target)
		case ReplicaDown:
			if _, ok := h.downAt[a.Target]; !ok {
				h.downAt[a.Target] = h.now
			}
		case ReplicaUp:
			delete(h.downAt, a.Target)
		case ShardStalled:
			h.stalled[a.Ref] = true
		case ShardRecovered:
			delete(h.stalled, a.Ref)
		case WakeAt:
			h.wakeAt = a.At
		}
	}
}

func (h *harness) probe(target Target) {
	h.probes[target]++
	h.probeEnds[target] = h.now + time.Millisecond
	if h.dead[target.Address] {
		h.probeEnds[target] = h.now + ProbeTimeout(reportWithin)
	}
	h.peakInFlight = max(h.peakInFlight, len(h.probeEnds))
}

// run advances virtual time to the given time.
func (h *harness) run(until core.Time) {
	for {
		at, target := h.wakeAt, Target{}
		for ending, end := range h.probeEnds {
			if end < at || (end == at && ending.Address < target.Address) {
				at, target = end, ending
			}
		}
		if at > until {
			h.now = until
			return
		}
		h.now = at
		h.deliver(target)
	}
}

// deliver delivers one event: the end of the target's probe, or the wake-up if there is
// no target.
func (h *harness) deliver(target Target) {
	delete(h.probeEnds, target)
	switch {
	case target.Address == "":
		h.step(Woken{})
	case h.busy[target.Address]:
		h.step(ProbeSkipped{Target: target, At: h.now})
	default:
		h.step(ProbeEnded{Target: target, Alive: !h.dead[target.Address]})
	}
}

func targets(shards, replicas int) []Target {
	var list []Target
	for shard := range shards {
		for replica := range replicas {
			list = append(list, Target{Ref: core.ShardRef{Service: "stems", Shard: shard}, Address: fmt.Sprintf("10.0.%d.%d:80", shard, replica)})
		}
	}
	return list
}

// Guards against a dead shard staying unnoticed while it has no traffic: without
// requests, no request fails. Both replicas of a shard stop answering an hour after the
// start.
func TestADeadShardIsReportedWithinAMinuteAndClearedAfterItRecovers(t *testing.T) {
	h := newHarness(t, defaults(), targets(350, 2))
	h.run(time.Hour)
	require.Empty(t, h.downAt)
	h.dead["10.0.7.0:80"], h.dead["10.0.7.1:80"] = true, true
	h.run(time.Hour + reportWithin)
	require.Len(t, h.downAt, 2)
	require.Contains(t, h.stalled, core.ShardRef{Service: "stems", Shard: 7})
	clear(h.dead)
	h.run(time.Hour + 2*reportWithin)
	require.Empty(t, h.downAt)
	require.Empty(t, h.stalled)
}

// Guards against late reports when all replicas stop responding at once: each probe
// then takes its whole time-out, so the probes in flight reach their limit.
func TestASilentFleetIsReportedInTimeAndInFlightProbesStayBounded(t *testing.T) {
	list := targets(silentReplicas/2, 2)
	h := newHarness(t, defaults(), list)
	h.run(time.Hour)
	for _, target := range list {
		h.dead[target.Address] = true
	}
	h.run(time.Hour + reportWithin)
	require.Len(t, h.downAt, len(list))
	require.LessOrEqual(t, h.peakInFlight, defaults().MaxInFlight)
}

func TestIdleReplicasAreProbedOnceASweep(t *testing.T) {
	list := targets(10, 2)
	h := newHarness(t, defaults(), list)
	h.run(10 * time.Minute)
	for _, target := range list {
		require.InDelta(t, float64(10*time.Minute/defaults().SweepInterval), h.probes[target], 1)
	}
}

// Guards against a stale report after a change of owner: the former owner must withdraw
// its report of a replica, also while a probe of it is in flight.
func TestReportsAreWithdrawnWhenTheOwnerChanges(t *testing.T) {
	list := targets(1, 1)
	h := newHarness(t, defaults(), list)
	h.dead[list[0].Address] = true
	h.run(2 * reportWithin)
	require.Len(t, h.downAt, 1)
	h.step(TargetsAssigned{})
	require.Empty(t, h.downAt)
	require.Empty(t, h.stalled)
}

// Guards against a replica staying reported as down after it has answered real traffic.
func TestTrafficClearsADownReplica(t *testing.T) {
	list := targets(1, 1)
	h := newHarness(t, defaults(), list)
	h.dead[list[0].Address] = true
	h.run(2 * reportWithin)
	h.busy[list[0].Address] = true
	h.run(3 * reportWithin)
	require.Empty(t, h.downAt)
}
