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

// A replica drains, fails and hangs, and then starts again under its id. Callers would not be
// sent to it for seconds for what its former life did, and its count of requests in work
// would never fall back to nothing.
func TestARestartedReplicaStartsAnew(t *testing.T) {
	b := NewTable("east", nil, func() float64 { return 0 })
	require.Equal(t, Added, b.Put(report(100, 50, false)))
	former := Incarnation{ID: "near", Born: 100}
	b.Sent(former, 0)
	b.Sent(former, 0)
	b.Unreached(former, time.Second)
	b.Misdirected(former)
	require.Equal(t, Updated, b.Put(report(100, 51, true)))
	require.Equal(t, Restarted, b.Put(report(200, 1, false)))
	choice := pick(t, b, time.Second)
	require.False(t, choice.Degraded)
	require.Equal(t, 0, b.InFlight())
	// Ends of the former life that come only now say nothing of the new one.
	b.Sent(Incarnation{ID: "near", Born: 200}, time.Second)
	b.Ended(former)
	b.Unreached(former, time.Second)
	b.Misdirected(former)
	b.Overdue(former, time.Second)
	require.Equal(t, 1, b.InFlight())
	require.False(t, pick(t, b, time.Second).Degraded)
}

// A report of the former life was held up on its way to the store and comes after the new
// one's. Taken for the newest, it would make a replica that serves look as if it drained.
func TestAnOlderReportChangesNothing(t *testing.T) {
	b := NewTable("east", nil, func() float64 { return 0 })
	b.Put(report(200, 5, false))
	require.Equal(t, Outdated, b.Put(report(100, 90, true)))
	require.Equal(t, Outdated, b.Put(report(200, 4, true)))
	require.False(t, pick(t, b, 0).Draining)
	b.Remove("near")
	require.Equal(t, Outdated, b.Put(report(100, 91, false)))
	require.Equal(t, 0, b.CountUsable("s"), "the later life has left, the former one is long gone")
	require.Equal(t, Added, b.Put(report(300, 1, false)))
}

// Reports of several lives come in any order, with removals in between. What is listed is
// never older than the newest report of it, and a drain is never taken back within a life.
func TestReportsInAnyOrderKeepTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTable("east", nil, func() float64 { return 0 })
		newest := Replica{}
		for range 40 {
			if rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
				b.Remove("near")
			}
			born, sequence := rapid.Int64Range(1, 4).Draw(t, "born"), rapid.Int64Range(1, 6).Draw(t, "sequence")
			one := report(born, sequence, sequence >= 4)
			before, listed := b.Get("near")
			listing := b.Put(one)
			if born < newest.Born {
				require.Equal(t, Outdated, listing)
			} else {
				newest = one
			}
			after, ok := b.Get("near")
			if listed {
				require.True(t, ok)
				require.GreaterOrEqual(t, after.Born, before.Born)
				require.False(t, after.Born == before.Born && before.Draining && !after.Draining)
			}
			b.Answered(Incarnation{ID: "near", Born: born}, usual, usual, core.Time(time.Second))
		}
	})
}
