package replicaconn_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// ends collects what a client tells of replicas that ended: the ids of the requests in work.
func ends(client *replicaconn.Client) <-chan []string {
	told := make(chan []string, 16)
	client.OnEnded(func(_ replica.Incarnation, inWork []*replicaconn.Request) {
		var ids []string
		for _, one := range inWork {
			ids = append(ids, one.ID)
		}
		told <- ids
	})
	return told
}

// A replica that ends under a request must be told from one whose answer was lost: the first is a reason to
// doubt the request, the second is none.
func TestAReplicaThatEndsIsToldFromALostAnswer(t *testing.T) {
	client, one := start(t)
	told := ends(client)
	one.SetBehaviour(func(seen platformtest.ReceivedRequest) platformtest.Behaviour {
		switch seen.ID {
		case "first":
			return platformtest.Answer
		case "lost":
			return platformtest.CloseWithoutAnswer
		default:
			return platformtest.Crash
		}
	})
	// A replica that ends a new connection without any answer is left alone for a moment.
	_, err := do(t, client, request(one, "first"))
	require.NoError(t, err)
	_, err = do(t, client, request(one, "lost"))
	var failed *replicaconn.Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Broken)
	_, err = do(t, client, request(one, "deadly"))
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Broken)
	require.Equal(t, []string{"deadly"}, <-told, "nothing was told of the lost answer before")
}

// A request was answered by another replica and nobody waits for this one any more, which then ends under it.
func TestAReplicaThatEndsUnderAnAbandonedRequestIsSeen(t *testing.T) {
	client, one := start(t)
	told := ends(client)
	begun, proceed := make(chan struct{}), make(chan struct{})
	one.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour {
		close(begun)
		<-proceed
		return platformtest.Crash
	})
	abandon(t, client, request(one, "deadly"), begun)
	close(proceed)
	require.Equal(t, []string{"deadly"}, <-told)
}

// abandon sends a request and gives it up once the replica has begun it.
func abandon(t *testing.T, client *replicaconn.Client, one *replicaconn.Request, begun <-chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	_, err := client.Do(ctx, one)
	require.Error(t, err)
}
