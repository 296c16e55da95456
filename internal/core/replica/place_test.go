package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
)

// The operators empty a data centre before they work on it. A request that still goes there is
// cut off by their work; once the wish is taken back, the replicas are used again.
func TestAnEvacuatedDataCentreIsNotChosen(t *testing.T) {
	b := bookOfTwo()
	require.True(t, b.SetEvacuated("east", true, time.Second))
	require.False(t, b.SetEvacuated("east", true, time.Second), "it is no news")
	require.Equal(t, "far", pick(t, b, time.Second).ID)
	_, ok := b.Pick(Criteria{Service: "s", Tried: []string{"far"}}, time.Second)
	require.False(t, ok, "also where no other replica is left")
	require.Equal(t, 1, b.CountUsable("s"))
	require.False(t, b.IsUsable(near))
	require.True(t, b.KnownUnusable(Replica{ID: "not listed yet", DataCentre: "east"}), "replicas that are new there get nothing either")
	require.False(t, b.KnownUnusable(Replica{ID: "not listed yet", DataCentre: "west"}))
	require.True(t, b.SetEvacuated("east", false, 2*time.Second))
	require.Equal(t, "near", pick(t, b, 2*time.Second).ID)
}

// A route names the regions that may see its requests. A replica elsewhere is no choice, also when
// it is the only one left.
func TestARouteKeepsToItsRegions(t *testing.T) {
	b := NewTable("a", map[string]string{"a": "north", "b": "south"}, func() float64 { return 0 })
	b.Put(Replica{ID: "home", Service: "s", DataCentre: "a", Slots: 2})
	b.Put(Replica{ID: "abroad", Service: "s", DataCentre: "b", Slots: 2})
	wish := Criteria{Service: "s", Regions: []string{"south"}}
	choice, ok := b.Pick(wish, 0)
	require.True(t, ok)
	require.Equal(t, "abroad", choice.ID)
	wish.Tried = []string{"abroad"}
	_, ok = b.Pick(wish, 0)
	require.False(t, ok)
}

// coldFleet is the books of nodes that share the callers of a service.
func coldFleet(count int, bound coldstart.Bound) []*Table {
	var ids []core.NodeID
	for i := range count {
		ids = append(ids, core.NodeID(fmt.Sprint("node", i)))
	}
	var books []*Table
	for _, id := range ids {
		b := bookOfTwo()
		b.SetColdBounds(map[string]coldstart.Bound{"s": bound})
		b.SetSenders(id, ids)
		books = append(books, b)
	}
	return books
}

// most is the greatest number of times in any one second.
func most(sent []core.Time) int {
	greatest := 0
	for i := range sent {
		inside := 0
		for _, at := range sent[i:] {
			if at-sent[i] < time.Second {
				inside++
			}
		}
		greatest = max(greatest, inside)
	}
	return greatest
}

// play sends 1,200 requests a second over all nodes and returns when the near replica got one.
func play(books []*Table, from, until core.Time) (sent []core.Time) {
	const step = time.Second / 1200
	for i, now := 0, from; now < until; i, now = i+1, now+step {
		choice, ok := books[i%len(books)].Pick(Criteria{Service: "s", Typical: usual}, now)
		if ok && choice.ID == "near" {
			sent = append(sent, now)
		}
	}
	return sent
}

// Replicas of a data centre return by the hundred, cold. Eight nodes hear of one at the same
// moment and all prefer it, as it is near and has nothing to do: at 1,200 requests a second it
// crashes, and the next one takes its load. Pattern: a cold return under the full load of a service.
// The figures are the users': 20 a second, of which up to half again is allowed.
func TestAColdReplicaGetsNoMoreThanItBearsFromAllNodes(t *testing.T) {
	bound := coldstart.Bound{PerSecond: 20, Lasts: 3 * time.Second}
	books := coldFleet(8, bound)
	const cold = 4 * time.Second
	for _, b := range books {
		b.SetColdUntil(near, cold)
	}
	sent := play(books, time.Second, cold)
	require.NotEmpty(t, sent, "a cold replica warms up by work")
	require.LessOrEqual(t, float64(most(sent)), bound.PerSecond)
	warm := play(books, cold, cold+time.Second)
	require.Greater(t, len(warm), 1000, "the bound ends with the report's time")
}

// An evacuation ends. What the replicas last reported is that they are warm, and the report that they are
// cold comes a heartbeat after the first requests.
func TestReplicasThatAreTakenBackCountAsCold(t *testing.T) {
	bound := coldstart.Bound{PerSecond: 20, Lasts: 3 * time.Second}
	books := coldFleet(8, bound)
	for _, b := range books {
		b.SetEvacuated("east", true, time.Second)
		b.SetEvacuated("east", false, 5*time.Second)
	}
	require.LessOrEqual(t, float64(most(play(books, 5*time.Second, 8*time.Second))), bound.PerSecond)
	require.Greater(t, len(play(books, 8*time.Second, 9*time.Second)), 1000)
}

func TestAServiceThatStatesNoBoundHasNone(t *testing.T) {
	books := coldFleet(2, coldstart.Bound{Lasts: 3 * time.Second})
	for _, b := range books {
		b.SetColdUntil(near, 9*time.Second)
	}
	require.Greater(t, len(play(books, time.Second, 2*time.Second)), 1000)
}
