package replicaconn_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

func start(t *testing.T) (*replicaconn.Client, *platformtest.Replica) {
	t.Helper()
	return startWith(t, strings.Repeat("0123456789abcdef", 4))
}

// startWith starts a replica whose answers have the given body.
func startWith(t *testing.T, body string) (*replicaconn.Client, *platformtest.Replica) {
	t.Helper()
	replica, err := platformtest.StartReplica("i-1", "prices", []byte(body))
	require.NoError(t, err)
	client := replicaconn.NewClient(platform.Wire{})
	t.Cleanup(func() {
		client.Close()
		replica.Close()
	})
	return client, replica
}

func request(r *platformtest.Replica, id string) *replicaconn.Request {
	return &replicaconn.Request{
		Replica: replica.Incarnation{ID: r.ID}, Address: r.Address(), MaxConnections: 1, Method: http.MethodGet, Target: "/a%2fb?q=1", Host: "search.example",
		Header: http.Header{"Pistachiopier-Request-Id": {id}, "Accept": {"*/*"}}, ID: id,
	}
}

func do(t *testing.T, client *replicaconn.Client, one *replicaconn.Request) (*replicaconn.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return client.Do(ctx, one)
}

func always(act platformtest.Behaviour) func(platformtest.ReceivedRequest) platformtest.Behaviour {
	return func(platformtest.ReceivedRequest) platformtest.Behaviour { return act }
}

func TestRequestsShareAConnectionAndArriveUnchanged(t *testing.T) {
	client, replica := start(t)
	for _, id := range []string{"r1", "r2", "r3"} {
		response, err := do(t, client, request(replica, id))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.Status)
		require.Len(t, response.Body, 64)
	}
	require.EqualValues(t, 1, client.Opened())
	seen := replica.Arrivals()[0]
	require.Equal(t, "/a%2fb?q=1", seen.Target)
	require.Equal(t, "i-1", seen.Header.Get("Pistachiopier-Target-Instance"))
	require.Greater(t, seen.RemainingTime, 5*time.Second)
}

// A replica breaks an answer off, spoils it, or resets the connection within an answer
// that has no length. A caller that took it for whole would show half a list.
func TestAnswersThatAreNotWholeAreErrors(t *testing.T) {
	for _, act := range []platformtest.Behaviour{platformtest.TruncateBody, platformtest.CloseDelimitedReset, platformtest.Garbage, platformtest.CloseWithoutAnswer} {
		client, replica := start(t)
		replica.SetBehaviour(always(act))
		_, err := do(t, client, request(replica, "r1"))
		var failed *replicaconn.Error
		require.ErrorAs(t, err, &failed, "act %d", act)
		require.True(t, failed.Sent, "it may have run")
		require.Len(t, replica.Arrivals(), 1, "nothing is sent again behind the back of the budget")
	}
}

func TestAnAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	client, replica := start(t)
	replica.SetBehaviour(always(platformtest.CloseDelimited))
	response, err := do(t, client, request(replica, "r1"))
	require.NoError(t, err)
	require.Len(t, response.Body, 64)
}

// A replica sends a second answer to one request. It lies in the connection where the
// next request's answer is expected, and the next caller would get another's answer.
func TestAnExtraAnswerIsNotTakenForTheNextOne(t *testing.T) {
	for _, act := range []platformtest.Behaviour{platformtest.DuplicateAnswer, platformtest.DelayedDuplicate} {
		client, replica := start(t)
		replica.SetBehaviour(always(act))
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			response, err := do(t, client, request(replica, id))
			if err != nil {
				continue
			}
			require.Equal(t, id, response.Header.Get("Pistachiopier-Request-Id"))
		}
	}
}

// The replica closes an idle connection. The next request must not meet it and count
// as sent: for an invoice that would mean "unknown".
func TestAClosedIdleConnectionIsNotUsed(t *testing.T) {
	client, replica := start(t)
	_, err := do(t, client, request(replica, "r1"))
	require.NoError(t, err)
	replica.Close()
	require.Eventually(t, func() bool { return client.Open() == 0 }, 10*time.Second, time.Millisecond)
	_, err = do(t, client, request(replica, "r2"))
	var failed *replicaconn.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent, "no connection was had, so it has not run")
}

