package latency

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestQuantileIsAtMostAnEighthTooHigh(t *testing.T) {
	require.LessOrEqual(t, unsafe.Sizeof(Histogram{}), uintptr(404))
	rapid.Check(t, func(t *rapid.T) {
		us := rapid.Int64Range(0, 100_000_000).Draw(t, "us")
		var h Histogram
		for range minSamples {
			h.Record(time.Duration(us) * time.Microsecond)
		}
		got, ok := h.Quantile(0.5)
		if exact := time.Duration(us) * time.Microsecond; !ok || got <= exact || got > exact+exact/8+time.Microsecond {
			t.Fatalf("quantile of %v is %v", exact, got)
		}
	})
}

// Guards against a quantile that does not follow a permanent increase of the latency within a few
// windows, so that every request would be hedged.
func TestQuantileFollowsALatencyChange(t *testing.T) {
	var h Histogram
	_, ok := h.Quantile(0.95)
	require.False(t, ok)
	for range 5 * halvingThreshold {
		h.Record(time.Millisecond)
	}
	for range 3 * halvingThreshold {
		h.Record(10 * time.Millisecond)
	}
	low, _ := h.Quantile(0.1)
	require.Greater(t, low, 2*time.Millisecond)
}
