package condition

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const ms = time.Millisecond

var slow = Condition{Slowness: 5}

func observe(replica string, c Condition, at core.Time) Observation[string] {
	return Observation[string]{Replica: replica, Condition: c, At: at}
}

func TestNothingIsToldInCalm(t *testing.T) {
	teller := NewTeller[string]()
	for now := time.Second; now < 10*time.Second; now += 100 * ms {
		require.Empty(t, teller.Step(now, []Observation[string]{observe("a", Condition{Slowness: 1.4, Refused: 0.1}, now), observe("b", Usual, now)}))
	}
}

func TestABigChangeIsToldAtOnceAndThenRenewedWhileItHolds(t *testing.T) {
	teller := NewTeller[string]()
	var toldAt []core.Time
	for now := time.Second; now < 5*time.Second; now += 100 * ms {
		if len(teller.Step(now, []Observation[string]{observe("a", slow, now)})) > 0 {
			toldAt = append(toldAt, now)
		}
	}
	require.Equal(t, []core.Time{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second}, toldAt)
	require.Len(t, teller.Step(5*time.Second, []Observation[string]{observe("a", Usual, 5*time.Second)}), 1, "its return to normal is told too")
	require.Empty(t, teller.Step(7*time.Second, []Observation[string]{observe("a", Usual, 7*time.Second)}))
}

// A node that gets no further outcomes of a replica must not keep its old word alive.
func TestAnOldObservationIsNotRenewed(t *testing.T) {
	teller := NewTeller[string]()
	require.Len(t, teller.Step(time.Second, []Observation[string]{observe("a", slow, time.Second)}), 1)
	require.Empty(t, teller.Step(3*time.Second, []Observation[string]{observe("a", slow, time.Second)}))
	require.Len(t, teller.Current(3*time.Second), 1, "a node that joins gets it with its age")
	require.Empty(t, teller.Current(time.Second+TTL))
}

// A node loses its network and finds all replicas unreachable. What it tells must not lead others to the same belief.
func TestANodeThatIsCutOffCallsNoReplicaUnreachable(t *testing.T) {
	unreachable := Condition{Slowness: 1, Failed: 1, Unreachable: true}
	var all []Observation[string]
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		all = append(all, observe(name, unreachable, time.Second))
	}
	require.Empty(t, NewTeller[string]().Step(time.Second, all))
	for _, name := range []string{"u", "v", "w", "x", "y", "z"} {
		all = append(all, observe(name, Usual, time.Second))
	}
	require.Len(t, NewTeller[string]().Step(time.Second, all), 6, "with as many reachable ones it is the replicas")
}

func TestManyChangesAreSpreadOverMessages(t *testing.T) {
	teller := NewTeller[int]()
	var all []Observation[int]
	for i := range MaxBatch + 10 {
		all = append(all, Observation[int]{Replica: i, Condition: slow, At: time.Second})
	}
	require.Len(t, teller.Step(time.Second, all), MaxBatch)
	require.Len(t, teller.Step(time.Second+100*ms, all), 10)
}

// own returns a node's own knowledge of a replica that answered as usual at a time.
func own(at core.Time) Own { return Own{Condition: Usual, At: at, AnsweredAt: at} }

func TestANodeWithoutKnowledgeOfItsOwnTakesWhatItIsTold(t *testing.T) {
	var word Word
	word.Take("n1", slow, time.Second)
	require.InDelta(t, 5, word.Merge(Own{Condition: Usual}, time.Second).Slowness, 0.01)
	require.InDelta(t, 5, word.Merge(own(time.Second-10*time.Second), time.Second).Slowness, 0.1, "what it saw long ago counts for little")
}

func TestOwnAndNewerObservationsWeighMore(t *testing.T) {
	var word Word
	word.Take("n1", slow, 10*time.Second)
	require.Less(t, word.Merge(own(10*time.Second), 10*time.Second).Slowness, 2.5, "of the same age the own one counts twice")
	word.Take("n2", Usual, 12*time.Second)
	require.Less(t, word.Merge(Own{Condition: Usual}, 12*time.Second).Slowness, 2.0)
}

// A replica loses part of its answers. Another node tells that it is slow and has failed none of its few requests; the
// failure that this node has seen must still count.
func TestWordDoesNotTakeBackOwnFailures(t *testing.T) {
	var word Word
	word.Take("n1", slow, 12*time.Second)
	believed := word.Merge(Own{Condition: Condition{Slowness: 1, Failed: 0.2}, At: 5 * time.Second}, 12*time.Second)
	require.Equal(t, 0.2, believed.Failed)
	require.Greater(t, believed.Slowness, 4.0)
}

// A link is cut one way, or a node freezes: what it told last must end by itself.
func TestWordExpires(t *testing.T) {
	var word Word
	word.Take("n1", Condition{Slowness: 9, Refused: 1}, time.Second)
	require.Equal(t, Usual, word.Merge(own(0), time.Second+TTL))
	word.Expire(time.Second + TTL)
	require.True(t, word.IsEmpty())
}

// One node's word that a replica is unreachable may be due to its own network.
func TestUnreachableNeedsTwoNodesAndNoLaterAnswer(t *testing.T) {
	unreachable := Condition{Slowness: 1, Failed: 1, Unreachable: true}
	var word Word
	word.Take("n1", unreachable, 10*time.Second)
	word.Take("n1", unreachable, 10*time.Second+100*ms)
	require.False(t, word.Merge(own(0), 10*time.Second+200*ms).Unreachable)
	word.Take("n2", unreachable, 10*time.Second+100*ms)
	require.True(t, word.Merge(own(0), 10*time.Second+200*ms).Unreachable)
	require.False(t, word.Merge(own(10*time.Second+150*ms), 10*time.Second+200*ms).Unreachable, "it has answered since")
	require.False(t, word.Merge(own(0), 10*time.Second+100*ms+unreachableTTL).Unreachable)
}

func TestWordOfManyNodesIsBounded(t *testing.T) {
	var word Word
	for i := range 100 {
		word.Take(core.NodeID(rune('a'+i)), slow, core.Time(i)*ms)
	}
	require.Len(t, word.reports, maxSources)
	word.Take("late", slow, 0)
	require.NotContains(t, word.Sources(100*ms), core.NodeID("late"), "an older one does not replace a newer one")
}