// Two requests want the one connection that the node may hold. The second waits for it
// and is sent once, with the time that is then left.
func TestRequestsBeyondTheConnectionsWait(t *testing.T) {
	client, replica := start(t)
	replica.SetServiceTime(30 * time.Millisecond)
	errs := make(chan error, 3)
	for _, id := range []string{"r1", "r2", "r3"} {
		one := request(replica, id)
		go func() {
			_, err := client.Do(t.Context(), one)
			errs <- err
		}()
	}
	for range 3 {
		require.NoError(t, <-errs)
	}
	require.EqualValues(t, 1, client.Opened())
}

// Another replica answered first. The loser's answer comes a moment later: it keeps the
// connection usable and says that the replica is alive.
func TestALateAnswerIsToldAndItsConnectionKept(t *testing.T) {
	client, replica := start(t)
	replica.SetServiceTime(20 * time.Millisecond)
	late := make(chan *replicaconn.Response, 1)
	one := request(replica, "r1")
	one.Late = func(response *replicaconn.Response) { late <- response }
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for len(replica.Arrivals()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := client.Do(ctx, one)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, http.StatusOK, (<-late).Status)
	_, err = do(t, client, request(replica, "r2"))
	require.NoError(t, err)
	require.EqualValues(t, 1, client.Opened())
}

// A caller leaves while a replica hangs. The replica must be released: it drops the work
// when the connection closes.
func TestAHangingExchangeIsClosedAfterItsCallerLeft(t *testing.T) {
	client, replica := start(t)
	replica.SetBehaviour(always(platformtest.Hang))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, request(replica, "r1"))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Eventually(t, func() bool { return replica.Abandoned() == 1 }, 10*time.Second, time.Millisecond)
}

// A replica resets connections beyond its limit, which processes that lost power still
// fill. Each request would open another one, be reset and be sent again: 38,000 resets in
// ten seconds were seen. After a refusal nothing is opened for a moment, and a request
// that finds none open has truthfully not run.
func TestAReplicaThatEndsNewConnectionsIsLeftAlone(t *testing.T) {
	client, replica := start(t)
	replica.SetBehaviour(always(platformtest.CloseWithoutAnswer))
	refused := 0
	for range 200 {
		_, err := do(t, client, request(replica, "r"))
		var failed *replicaconn.Error
		require.ErrorAs(t, err, &failed)
		if !failed.Sent {
			refused++
		}
	}
	require.Equal(t, 200, refused+len(replica.Arrivals()))
	require.Less(t, len(replica.Arrivals()), 100)
}

// Requests wait for the one connection to a replica, which dies under the first of them. All
// must learn of it at once; one alone was told, and the others waited to their deadlines.
func TestAllWhoWaitLearnThatAReplicaIsGone(t *testing.T) {
	client, replica := start(t)
	replica.SetBehaviour(always(platformtest.Hang))
	errs := make(chan error, 4)
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		one := request(replica, id)
		go func() {
			_, err := client.Do(t.Context(), one)
			errs <- err
		}()
	}
	require.Eventually(t, func() bool { return client.Waiting() == 3 }, 10*time.Second, time.Millisecond)
	replica.Close()
	for range 4 {
		select {
		case err := <-errs:
			require.Error(t, err)
		case <-time.After(10 * time.Second):
			require.Fail(t, "a request still waits")
		}
	}
}

// A long answer is read in pieces. The next request must wait for its end: it would
// otherwise read the rest of it as its own answer.
func TestAConnectionIsFreeOnceALongAnswerIsRead(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 3<<20/16)
	client, replica := startWith(t, long)
	for _, id := range []string{"r1", "r2"} {
		one := request(replica, id)
		one.Stream = true
		response, err := do(t, client, one)
		require.NoError(t, err)
		require.NotNil(t, response.Rest)
		require.EqualValues(t, len(long), response.Length)
		rest, err := io.ReadAll(response.Rest)
		require.NoError(t, err)
		require.Equal(t, long, string(response.Body)+string(rest))
	}
	require.EqualValues(t, 1, client.Opened())
	_, err := do(t, client, request(replica, "r3"))
	require.NoError(t, err, "a request that does not stream takes up to 8 MB whole")
}

