package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/condition"
)

func observations(table *Table, now core.Time) map[string]condition.Condition {
	found := map[string]condition.Condition{}
	for _, o := range table.Observations(nil, now) {
		found[o.Replica.ID] = o.Condition
	}
	return found
}

// Guards against the choice of an unreachable replica over one that is nine times slower than usual, once the weight of
// its failures has decayed.
func TestAnUnreachableReplicaIsNoChoiceWhileASlowOneIsReachable(t *testing.T) {
	table := tableOfTwo()
	table.Answered(Incarnation{ID: "far"}, 100*typical, typical, time.Second)
	table.Unreached(near, time.Second)
	for now := time.Second; now < 3*time.Second; now += 100 * time.Millisecond {
		require.Equal(t, "far", pick(t, table, now).ID)
	}
	require.Equal(t, "near", pick(t, table, time.Second, "far").ID, "it is one where nothing else is left")
}

// Requests of 220 ms meet a slow replica. Its answer comes after a second; until then the next requests must know from
// the one that waits.
func TestWaitingForAnAnswerShowsSlownessBeforeItComes(t *testing.T) {
	const long = 220 * time.Millisecond
	table := tableOfTwo()
	criteria := Criteria{Service: "s", TypicalLatency: long}
	first, _ := table.Pick(criteria, time.Second)
	require.Equal(t, "near", first.ID)
	table.Sent(near, time.Second)
	next, _ := table.Pick(criteria, time.Second+500*time.Millisecond)
	require.Equal(t, "far", next.ID)
	told := observations(table, time.Second+minSlowTime)["near"]
	require.True(t, told.Notable())
	require.InDelta(t, 600.0/220, told.Slowness, 0.01)
}

func TestAPauseIsNotToldAsSlowness(t *testing.T) {
	table := tableOfTwo()
	table.Answered(near, 250*time.Millisecond, typical, time.Second)
	require.Equal(t, 1.0, observations(table, 2*time.Second)["near"].Slowness)
	table.Answered(near, 250*time.Millisecond, typical, 2*time.Second)
	require.Greater(t, observations(table, 2*time.Second)["near"].Slowness, 2.5, "slow answers for a second are no pause")
}

func TestTheWordOfOthersDecidesTheChoice(t *testing.T) {
	table := tableOfTwo()
	require.True(t, table.Receive("n2", near, condition.Condition{Slowness: 5}, time.Second, time.Second))
	require.False(t, table.Receive("n3", near, condition.Condition{Slowness: 5}, time.Second, time.Second), "it is known already")
	require.Equal(t, "far", pick(t, table, time.Second).ID)
	require.Equal(t, "near", pick(t, table, time.Second+condition.TTL).ID)
	require.Len(t, table.Unusual(time.Second), 1)
	table.ExpireWord(time.Second + condition.TTL)
	require.Empty(t, table.Unusual(time.Second+condition.TTL))
}

// A replica restarts under its id while word of its former incarnation is still under way.
func TestWordOfAFormerIncarnationCountsForNothing(t *testing.T) {
	table := tableOfTwo()
	table.Receive("n2", near, condition.Condition{Slowness: 5}, time.Second, time.Second)
	table.Put(Replica{ID: "near", Born: 7, Service: "s", DataCentre: "east", Slots: 2})
	table.Receive("n2", near, condition.Condition{Slowness: 5}, time.Second, time.Second)
	require.Equal(t, "near", pick(t, table, time.Second).ID)
}

// Two nodes that are cut off from a data centre call all replicas of a service unreachable. A node that reaches them
// must keep using them, and one that knows nothing must still choose one.
func TestWrongWordDoesNotEmptyAService(t *testing.T) {
	table := tableOfTwo()
	unreachable := condition.Condition{Slowness: 1, Failed: 1, Unreachable: true}
	for _, from := range []core.NodeID{"n2", "n3"} {
		table.Receive(from, near, unreachable, time.Second, time.Second)
		table.Receive(from, Incarnation{ID: "far"}, unreachable, time.Second, time.Second)
	}
	require.True(t, pick(t, table, time.Second).Unreachable)
	table.Answered(near, typical, typical, time.Second+50*time.Millisecond)
	choice := pick(t, table, time.Second+100*time.Millisecond)
	require.Equal(t, "near", choice.ID)
	require.False(t, choice.Unreachable)
}

// The way to another data centre is a tenth of a short request and a hundredth of a long one.
func TestForLongRequestsAnotherDataCentreIsNearlyAsGood(t *testing.T) {
	table := tableOfTwo()
	table.Answered(near, 2*typical, typical, time.Second)
	short, _ := table.Pick(Criteria{Service: "s", TypicalLatency: typical}, time.Second)
	long, _ := table.Pick(Criteria{Service: "s", TypicalLatency: 300 * time.Millisecond}, time.Second)
	require.Equal(t, "near", short.ID)
	require.Equal(t, "far", long.ID)
}
