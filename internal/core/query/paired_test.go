package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// A chef's question is with an owner that stands still while the index moves
// from 7 to 8. The next node answers at 8; then the owner wakes and its replies,
// computed from 7 before the pause, arrive between any two of the others. The
// answer must be whole, all of it from 8, and tell what it dropped.
func TestAWokenOwnersFormerVersionNeverMixes(t *testing.T) {
	whole := 0
	for woken := range 12 {
		options := testOptions()
		options.FallbackAfter = 50 * time.Millisecond
		w := newWorld(t, twoServicePlan(), options, 7)
		w.step(Started{})
		var late []Event
		for len(w.pending) > 0 {
			late = append(late, w.part(w.take(0), len(late) == 1))
		}
		for ref := range w.serves {
			w.serves[ref] = []core.Version{8}
		}
		w.now = w.wake
		w.step(Woken{})
		require.Equal(t, 1, w.pending[0].send.Rank, "the next node is asked")
		for step := 0; w.finished == nil; step++ {
			if step == woken && len(late) > 0 {
				w.step(late[0])
				late, woken = late[1:], woken+2
				continue
			}
			if len(w.pending) > 0 {
				w.step(w.part(w.take(0), false))
				continue
			}
			w.now = w.wake
			w.step(Woken{})
		}
		require.Equal(t, core.Version(8), w.finished.Version, "woken before step %d", woken)
		require.Equal(t, 3, w.finished.Coverage.Answered)
		require.Empty(t, w.finished.Coverage.Missing)
		if w.finished.Dropped > 0 {
			whole++
		}
		for _, event := range late {
			w.step(event)
		}
	}
	require.Positive(t, whole, "no late reply met an open question")
}