// A caller leaves in the middle of a long answer, or forgets its rest until the time of the
// request is over. The connection must not be used again, and must not stay open either.
func TestALongAnswerThatIsNotReadEndsItsConnection(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 8<<20/16)
	for _, forgotten := range []bool{false, true} {
		client, replica := startWith(t, long)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		one := request(replica, "r1")
		one.Stream = true
		response, err := client.Do(ctx, one)
		require.NoError(t, err)
		if !forgotten {
			require.NoError(t, response.Rest.Close())
		}
		require.Eventually(t, func() bool { return client.Open() == 0 }, 10*time.Second, time.Millisecond)
		_, err = io.ReadAll(response.Rest)
		require.Error(t, err)
	}
}

// A replica dies in the dark while it works and starts again under its id. Its old connections
// hang without a reset, and whoever waits on one would wait to the deadline for an answer that
// cannot come.
func TestNothingIsAwaitedFromAFormerLife(t *testing.T) {
	client, one := start(t)
	one.SetBehaviour(always(platformtest.Hang))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	former := request(one, "r-1")
	ended := make(chan error, 2)
	for range 2 {
		// The second waits for the only connection.
		go func() {
			_, err := client.Do(ctx, former)
			ended <- err
		}()
	}
	require.Eventually(t, func() bool { return len(one.Arrivals()) == 1 && client.Waiting() == 1 }, 10*time.Second, time.Millisecond)
	client.End(former.Replica)
	sent := 0
	for range 2 {
		var failed *replicaconn.Error
		require.ErrorAs(t, <-ended, &failed)
		if failed.Sent {
			sent++
		}
	}
	require.Equal(t, 1, sent, "the one that was sent may have run, the other did not leave")
	one.SetBehaviour(always(platformtest.Answer))
	again := request(one, "r-2")
	again.Replica.Born = 7
	response, err := client.Do(ctx, again)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.Status)
	_, err = client.Do(ctx, request(one, "r-3"))
	var failed *replicaconn.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}

// A request is given up and its connection closed by this node. That says nothing of whether the
// replica takes connections.
func TestWhatThisNodeGivesUpIsNoRefusal(t *testing.T) {
	client, one := start(t)
	one.SetBehaviour(always(platformtest.Hang))
	for i, id := range []string{"r1", "r2", "r3"} {
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan error, 1)
		go func() {
			_, err := client.Do(ctx, request(one, id))
			gone <- err
		}()
		require.Eventually(t, func() bool { return len(one.Arrivals()) == i+1 }, 10*time.Second, time.Millisecond)
		cancel()
		require.Error(t, <-gone)
		require.Eventually(t, func() bool { return client.Open() == 0 }, 10*time.Second, time.Millisecond)
	}
	one.SetBehaviour(always(platformtest.Answer))
	_, err := do(t, client, request(one, "r4"))
	require.NoError(t, err, "it is not refused for former ends")
}

// A replica begins to leave while requests wait for its only connection. Left to wait, they would reach
// it seconds later, when its operators count on it having no more work; nothing was sent, so that they
// can go elsewhere at once. What is in work goes on.
func TestWhoWaitsForAReplicaThatLeavesIsToldAtOnce(t *testing.T) {
	client, one := start(t)
	one.SetBehaviour(always(platformtest.Hang))
	ctx, leave := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, request(one, "r1"))
		first <- err
	}()
	require.Eventually(t, func() bool { return len(one.Arrivals()) == 1 }, 10*time.Second, time.Millisecond)
	waiting := make(chan error, 2)
	for _, id := range []string{"r2", "r3"} {
		go func() {
			_, err := client.Do(ctx, request(one, id))
			waiting <- err
		}()
	}
	require.Eventually(t, func() bool { return client.Waiting() == 2 }, 10*time.Second, time.Millisecond)
	client.Forget(func(replica.Incarnation) bool { return false })
	for range 2 {
		var failed *replicaconn.Error
		require.ErrorAs(t, <-waiting, &failed)
		require.False(t, failed.Sent)
	}
	require.Empty(t, first, "what is in work goes on")
	leave()
	require.ErrorIs(t, <-first, context.Canceled)
	require.Len(t, one.Arrivals(), 1)
}
