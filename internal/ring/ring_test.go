package ring

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// A duty queues a follow-up event for itself while callers have filled its ring.
// Waiting for room would stop the only goroutine that makes room: the node would
// take requests and answer none. The event must come once others were read.
func TestAReaderOfAFullRingCanPutForItself(t *testing.T) {
	r := New[int](2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	require.True(t, r.TryPut(1))
	require.True(t, r.TryPut(2))
	r.PutAsync(ctx, 3)
	for want := 1; want <= 3; want++ {
		require.Equal(t, want, <-r.Items())
	}
	require.Equal(t, Stats{Capacity: 2}, r.Stats())
}
