package replicaconn_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// Guards against a replica that ends because this node sends it more long bodies at once than it can hold. One that is
// given up counts until the replica can no longer hold it.
func TestAReplicaHoldsOneLongBodyAtATime(t *testing.T) {
	const serviceTime = 20 * time.Millisecond
	client, replica := start(t)
	replica.SetServiceTime(serviceTime)
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() {
			long := request(replica, fmt.Sprint("r", i))
			long.Method, long.MaxConnections, long.MaxBodyBytes = http.MethodPost, 8, 300<<10
			long.Body = make([]byte, 256<<10)
			response, err := client.DoBounded(t.Context(), long)
			if err != nil || response.Status != http.StatusOK {
				t.Errorf("request %d: %v", i, err)
			}
		})
	}
	running.Wait()
	arrivals := replica.Arrivals()
	slices.SortFunc(arrivals, func(a, b platformtest.ReceivedRequest) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	require.Len(t, arrivals, 8)
	for i := 1; i < len(arrivals); i++ {
		require.GreaterOrEqual(t, arrivals[i].At.Sub(arrivals[i-1].At), serviceTime, "the former one was still held")
	}
	total, most := client.BodyBytes()
	require.Zero(t, total)
	require.Zero(t, most)
}

// The replica ends, or the request is given up: the bytes are given back, and what waits goes on or leaves.
func TestBodyBytesAreGivenBackAfterAFailure(t *testing.T) {
	client, replica := start(t)
	long := request(replica, "r1")
	long.Method, long.MaxBodyBytes, long.Body = http.MethodPost, 300<<10, make([]byte, 256<<10)
	replica.SetBehaviour(always(platformtest.Hang))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := client.DoBounded(ctx, long)
	require.Error(t, err)
	total, _ := client.BodyBytes()
	require.Equal(t, int64(256<<10), total, "the replica may still hold it")
	require.Eventually(t, func() bool { total, _ := client.BodyBytes(); return total == 0 }, 10*time.Second, time.Millisecond)
	replica.SetBehaviour(always(platformtest.CloseWithoutAnswer))
	second := *long
	second.ID = "r2"
	_, err = client.DoBounded(t.Context(), &second)
	require.Error(t, err)
	total, _ = client.BodyBytes()
	require.Zero(t, total)
	require.Zero(t, client.WaitingBodies())
}
