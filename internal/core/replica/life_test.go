package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

func report(born, sequence int64, draining bool) Replica {
	return Replica{ID: "near", Born: born, Sequence: sequence, Service: "s", DataCentre: "east", Slots: 2, Draining: draining}
}

// Guards against observations of an earlier incarnation applying to a replica that restarts under its id: it would
// get no requests for seconds, and its count of requests in flight would never return to zero.
func TestARestartedReplicaHasNoHistory(t *testing.T) {
	table := NewTable("east", nil, func() float64 { return 0 })
	require.Equal(t, Added, table.Put(report(100, 50, false)))
	earlier := Incarnation{ID: "near", Born: 100}
	table.Sent(earlier, 0)
	table.Sent(earlier, 0)
	table.Unreached(earlier, time.Second)
	table.Misdirected(earlier)
	require.Equal(t, Updated, table.Put(report(100, 51, true)))
	require.Equal(t, Restarted, table.Put(report(200, 1, false)))
	choice := pick(t, table, time.Second)
	require.False(t, choice.Degraded)
	require.Equal(t, 0, table.InFlight())
	// Late events of the earlier incarnation do not affect the new one.
	table.Sent(Incarnation{ID: "near", Born: 200}, time.Second)
	table.Ended(earlier)
	table.Unreached(earlier, time.Second)
	table.Misdirected(earlier)
	table.Overdue(earlier, time.Second)
	require.Equal(t, 1, table.InFlight())
	require.False(t, pick(t, table, time.Second).Degraded)
}

// Guards against requests that wait until their deadlines for a replica that has ended, where its entry was removed or
// unreadable before it started again.
func TestAReportShowsTheEndOfARemovedIncarnation(t *testing.T) {
	table := NewTable("east", nil, func() float64 { return 0 })
	table.Put(report(100, 50, false))
	_, ended := table.EndedBy(report(200, 1, false))
	require.False(t, ended, "it is still listed, so that Put tells")
	table.Remove("near")
	former, ended := table.EndedBy(report(200, 1, false))
	require.True(t, ended)
	require.Equal(t, Incarnation{ID: "near", Born: 100}, former)
	for _, same := range []int64{0, 99, 100} {
		_, ended = table.EndedBy(report(same, 60, false))
		require.False(t, ended)
	}
	table.Put(report(200, 1, false))
	_, ended = table.EndedBy(report(300, 1, false))
	require.False(t, ended)
}

// Guards against a delayed report of an earlier incarnation that reaches the store after the new incarnation's: a
// serving replica would be listed as draining.
func TestAnOlderReportChangesNothing(t *testing.T) {
	table := NewTable("east", nil, func() float64 { return 0 })
	table.Put(report(200, 5, false))
	require.Equal(t, Outdated, table.Put(report(100, 90, true)))
	require.Equal(t, Outdated, table.Put(report(200, 4, true)))
	require.False(t, pick(t, table, 0).Draining)
	table.Remove("near")
	require.Equal(t, Outdated, table.Put(report(100, 91, false)))
	require.Equal(t, 0, table.CountUsable("s"), "the later incarnation has left, the earlier one ended before it")
	require.Equal(t, Added, table.Put(report(300, 1, false)))
}

// Reports of several incarnations arrive in any order, with removals in between. A listed replica never reverts to an
// older incarnation, and a drain is never undone within an incarnation.
func TestReportsInAnyOrderKeepTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable("east", nil, func() float64 { return 0 })
		newest := Replica{}
		for range 40 {
			if rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
				table.Remove("near")
			}
			born, sequence := rapid.Int64Range(1, 4).Draw(t, "born"), rapid.Int64Range(1, 6).Draw(t, "sequence")
			replica := report(born, sequence, sequence >= 4)
			before, listed := table.Get("near")
			result := table.Put(replica)
			if born < newest.Born {
				require.Equal(t, Outdated, result)
			} else {
				newest = replica
			}
			after, ok := table.Get("near")
			if listed {
				require.True(t, ok)
				require.GreaterOrEqual(t, after.Born, before.Born)
				require.False(t, after.Born == before.Born && before.Draining && !after.Draining)
			}
			table.Answered(Incarnation{ID: "near", Born: born}, typical, typical, core.Time(time.Second))
		}
	})
}
