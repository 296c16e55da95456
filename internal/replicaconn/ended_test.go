package replicaconn_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// ends collects the ids of the requests in flight that a client reports with each replica that ended.
func ends(client *replicaconn.Client) <-chan []string {
	notified := make(chan []string, 16)
	client.OnReplicaEnded(func(end replicaconn.End) {
		var ids []string
		for _, req := range end.InFlight {
			ids = append(ids, req.ID)
		}
		notified <- ids
	})
	return notified
}

// A replica that ends during a request must be distinguished from a lost answer: the first makes the request a
// suspect, the second does not.
func TestAReplicaThatEndsIsToldFromALostAnswer(t *testing.T) {
	client, server := start(t)
	notified := ends(client)
	server.SetBehaviour(func(seen platformtest.ReceivedRequest) platformtest.Behaviour {
		switch seen.ID {
		case "first":
			return platformtest.Answer
		case "lost":
			return platformtest.CloseWithoutAnswer
		default:
			return platformtest.Crash
		}
	})
	// An answered request first: no connection is opened for a while after one that ended without any answer.
	_, err := do(t, client, request(server, "first"))
	require.NoError(t, err)
	_, err = do(t, client, request(server, "lost"))
	var failed *replicaconn.Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Broken)
	_, err = do(t, client, request(server, "deadly"))
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Broken)
	require.Equal(t, []string{"deadly"}, <-notified, "the lost answer must not be reported")
}

// The replica ends during a request that is no longer awaited, as another replica has answered it.
func TestAReplicaThatEndsUnderAnAbandonedRequestIsSeen(t *testing.T) {
	client, server := start(t)
	notified := ends(client)
	begun, proceed := make(chan struct{}), make(chan struct{})
	server.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour {
		close(begun)
		<-proceed
		return platformtest.Crash
	})
	abandon(t, client, request(server, "deadly"), begun)
	close(proceed)
	require.Equal(t, []string{"deadly"}, <-notified)
}

// abandon sends a request and cancels it once the replica has begun it.
func abandon(t *testing.T, client *replicaconn.Client, req *replicaconn.Request, begun <-chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	_, err := client.Do(ctx, req)
	require.Error(t, err)
}
