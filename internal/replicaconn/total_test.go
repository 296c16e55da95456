package replicaconn_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/replicaconn"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// Guards against connections to many replicas that take all descriptors of the process.
func TestConnectionsToAllReplicasAreBounded(t *testing.T) {
	client, a := start(t)
	b, err := platformtest.StartReplica("i-2", "notes", nil)
	require.NoError(t, err)
	t.Cleanup(b.Close)
	client.SetMaxOpen(1)
	first, second := request(a, "r1"), request(b, "r2")
	_, err = client.Do(t.Context(), first)
	require.NoError(t, err)
	_, err = client.Do(t.Context(), second)
	require.NoError(t, err, "an idle connection gives way")
	require.Eventually(t, func() bool { return client.OpenConnections() == 1 }, 20*time.Second, time.Millisecond)

	b.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.Hang })
	ctx, cancel := context.WithCancel(t.Context())
	hanging := make(chan error)
	go func() {
		_, err := client.Do(ctx, request(b, "r3"))
		hanging <- err
	}()
	require.Eventually(t, func() bool { return len(b.Arrivals()) == 2 }, 20*time.Second, time.Millisecond)
	_, err = client.Do(t.Context(), request(a, "r4"))
	var failed *replicaconn.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
	cancel()
	require.Error(t, <-hanging)
}
