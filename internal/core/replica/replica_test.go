package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const typical = 10 * time.Millisecond

var near = Incarnation{ID: "near"}

func tableOfTwo() *Table {
	table := NewTable("east", nil, func() float64 { return 0 })
	table.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2})
	table.Put(Replica{ID: "far", Service: "s", DataCentre: "west", Slots: 2})
	return table
}

func pick(t *testing.T, table *Table, now core.Time, tried ...string) Choice {
	t.Helper()
	choice, ok := table.Pick(Criteria{Service: "s", Tried: tried, TypicalLatency: typical}, now)
	require.True(t, ok)
	return choice
}

func TestTheNearReplicaIsPreferredUntilItsSlotsAreFull(t *testing.T) {
	table := tableOfTwo()
	for range 3 {
		require.Equal(t, "near", pick(t, table, 0).ID)
		table.Sent(near, 0)
	}
	table.Sent(near, 0)
	require.Equal(t, "far", pick(t, table, 0).ID)
	table.Ended(near)
	table.Ended(near)
	require.Equal(t, "near", pick(t, table, 0).ID)
}

func TestAnotherRegionIsTheLastChoice(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "south", "c": "north"}
	table := NewTable("a", regions, func() float64 { return 0 })
	table.Put(Replica{ID: "abroad", Service: "s", DataCentre: "b", Slots: 2})
	table.Put(Replica{ID: "next door", Service: "s", DataCentre: "c", Slots: 2})
	require.Equal(t, "next door", pick(t, table, 0).ID)
	require.Equal(t, "abroad", pick(t, table, 0, "next door").ID)
}

// A replica pauses for 150 ms, as each does every few seconds. One query detects the pause when it hedges; the
// following queries must use that observation instead of waiting themselves.
func TestAnOverdueReplicaIsAvoidedUntilItAnswers(t *testing.T) {
	table := tableOfTwo()
	table.Overdue(near, time.Second)
	require.Equal(t, "far", pick(t, table, time.Second).ID)
	only := pick(t, table, time.Second, "far")
	require.True(t, only.Degraded, "a hedge must not go to it")
	table.Answered(near, typical, typical, time.Second+150*time.Millisecond)
	require.Equal(t, "near", pick(t, table, time.Second+150*time.Millisecond).ID)
}

// An overdue replica crashes and never answers. The mark must expire, since the replica may have recovered.
func TestAnOverdueMarkExpires(t *testing.T) {
	table := tableOfTwo()
	table.Overdue(near, time.Second)
	require.Equal(t, "near", pick(t, table, time.Second+overdueTTL).ID)
}

// A replica fails 40 % of its requests while its health endpoint reports it healthy. The outcomes of requests must
// steer requests away from it, and it must be retried later.
func TestAFailingReplicaIsAvoidedAndRetriedLater(t *testing.T) {
	table := tableOfTwo()
	table.Failed(near, time.Second)
	table.Answered(near, typical, typical, time.Second)
	table.Failed(near, time.Second)
	require.Equal(t, "far", pick(t, table, time.Second).ID)
	require.Equal(t, "near", pick(t, table, 10*time.Second).ID)
}

func TestASlowReplicaIsAvoidedAndRetriedLater(t *testing.T) {
	table := tableOfTwo()
	for range 6 {
		table.Answered(near, 8*typical, typical, time.Second)
	}
	require.Equal(t, "far", pick(t, table, time.Second).ID)
	require.Equal(t, "near", pick(t, table, 20*time.Second).ID)
}

// A replica is gone and its address is in use by a replica of another service, which refuses each request for another
// replica. Such refusals count as arrivals there, and while the store is down the registry still lists the old replica
// for many seconds.
func TestAReplicaWhoseAddressIsUsedAgainIsLeft(t *testing.T) {
	table := tableOfTwo()
	table.Misdirected(near)
	require.Equal(t, "far", pick(t, table, time.Minute).ID)
	_, ok := table.Pick(Criteria{Service: "s", Tried: []string{"far"}, TypicalLatency: typical}, time.Minute)
	require.False(t, ok)
	table.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2})
	_, ok = table.Pick(Criteria{Service: "s", Tried: []string{"far"}, TypicalLatency: typical}, time.Minute)
	require.False(t, ok, "the same entry at the same address changes nothing")
	table.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2, Address: "elsewhere"})
	require.Equal(t, "near", pick(t, table, time.Minute).ID)
}

func TestDrainingReplicasGetNoRequests(t *testing.T) {
	table := tableOfTwo()
	table.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2, Draining: true})
	require.Equal(t, "far", pick(t, table, 0).ID)
	require.Equal(t, 1, table.CountUsable("s"))
	_, ok := table.Pick(Criteria{Service: "s", Tried: []string{"far"}, TypicalLatency: typical}, 0)
	require.False(t, ok)
}

// The registry fails and loses the entries of live replicas. They keep getting requests for a grace period; replicas
// that are listed again within it stay, the others are removed.
func TestALapsedReplicaServesOnForAWhile(t *testing.T) {
	table := tableOfTwo()
	table.Lapse("near", time.Second)
	table.Lapse("far", time.Second)
	require.Empty(t, table.Expire(2*time.Second, 2*time.Second))
	table.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2})
	require.Equal(t, []string{"far"}, table.Expire(2*time.Second, 3*time.Second))
	require.Equal(t, "near", pick(t, table, 0).ID)
	table.Remove("near")
	_, ok := table.Pick(Criteria{Service: "s", TypicalLatency: typical}, 0)
	require.False(t, ok)
}

// The expected latency decides on early rejection of queries. It must account for queued requests, for time without an
// answer and for slowness; a replica that accepts no connection counts as unreachable only for a short time.
func TestExpectedLatencyOfAReplica(t *testing.T) {
	table := NewTable("east", nil, func() float64 { return 0 })
	table.Put(Replica{ID: "near", Service: "s", DataCentre: "east", Slots: 2})
	require.Equal(t, typical, pick(t, table, 0).ExpectedLatency)
	require.False(t, pick(t, table, 0).Busy)
	for range 5 {
		table.Sent(near, time.Second)
	}
	require.Equal(t, 3*typical, pick(t, table, time.Second).ExpectedLatency, "two rounds of two slots are ahead")
	require.True(t, pick(t, table, time.Second).Busy)
	require.Equal(t, 3*typical+90*time.Millisecond, pick(t, table, time.Second+100*time.Millisecond).ExpectedLatency, "no answer for 90 ms more than typical")
	table.Answered(near, typical, typical, time.Second+100*time.Millisecond)
	require.Equal(t, 3*typical, pick(t, table, time.Second+100*time.Millisecond).ExpectedLatency)
	table.Unreached(near, 2*time.Second)
	require.True(t, pick(t, table, 2*time.Second).Unreachable)
	require.False(t, pick(t, table, 2*time.Second+unreachedTTL).Unreachable)
}
