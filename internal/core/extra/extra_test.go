package extra

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Guards against retries of a failing service multiplying its load when several nodes retry without
// communication, so that its replicas never recover.
func TestNodesThatDoNotHearEachOtherKeepTheSharedBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		bound := Bound{Window: 10 * time.Second, Ratio: 0.2, Allowance: 6}
		type arrival struct {
			at    core.Time
			extra bool
		}
		var budgets []*Budget
		for range nodes {
			budgets = append(budgets, New(bound))
		}
		var history []arrival
		now := core.Time(0)
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 999), 1, 400).Draw(t, "steps") {
			now += time.Duration(step) * time.Millisecond
			node := budgets[step%nodes]
			if step%2 == 0 {
				node.RecordRequest("prices", now)
				history = append(history, arrival{at: now})
				continue
			}
			for node.Take("prices", now) {
				history = append(history, arrival{at: now, extra: true})
			}
		}
		for end, last := range history {
			requests, extras := 0, 0
			for _, earlier := range history[:end+1] {
				// A node counts requests over up to one span more than the window.
				if earlier.at > last.at-bound.Window-bound.Window/spansPerWindow && !earlier.extra {
					requests++
				}
				if earlier.at > last.at-bound.Window && earlier.extra {
					extras++
				}
			}
			require.LessOrEqual(t, float64(extras), bound.Ratio*float64(requests)+nodes*bound.Allowance)
		}
	})
}

func TestSpentExtrasAreAvailableAgainAfterTheWindow(t *testing.T) {
	b := New(Bound{Window: 10 * time.Second, Allowance: 2})
	require.True(t, b.Take("s", 0))
	require.True(t, b.Take("s", 0))
	require.False(t, b.Take("s", 9*time.Second))
	require.True(t, b.Take("s", 11*time.Second))
	b.RemoveUnused(func(string) bool { return false }, 30*time.Second)
	require.Empty(t, b.windows)
}

func TestUsedFraction(t *testing.T) {
	b := New(Bound{Window: 10 * time.Second, Ratio: 0.2, Allowance: 4})
	require.Zero(t, b.UsedFraction("s", 0))
	for range 30 {
		b.RecordRequest("s", 0)
	}
	for range 5 {
		require.True(t, b.Take("s", 0))
	}
	require.InDelta(t, 0.5, b.UsedFraction("s", 0), 1e-9)
}
