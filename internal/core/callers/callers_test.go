package callers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const step = 100 * time.Millisecond

// play lets usual callers have one request a step, and another one more, for a time. It returns the table and the end.
func play(usual int, large string, largePerStep int, duration time.Duration) (*Table, core.Time) {
	t := NewTable()
	now := core.Time(0)
	for ; now < duration; now += step {
		for i := range usual {
			t.Admitted(fmt.Sprint("usual-", i), now)
		}
		for range largePerStep {
			t.Admitted(large, now)
		}
	}
	return t, now
}

// One caller at ten times the share of the others would take most of the room.
func TestACallerAtTenTimesItsShareIsOver(t *testing.T) {
	table, now := play(16, "large", 10, 3*time.Second)
	require.True(t, table.IsOver("large", now))
	require.False(t, table.IsOver("usual-3", now))
	require.Equal(t, []string{"large"}, table.OverShare(now))
	table.Admitted("", now)
	require.False(t, table.IsOver("", now), "a caller that is not known")
}

// A caller that was over its share must not be kept out for good.
func TestACallerOverItsShareIsAdmittedAgainOnceTheOthersHadTheirs(t *testing.T) {
	table, now := play(16, "large", 10, 3*time.Second)
	admitted := 0
	const steps = 200
	for range steps {
		for i := range 16 {
			table.Admitted(fmt.Sprint("usual-", i), now)
		}
		for range 10 {
			if !table.IsOver("large", now) {
				table.Admitted("large", now)
				admitted++
			}
		}
		now += step
	}
	require.InDelta(t, maxShares, float64(admitted)/steps, 0.25, "per step, where the others have one")
}

// A caller that spreads its load over several entries is counted at each alone. It gets what it would at one entry,
// times the number of entries.
func TestACallerAtSeveralEntriesGetsItsShareAtEach(t *testing.T) {
	const entries, steps = 3, 100
	admitted := 0
	for range entries {
		table, now := play(16, "large", 10, 3*time.Second)
		for range steps {
			for i := range 16 {
				table.Admitted(fmt.Sprint("usual-", i), now)
			}
			for range 10 {
				if !table.IsOver("large", now) {
					table.Admitted("large", now)
					admitted++
				}
			}
			now += step
		}
	}
	require.LessOrEqual(t, float64(admitted)/steps, entries*(maxShares+0.25))
}

// A single caller competes with nobody, and a few requests are no excess.
func TestNobodyIsOverWithoutExcess(t *testing.T) {
	alone, now := play(0, "large", 10, 3*time.Second)
	require.False(t, alone.IsOver("large", now))
	few := NewTable()
	few.Admitted("a", 0)
	for range slack {
		few.Admitted("b", 0)
	}
	require.False(t, few.IsOver("b", 0))
}

// Addresses that appear once must not grow the memory.
func TestCallersAreBoundedAndForgotten(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxCallers {
		table.Admitted(fmt.Sprint(i), 0)
	}
	require.Len(t, table.callers, maxCallers)
	table.Admitted("later", 10*window)
	require.LessOrEqual(t, len(table.callers), 1+1)
	require.Empty(t, table.OverShare(10*window))
}
