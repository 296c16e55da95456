package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
)

// Operators evacuate a data centre before maintenance, which would interrupt requests sent there. Its replicas are
// used again once the evacuation ends.
func TestAnEvacuatedDataCentreIsNotChosen(t *testing.T) {
	table := tableOfTwo()
	require.True(t, table.SetEvacuated("east", true, time.Second))
	require.False(t, table.SetEvacuated("east", true, time.Second), "already evacuated")
	require.Equal(t, "far", pick(t, table, time.Second).ID)
	_, ok := table.Pick(Criteria{Service: "s", Tried: []string{"far"}}, time.Second)
	require.False(t, ok, "even if no other replica is left")
	require.Equal(t, 1, table.CountUsable("s"))
	require.False(t, table.IsUsable(near))
	require.True(t, table.KnownUnusable(Replica{ID: "not listed yet", DataCentre: "east"}), "replicas not yet listed here are unusable there too")
	require.False(t, table.KnownUnusable(Replica{ID: "not listed yet", DataCentre: "west"}))
	require.True(t, table.SetEvacuated("east", false, 2*time.Second))
	require.Equal(t, "near", pick(t, table, 2*time.Second).ID)
}

// A route's requests may only go to its regions. A replica elsewhere is never chosen, even if it is the only one left.
func TestARouteKeepsToItsRegions(t *testing.T) {
	table := NewTable("a", map[string]string{"a": "north", "b": "south"}, func() float64 { return 0 })
	table.Put(Replica{ID: "home", Service: "s", DataCentre: "a", Slots: 2})
	table.Put(Replica{ID: "abroad", Service: "s", DataCentre: "b", Slots: 2})
	criteria := Criteria{Service: "s", Regions: []string{"south"}}
	choice, ok := table.Pick(criteria, 0)
	require.True(t, ok)
	require.Equal(t, "abroad", choice.ID)
	criteria.Tried = []string{"abroad"}
	_, ok = table.Pick(criteria, 0)
	require.False(t, ok)
}

// coldTables returns the tables of nodes that share the callers of a service.
func coldTables(count int, bound coldstart.Bound) []*Table {
	var ids []core.NodeID
	for i := range count {
		ids = append(ids, core.NodeID(fmt.Sprint("node", i)))
	}
	var tables []*Table
	for _, id := range ids {
		table := tableOfTwo()
		table.SetColdBounds(map[string]coldstart.Bound{"s": bound})
		table.SetSenders(id, ids)
		tables = append(tables, table)
	}
	return tables
}

// maxPerSecond returns the greatest number of the given times within any one second.
func maxPerSecond(sent []core.Time) int {
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

// simulate sends 1,200 requests a second over all nodes and returns the times at which the near replica got one.
func simulate(tables []*Table, from, until core.Time) (sent []core.Time) {
	const step = time.Second / 1200
	for i, now := 0, from; now < until; i, now = i+1, now+step {
		choice, ok := tables[i%len(tables)].Pick(Criteria{Service: "s", TypicalLatency: typical}, now)
		if ok && choice.ID == "near" {
			sent = append(sent, now)
		}
	}
	return sent
}

// Guards against overloading a cold replica when a data centre's replicas return under the full load of a service.
// Eight nodes discover a replica at the same time and all prefer it, as it is local and idle: at 1,200 requests a
// second it crashes, and its load moves to the next one. The users' figures: 20 a second, up to half more is allowed.
func TestAColdReplicaGetsNoMoreThanItBearsFromAllNodes(t *testing.T) {
	bound := coldstart.Bound{PerSecond: 20, Lasts: 3 * time.Second}
	tables := coldTables(8, bound)
	const cold = 4 * time.Second
	for _, table := range tables {
		table.SetColdUntil(near, cold)
	}
	sent := simulate(tables, time.Second, cold)
	require.NotEmpty(t, sent, "a cold replica needs requests to warm up")
	require.LessOrEqual(t, float64(maxPerSecond(sent)), bound.PerSecond)
	warm := simulate(tables, cold, cold+time.Second)
	require.Greater(t, len(warm), 1000, "the bound ends when the reported cold time is over")
}

// After an evacuation the replicas' last reports still say that they are warm; the reports that they are cold arrive a
// heartbeat after the first requests.
func TestReplicasThatAreTakenBackCountAsCold(t *testing.T) {
	bound := coldstart.Bound{PerSecond: 20, Lasts: 3 * time.Second}
	tables := coldTables(8, bound)
	for _, table := range tables {
		table.SetEvacuated("east", true, time.Second)
		table.SetEvacuated("east", false, 5*time.Second)
	}
	require.LessOrEqual(t, float64(maxPerSecond(simulate(tables, 5*time.Second, 8*time.Second))), bound.PerSecond)
	require.Greater(t, len(simulate(tables, 8*time.Second, 9*time.Second)), 1000)
}

func TestAServiceWithoutAColdBoundIsNotLimited(t *testing.T) {
	tables := coldTables(2, coldstart.Bound{Lasts: 3 * time.Second})
	for _, table := range tables {
		table.SetColdUntil(near, 9*time.Second)
	}
	require.Greater(t, len(simulate(tables, time.Second, 2*time.Second)), 1000)
}
