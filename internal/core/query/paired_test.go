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
// answer must be whole and all of it from 8, whether 7 was asked for or not.
func TestAWokenOwnersFormerVersionNeverMixes(t *testing.T) {
	const moments = 8
	dropped := 0
	for _, preferred := range []core.Version{0, 7} {
		for first := range moments {
			for second := first + 1; second <= moments; second++ {
				dropped += wokenOwner(t, preferred, first, second).Dropped
			}
		}
	}
	require.Positive(t, dropped, "no late reply met an open question")
}

// wokenOwner delivers the woken owner's two replies as the given events after
// the next node was asked, or once the answer is there.
func wokenOwner(t *testing.T, preferred core.Version, moments ...int) Answer {
	options := testOptions()
	options.FallbackAfter, options.Preferred = 50*time.Millisecond, preferred
	w := newWorld(t, twoServicePlan(), options, 7)
	w.step(Started{})
	late := []Event{w.part(w.take(0), false), w.part(w.take(0), true)}
	for ref := range w.serves {
		w.serves[ref] = []core.Version{8}
	}
	w.now = w.wake
	w.step(Woken{})
	require.Equal(t, 1, w.pending[0].send.Rank, "the next node is asked")
	for event := 0; w.finished == nil; event++ {
		switch {
		case len(moments) > 0 && moments[0] == event:
			w.step(late[0])
			late, moments = late[1:], moments[1:]
		case len(w.pending) > 0:
			w.step(w.part(w.take(0), false))
		default:
			w.now = w.wake
			w.step(Woken{})
		}
	}
	for _, reply := range late {
		w.step(reply)
	}
	require.Equal(t, core.Version(8), w.finished.Version)
	require.Equal(t, 3, w.finished.Coverage.Answered, "missing: %v", w.finished.Coverage.Missing)
	return *w.finished
}
