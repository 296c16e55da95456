package concurrency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that does not follow the capacity of an upstream that queues instead of
// shedding, which shows overload by latency only. A capacity below the configured slots is not
// detected: the latency at that concurrency is taken as normal.
func TestLimitConvergesToCapacity(t *testing.T) {
	const slots = 2
	for _, capacity := range []float64{1, slots, 4, 12} {
		l := Limiter{limit: 1}
		l.SetBounds(slots, 20)
		for range 300 * limitWindow {
			l.RecordSent(l.Slots())
			l.RecordAnswer(time.Duration(10 * float64(time.Millisecond) * max(1, float64(l.Slots())/capacity)))
		}
		require.InDelta(t, latencyTolerance*max(slots, capacity), l.limit, 1+capacity/4, "capacity %v", capacity)
	}
}

// Guards against lowering the limit for one refusal at the configured slots. At full load a replica
// sheds what arrives between its answer and the release of its slot. The owner then served the replica
// at half its slots for 256 answers, and answers lacked parts for seconds. A second refusal in the
// window lowers the limit.
func TestOneRefusalAtTheConfiguredSlotsDoesNotLowerTheLimit(t *testing.T) {
	limit := Limiter{limit: 2, configuredSlots: 2, maxLimit: 8}
	require.False(t, limit.RecordShed(2))
	require.Equal(t, 2, limit.Slots())
	require.True(t, limit.RecordShed(2))
	require.Equal(t, 1, limit.Slots())
	aboveSlots := Limiter{limit: 4, configuredSlots: 2, maxLimit: 8}
	require.True(t, aboveSlots.RecordShed(4), "above the configured slots the first refusal lowers the limit")
	require.Equal(t, 2, aboveSlots.Slots())
}
