package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Guards against mixing versions after an owner's pause. The owner of a query pauses while the
// index moves from 7 to 8, and the next node answers at 8. Then the owner resumes and its replies,
// computed from 7 before the pause, arrive between any two of the others. The answer must be
// complete and only from 8, whether 7 was requested or not.
func TestAWokenOwnersFormerVersionNeverMixes(t *testing.T) {
	const events = 8
	dropped := 0
	for _, preferred := range []core.Version{0, 7} {
		for first := range events {
			for second := first + 1; second <= events; second++ {
				dropped += resumedOwner(t, preferred, first, second).Dropped
			}
		}
	}
	require.Positive(t, dropped, "no late reply arrived before the query ended")
}

// resumedOwner delivers the resumed owner's two replies before the given events, counted from the
// request to the next node, or once the answer is returned.
func resumedOwner(t *testing.T, preferred core.Version, before ...int) Answer {
	options := testOptions()
	options.FallbackAfter, options.Preferred = 50*time.Millisecond, preferred
	h := newHarness(t, twoServicePlan(), options, 7)
	h.step(Started{})
	late := []Event{h.honestReply(h.take(0), false), h.honestReply(h.take(0), true)}
	for ref := range h.serves {
		h.serves[ref] = []core.Version{8}
	}
	h.now = h.wake
	h.step(Woken{})
	require.Equal(t, 1, h.pending[0].send.Rank, "the next node is asked")
	for event := 0; h.finished == nil; event++ {
		switch {
		case len(before) > 0 && before[0] == event:
			h.step(late[0])
			late, before = late[1:], before[1:]
		case len(h.pending) > 0:
			h.step(h.honestReply(h.take(0), false))
		default:
			h.now = h.wake
			h.step(Woken{})
		}
	}
	for _, reply := range late {
		h.step(reply)
	}
	require.Equal(t, core.Version(8), h.finished.Version)
	require.Equal(t, 3, h.finished.Coverage.Answered, "missing: %v", h.finished.Coverage.Missing)
	return *h.finished
}
