package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const usual = 10 * time.Millisecond

var near = Incarnation{ID: "near"}

func bookOfTwo() *Table {
	b := NewTable("east", nil, func() float64 { return 0 })
	b.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2})
	b.Put(Replica{ID: "far", Service: "s", DataCentre: "west", Slots: 2})
	return b
}

func pick(t *testing.T, b *Table, now core.Time, tried ...string) Choice {
	t.Helper()
	choice, ok := b.Pick(Criteria{Service: "s", Tried: tried, Typical: usual}, now)
	require.True(t, ok)
	return choice
}

func TestTheNearReplicaIsPreferredUntilItsSlotsAreFull(t *testing.T) {
	b := bookOfTwo()
	for range 3 {
		require.Equal(t, "near", pick(t, b, 0).ID)
		b.Sent(near, 0)
	}
	b.Sent(near, 0)
	require.Equal(t, "far", pick(t, b, 0).ID)
	b.Ended(near)
	b.Ended(near)
	require.Equal(t, "near", pick(t, b, 0).ID)
}

func TestAnotherRegionIsTheLastChoice(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "south", "c": "north"}
	b := NewTable("a", regions, func() float64 { return 0 })
	b.Put(Replica{ID: "abroad", Service: "s", DataCentre: "b", Slots: 2})
	b.Put(Replica{ID: "next door", Service: "s", DataCentre: "c", Slots: 2})
	require.Equal(t, "next door", pick(t, b, 0).ID)
	require.Equal(t, "abroad", pick(t, b, 0, "next door").ID)
}

// A replica pauses for 150 ms, as each does every few seconds. A question finds out
// at its hedge; the ones that follow meet the pause again unless the first one's
// finding is shared.
func TestAnOverdueReplicaIsAvoidedUntilItAnswers(t *testing.T) {
	b := bookOfTwo()
	b.Overdue(near, time.Second)
	require.Equal(t, "far", pick(t, b, time.Second).ID)
	only := pick(t, b, time.Second, "far")
	require.True(t, only.Degraded, "a hedge must not go to it")
	b.Answered(near, usual, usual, time.Second+150*time.Millisecond)
	require.Equal(t, "near", pick(t, b, time.Second+150*time.Millisecond).ID)
}

// A replica that is overdue dies and never answers. It must not be shunned for
// ever by that alone, as it may have come back meanwhile.
func TestAnOverdueMarkEnds(t *testing.T) {
	b := bookOfTwo()
	b.Overdue(near, time.Second)
	require.Equal(t, "near", pick(t, b, time.Second+overdueLife).ID)
}

// A replica fails 40 in 100 of its requests while its health endpoint says all is
// well. Requests must leave it by what they see themselves, and come back.
func TestAReplicaThatFailsIsLeftAndTriedAgain(t *testing.T) {
	b := bookOfTwo()
	b.Failed(near, time.Second)
	b.Answered(near, usual, usual, time.Second)
	b.Failed(near, time.Second)
	require.Equal(t, "far", pick(t, b, time.Second).ID)
	require.Equal(t, "near", pick(t, b, 10*time.Second).ID)
}

func TestASlowReplicaIsLeftAndTriedAgain(t *testing.T) {
	b := bookOfTwo()
	for range 6 {
		b.Answered(near, 8*usual, usual, time.Second)
	}
	require.Equal(t, "far", pick(t, b, time.Second).ID)
	require.Equal(t, "near", pick(t, b, 20*time.Second).ID)
}

// A replica is gone and its address belongs to one of another service, which refuses each
// request by its name. Refusals count as arrivals there; the registry still lists the old
// replica for many seconds when the store is down.
func TestAReplicaWhoseAddressIsUsedAgainIsLeft(t *testing.T) {
	b := bookOfTwo()
	b.Misdirected(near)
	require.Equal(t, "far", pick(t, b, time.Minute).ID)
	_, ok := b.Pick(Criteria{Service: "s", Tried: []string{"far"}, Typical: usual}, time.Minute)
	require.False(t, ok)
	b.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2})
	_, ok = b.Pick(Criteria{Service: "s", Tried: []string{"far"}, Typical: usual}, time.Minute)
	require.False(t, ok, "the same entry again says nothing new")
	b.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2, Address: "elsewhere"})
	require.Equal(t, "near", pick(t, b, time.Minute).ID)
}

func TestDrainingReplicasGetNothing(t *testing.T) {
	b := bookOfTwo()
	b.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2, Draining: true})
	require.Equal(t, "far", pick(t, b, 0).ID)
	require.Equal(t, 1, b.CountUsable("s"))
	_, ok := b.Pick(Criteria{Service: "s", Tried: []string{"far"}, Typical: usual}, 0)
	require.False(t, ok)
}

// The registry is down and loses the entries of live replicas. They go on serving
// for a while; an entry that then is back stays, one that is not is gone.
func TestALapsedReplicaServesOnForAWhile(t *testing.T) {
	b := bookOfTwo()
	b.Lapse("near", time.Second)
	b.Lapse("far", time.Second)
	require.Empty(t, b.Expire(2*time.Second, 2*time.Second))
	b.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2})
	require.Equal(t, []string{"far"}, b.Expire(2*time.Second, 3*time.Second))
	require.Equal(t, "near", pick(t, b, 0).ID)
	b.Remove("near")
	_, ok := b.Pick(Criteria{Service: "s", Typical: usual}, 0)
	require.False(t, ok)
}

// What is expected of a replica decides whether a question is let in. It has to know a queue, a
// silence that lasts, and slowness; and a replica that takes no connection is away for a moment only.
func TestWhatIsExpectedOfAReplica(t *testing.T) {
	b := NewTable("east", nil, func() float64 { return 0 })
	b.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2})
	require.Equal(t, usual, pick(t, b, 0).ExpectedLatency)
	require.False(t, pick(t, b, 0).Busy)
	for range 5 {
		b.Sent(near, time.Second)
	}
	require.Equal(t, 3*usual, pick(t, b, time.Second).ExpectedLatency, "two rounds of two are ahead")
	require.True(t, pick(t, b, time.Second).Busy)
	require.Equal(t, 3*usual+90*time.Millisecond, pick(t, b, time.Second+100*time.Millisecond).ExpectedLatency, "nothing was heard for 90 ms more than usual")
	b.Answered(near, usual, usual, time.Second+100*time.Millisecond)
	require.Equal(t, 3*usual, pick(t, b, time.Second+100*time.Millisecond).ExpectedLatency)
	b.Unreached(near, 2*time.Second)
	require.True(t, pick(t, b, 2*time.Second).Unreachable)
	require.False(t, pick(t, b, 2*time.Second+unreachedLife).Unreachable)
}
