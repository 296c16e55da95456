package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

func nodes(count int) []core.NodeID {
	var list []core.NodeID
	for i := range count {
		list = append(list, core.NodeID(fmt.Sprintf("10.1.0.%d:7380", i)))
	}
	return list
}

func totalShare(bound Bound, replica string, fleet, view []core.NodeID) int {
	sum := 0
	for _, self := range fleet {
		sum += Share(bound, replica, self, view)
	}
	return sum
}

// Guards against shares that exceed the rate that a cold replica can handle, which makes it crash, and
// against a total of zero, with which it would never be used.
func TestSharesOfAllNodesAddUpToHalfOfTheColdReplicaRate(t *testing.T) {
	for _, count := range []int{1, 2, 8, 18, 300} {
		for _, perSecond := range []float64{0.5, 3, 20, 90} {
			for _, replica := range []string{"i-1", "i-2", "i-3"} {
				sum := totalShare(Bound{PerSecond: perSecond}, replica, nodes(count), nodes(count))
				require.Equal(t, max(int(perSecond/2), 1), sum, "%d nodes, %g requests per second", count, perSecond)
			}
		}
	}
}

// Guards against exceeding the rate in a partitioned fleet, where each half takes itself for all
// nodes.
func TestTwoViewsOfTheFleetStayWithinWhatAColdReplicaBears(t *testing.T) {
	all := nodes(18)
	bound := Bound{PerSecond: 20}
	sum := totalShare(bound, "i-1", all[:9], all[:9]) + totalShare(bound, "i-1", all[9:], all[9:])
	require.LessOrEqual(t, float64(sum), bound.PerSecond)
}

func TestNodeOutsideTheEntryNodesHasNoShare(t *testing.T) {
	require.Zero(t, Share(Bound{PerSecond: 20}, "i-1", "other", nodes(3)))
	require.Zero(t, Share(Bound{PerSecond: 20}, "i-1", "other", nil))
}

func TestWindowAdmitsAtMostItsShareInAnySecond(t *testing.T) {
	const share = 3
	var w Window
	var sent []core.Time
	for now := core.Time(0); now < 5*time.Second; now += 70 * time.Millisecond {
		if w.HasCapacity(share, now) {
			w.Record(now)
			sent = append(sent, now)
		}
	}
	require.Greater(t, len(sent), 4*share)
	for i := share; i < len(sent); i++ {
		require.GreaterOrEqual(t, sent[i]-sent[i-share], time.Second)
	}
}
