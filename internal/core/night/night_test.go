package night

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	reportGoal     = time.Minute
	never          = core.Time(1<<63 - 1)
	silentReplicas = 130
)

func defaults() Config { return ConfigFor(reportGoal, 16) }

// bench runs a machine in virtual time. Replicas named in dead never answer.
type bench struct {
	t       *testing.T
	machine *Machine
	now     core.Time
	wake    core.Time
	ends    map[Target]core.Time
	dead    map[string]bool
	busy    map[string]bool
	downAt  map[Target]core.Time
	stalled map[core.ShardRef]bool
	probes  map[Target]int
	peak    int
}

func newBench(t *testing.T, config Config, targets []Target) *bench {
	b := &bench{t: t, machine: New(config), ends: map[Target]core.Time{}, dead: map[string]bool{}, busy: map[string]bool{},
		downAt: map[Target]core.Time{}, stalled: map[core.ShardRef]bool{}, probes: map[Target]int{}}
	b.step(TargetsAssigned{Targets: targets})
	return b
}

func (b *bench) step(e Event) {
	b.wake = never
	for _, action := range b.machine.Step(b.now, e) {
		switch a := action.(type) {
		case StartProbe:
			b.probe(a.Target)
		case ReplicaDown:
			if _, ok := b.downAt[a.Target]; !ok {
				b.downAt[a.Target] = b.now
			}
		case ReplicaUp:
			delete(b.downAt, a.Target)
		case ShardStalled:
			b.stalled[a.Ref] = true
		case ShardRecovered:
			delete(b.stalled, a.Ref)
		case WakeAt:
			b.wake = a.At
		}
	}
}

func (b *bench) probe(target Target) {
	b.probes[target]++
	b.ends[target] = b.now + time.Millisecond
	if b.dead[target.Address] {
		b.ends[target] = b.now + ProbeTimeout(reportGoal)
	}
	b.peak = max(b.peak, len(b.ends))
}

// run lets virtual time pass until the given time.
func (b *bench) run(until core.Time) {
	for {
		at, target := b.wake, Target{}
		for ending, end := range b.ends {
			if end < at || (end == at && ending.Address < target.Address) {
				at, target = end, ending
			}
		}
		if at > until {
			b.now = until
			return
		}
		b.now = at
		b.pass(target)
	}
}

// pass lets one thing happen: the end of the target's probe, or the wake-up when
// there is no target.
func (b *bench) pass(target Target) {
	delete(b.ends, target)
	switch {
	case target.Address == "":
		b.step(Woken{})
	case b.busy[target.Address]:
		b.step(ProbeSkipped{Target: target, At: b.now})
	default:
		b.step(ProbeEnded{Target: target, Alive: !b.dead[target.Address]})
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

// Nobody asks at night. Both replicas of a shard stop answering at 01:00; the
// supervisors would find out in the morning. Cause: a service without traffic
// fails no request, so nothing showed that it was dead.
func TestADeadShardIsReportedWithinAMinuteAndClearedAfterItRecovers(t *testing.T) {
	b := newBench(t, defaults(), targets(350, 2))
	b.run(time.Hour)
	require.Empty(t, b.downAt)
	b.dead["10.0.7.0:80"], b.dead["10.0.7.1:80"] = true, true
	b.run(time.Hour + reportGoal)
	require.Len(t, b.downAt, 2)
	require.Contains(t, b.stalled, core.ShardRef{Service: "stems", Shard: 7})
	clear(b.dead)
	b.run(time.Hour + 2*reportGoal)
	require.Empty(t, b.downAt)
	require.Empty(t, b.stalled)
}

// Every upstream falls silent at once. Each probe now takes its whole time-out,
// so the probes in flight reach their bound; all must still be found in time.
func TestASilentFleetIsReportedInTimeAndInFlightProbesStayBounded(t *testing.T) {
	list := targets(silentReplicas/2, 2)
	b := newBench(t, defaults(), list)
	b.run(time.Hour)
	for _, target := range list {
		b.dead[target.Address] = true
	}
	b.run(time.Hour + reportGoal)
	require.Len(t, b.downAt, len(list))
	require.LessOrEqual(t, b.peak, defaults().MaxInFlight)
}

func TestIdleReplicasAreProbedOnceASweep(t *testing.T) {
	list := targets(10, 2)
	b := newBench(t, defaults(), list)
	b.run(10 * time.Minute)
	for _, target := range list {
		require.InDelta(t, float64(10*time.Minute/defaults().SweepInterval), b.probes[target], 1)
	}
}

// The owner changes while a replica is reported down and a probe is under way:
// the former owner must take its report back, or it would stand for ever.
func TestALostReplicaIsForgotten(t *testing.T) {
	list := targets(1, 1)
	b := newBench(t, defaults(), list)
	b.dead[list[0].Address] = true
	b.run(2 * reportGoal)
	require.Len(t, b.downAt, 1)
	b.step(TargetsAssigned{})
	require.Empty(t, b.downAt)
	require.Empty(t, b.stalled)
}

// A replica's probe fails, then real traffic reaches it: the traffic clears it.
func TestTrafficClearsADownReplica(t *testing.T) {
	list := targets(1, 1)
	b := newBench(t, defaults(), list)
	b.dead[list[0].Address] = true
	b.run(2 * reportGoal)
	b.busy[list[0].Address] = true
	b.run(3 * reportGoal)
	require.Empty(t, b.downAt)
}
