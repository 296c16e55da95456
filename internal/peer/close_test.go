package peer

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// Guards against a link that is opened while or after Close waits for the links: it would outlive the pool.
func TestAClosedPoolOpensNoLink(t *testing.T) {
	const pools, senders, sends = 20, 4, 10
	authority := newAuthority(t)
	for range pools {
		pool := startPool(t, authority, "a")
		var sending sync.WaitGroup
		for sender := range senders {
			sending.Go(func() {
				for i := range sends {
					target := Target{Node: "b", Address: fmt.Sprintf("127.0.0.1:%d", 1+sender*sends+i)}
					pool.Send(target, &peerpb.Envelope{}, func(*peerpb.Envelope, *LinkError) {})
				}
			})
		}
		require.NoError(t, pool.Close())
		sending.Wait()
		replies, canceller := sendHeartbeat(pool, Target{Node: "b", Address: "127.0.0.1:1"})
		require.Len(t, replies, 1, "the request fails at once")
		failure := (<-replies).failure
		require.Equal(t, core.NotRun, failure.Outcome)
		require.ErrorIs(t, failure, errPoolClosed)
		require.Zero(t, pool.LinkCount())
		canceller.Cancel()
	}
}
