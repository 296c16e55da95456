package ring

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// A goroutine queues a follow-up event for itself while callers have filled its ring.
// If it waited for room, the only goroutine that makes room would block, and the node
// would accept requests but answer none. The event must arrive after the queued ones.
func TestTheReaderOfAFullRingCanPutWithoutBlocking(t *testing.T) {
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
