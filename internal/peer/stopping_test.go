package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Guards against a stopping node that accepts links and ends each at once: its peers open them anew until the process
// ends, each over a socket of its own, and take it for failed.
func TestAStoppingServerTakesNoNewLinks(t *testing.T) {
	authority := newAuthority(t)
	began := make(chan struct{}, 1)
	var held atomic.Int64
	server := startServer(t, authority, "b", HandlerFunc(func(*Inbound) {
		held.Add(1)
		began <- struct{}{}
	}))
	pool := startPool(t, authority, "a")
	lost := make(chan LinkEvent, 8)
	pool.OnLink(func(event LinkEvent) {
		if event.State == LinkLost {
			lost <- event
		}
	})
	target := Target{Node: "b", Address: server.Address()}
	replies, _ := sendHeartbeat(pool, target)
	<-began
	ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
	defer cancel()
	server.FlushReplies(ctx)
	require.NoError(t, ctx.Err(), "the peer closes its end")
	require.ErrorIs(t, await(t, replies).failure, errStopping)
	require.Empty(t, lost, "an orderly end is no failure")

	const attempts = 5
	for range attempts {
		replies, _ := sendHeartbeat(pool, target)
		failure := await(t, replies).failure
		require.NotNil(t, failure)
		require.Equal(t, core.NotRun, failure.Outcome)
	}
	require.EqualValues(t, 1, held.Load(), "no later request arrived")
	require.Eventually(t, func() bool { return pool.LinkCount() == 0 }, awaitLimit, time.Millisecond)
}
