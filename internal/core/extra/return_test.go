package extra

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a bound that sends without a place use up: it counts arrivals.
func TestAnExtraArrivalThatWasNotSentIsReturned(t *testing.T) {
	b := New(Bound{Window: 10 * time.Second, Allowance: 2})
	require.True(t, b.Take("s", 0))
	require.True(t, b.Take("s", 6*time.Second))
	require.False(t, b.Take("s", 7*time.Second))
	b.Return("s", 7*time.Second)
	require.True(t, b.Take("s", 7*time.Second))
	for range 9 {
		b.Return("s", 7*time.Second)
	}
	require.Zero(t, b.UsedFraction("s", 7*time.Second), "never more than was taken")
}
