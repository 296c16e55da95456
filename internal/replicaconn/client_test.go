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

func do(t *testing.T, client *replicaconn.Client, req *replicaconn.Request) (*replicaconn.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return client.Do(ctx, req)
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
	require.EqualValues(t, 1, client.ConnectionsOpened())
	seen := replica.Arrivals()[0]
	require.Equal(t, "/a%2fb?q=1", seen.Target)
	require.Equal(t, "i-1", seen.Header.Get("Pistachiopier-Target-Instance"))
	require.Greater(t, seen.RemainingTime, 5*time.Second)
}

// Guards against an answer that was cut short, garbled or reset without a length being taken
// for whole: the caller would show half a list.
func TestAnswersThatAreNotWholeAreErrors(t *testing.T) {
	for _, act := range []platformtest.Behaviour{platformtest.TruncateBody, platformtest.CloseDelimitedReset, platformtest.Garbage, platformtest.CloseWithoutAnswer} {
		client, replica := start(t)
		replica.SetBehaviour(always(act))
		_, err := do(t, client, request(replica, "r1"))
		var failed *replicaconn.Error
		require.ErrorAs(t, err, &failed, "act %d", act)
		require.True(t, failed.Sent, "the request may have run")
		require.Len(t, replica.Arrivals(), 1, "the client must not resend on its own: that would bypass the retry budget")
	}
}

func TestAnAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	client, replica := start(t)
	replica.SetBehaviour(always(platformtest.CloseDelimited))
	response, err := do(t, client, request(replica, "r1"))
	require.NoError(t, err)
	require.Len(t, response.Body, 64)
}

// A replica sends a second answer to one request. It arrives where the next request's answer is
// expected, and the next caller would get the answer to another request.
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

// The replica closes an idle connection. If the next request were sent on it, it would count as
// sent, and the outcome of a request that must not be repeated would be "unknown".
func TestAClosedIdleConnectionIsNotUsed(t *testing.T) {
	client, replica := start(t)
	_, err := do(t, client, request(replica, "r1"))
	require.NoError(t, err)
	replica.Close()
	require.Eventually(t, func() bool { return client.OpenConnections() == 0 }, 10*time.Second, time.Millisecond)
	_, err = do(t, client, request(replica, "r2"))
	var failed *replicaconn.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent, "without a connection the request has not run")
}

// Three requests need the one connection that the node may hold. The others wait for it, and
// each is sent once on the same connection.
func TestRequestsBeyondTheConnectionLimitWait(t *testing.T) {
	client, replica := start(t)
	replica.SetServiceTime(30 * time.Millisecond)
	errs := make(chan error, 3)
	for _, id := range []string{"r1", "r2", "r3"} {
		req := request(replica, id)
		go func() {
			_, err := client.Do(t.Context(), req)
			errs <- err
		}()
	}
	for range 3 {
		require.NoError(t, <-errs)
	}
	require.EqualValues(t, 1, client.ConnectionsOpened())
}

// The answer of the slower replica of a hedged request must still be received: it keeps the
// connection usable and shows that the replica is alive.
func TestALateAnswerIsReportedAndItsConnectionKept(t *testing.T) {
	client, replica := start(t)
	replica.SetServiceTime(20 * time.Millisecond)
	late := make(chan *replicaconn.Response, 1)
	req := request(replica, "r1")
	req.OnLate = func(response *replicaconn.Response) { late <- response }
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for len(replica.Arrivals()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := client.Do(ctx, req)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, http.StatusOK, (<-late).Status)
	_, err = do(t, client, request(replica, "r2"))
	require.NoError(t, err)
	require.EqualValues(t, 1, client.ConnectionsOpened())
}

// The request's context ends while the replica hangs. The connection must be closed, as only
// then does the replica stop the work.
func TestAHangingExchangeIsClosedAfterItsCallerLeft(t *testing.T) {
	client, replica := start(t)
	replica.SetBehaviour(always(platformtest.Hang))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, request(replica, "r1"))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Eventually(t, func() bool { return replica.Abandoned() == 1 }, 10*time.Second, time.Millisecond)
}

// A replica resets connections beyond its limit, while processes that lost power still hold its
// connections. Without a pause each request would open another one, be reset and be sent again:
// 38,000 resets in ten seconds were seen. During the pause nothing is opened, and a request that
// finds no open connection has not run.
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

// Requests wait for the one connection to a replica, which ends during the first of them. All must
// fail at once. A fault woke only one of them, and the others waited until their deadlines.
func TestAllWaitingRequestsFailWhenAReplicaEnds(t *testing.T) {
	client, replica := start(t)
	replica.SetBehaviour(always(platformtest.Hang))
	errs := make(chan error, 4)
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		req := request(replica, id)
		go func() {
			_, err := client.Do(t.Context(), req)
			errs <- err
		}()
	}
	require.Eventually(t, func() bool { return client.WaitingRequests() == 3 }, 10*time.Second, time.Millisecond)
	replica.Close()
	for range 4 {
		select {
		case err := <-errs:
			require.Error(t, err)
		case <-time.After(10 * time.Second):
			require.Fail(t, "a request is still waiting")
		}
	}
}

// A long answer is read in pieces. The next request must wait until it is read to its end;
// otherwise it would read the rest of it as its own answer.
func TestAConnectionIsFreeOnceALongAnswerIsRead(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 3<<20/16)
	client, replica := startWith(t, long)
	for _, id := range []string{"r1", "r2"} {
		req := request(replica, id)
		req.Stream = true
		response, err := do(t, client, req)
		require.NoError(t, err)
		require.NotNil(t, response.Rest)
		require.EqualValues(t, len(long), response.Length)
		rest, err := io.ReadAll(response.Rest)
		require.NoError(t, err)
		require.Equal(t, long, string(response.Body)+string(rest))
	}
	require.EqualValues(t, 1, client.ConnectionsOpened())
	_, err := do(t, client, request(replica, "r3"))
	require.NoError(t, err, "without Stream up to 8 MB are read into memory")
}

// restDeadline is a context whose deadline applies to the rest of an answer alone: the beginning is awaited longer.
type restDeadline struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c restDeadline) Deadline() (time.Time, bool) { return c.deadline, true }

// A caller leaves in the middle of a long answer, or does not read the rest before the deadline.
// The connection must be closed and not reused.
func TestALongAnswerThatIsNotReadEndsItsConnection(t *testing.T) {
	const awaitLimit = 10 * time.Second
	long := strings.Repeat("0123456789abcdef", 8<<20/16)
	for _, forgotten := range []bool{false, true} {
		client, replica := startWith(t, long)
		ctx := restDeadline{t.Context(), time.Now().Add(6 * awaitLimit)}
		if forgotten {
			ctx.deadline = time.Now().Add(300 * time.Millisecond)
		}
		req := request(replica, "r1")
		req.Stream = true
		response, err := client.Do(ctx, req)
		require.NoError(t, err)
		if !forgotten {
			require.NoError(t, response.Rest.Close())
		}
		require.Eventually(t, func() bool { return client.OpenConnections() == 0 }, awaitLimit, time.Millisecond)
		_, err = io.ReadAll(response.Rest)
		require.Error(t, err)
	}
}

// A replica loses power while it works and starts again under its id. Its old connections hang
// without a reset, and requests on them would wait until their deadlines for an answer that cannot
// come.
func TestNothingIsAwaitedFromAFormerLife(t *testing.T) {
	client, server := start(t)
	server.SetBehaviour(always(platformtest.Hang))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	former := request(server, "r-1")
	ended := make(chan error, 2)
	for range 2 {
		// The second waits for the only connection.
		go func() {
			_, err := client.Do(ctx, former)
			ended <- err
		}()
	}
	require.Eventually(t, func() bool { return len(server.Arrivals()) == 1 && client.WaitingRequests() == 1 }, 10*time.Second, time.Millisecond)
	client.CloseRestarted(former.Replica)
	sent := 0
	for range 2 {
		var failed *replicaconn.Error
		require.ErrorAs(t, <-ended, &failed)
		if failed.Sent {
			sent++
		}
	}
	require.Equal(t, 1, sent, "the one that was sent may have run, the other was not sent")
	server.SetBehaviour(always(platformtest.Answer))
	again := request(server, "r-2")
	again.Replica.Born = 7
	response, err := client.Do(ctx, again)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.Status)
	_, err = client.Do(ctx, request(server, "r-3"))
	var failed *replicaconn.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}

// This node gives up a request and closes its connection. That must not count as a refusal of
// connections by the replica.
func TestConnectionsClosedLocallyAreNoRefusals(t *testing.T) {
	client, server := start(t)
	server.SetBehaviour(always(platformtest.Hang))
	for i, id := range []string{"r1", "r2", "r3"} {
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan error, 1)
		go func() {
			_, err := client.Do(ctx, request(server, id))
			gone <- err
		}()
		require.Eventually(t, func() bool { return len(server.Arrivals()) == i+1 }, 10*time.Second, time.Millisecond)
		cancel()
		require.Error(t, <-gone)
		require.Eventually(t, func() bool { return client.OpenConnections() == 0 }, 10*time.Second, time.Millisecond)
	}
	server.SetBehaviour(always(platformtest.Answer))
	_, err := do(t, client, request(server, "r4"))
	require.NoError(t, err, "connections closed by this node must not cause a pause")
}

// A replica begins to drain while requests wait for its only connection. If they kept waiting, they
// would reach it seconds later, when its operators expect it to have no more work. Nothing was sent,
// so they must fail at once and can go to another replica. The request in flight goes on.
func TestWhoWaitsForAReplicaThatLeavesIsToldAtOnce(t *testing.T) {
	client, server := start(t)
	server.SetBehaviour(always(platformtest.Hang))
	ctx, leave := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, request(server, "r1"))
		first <- err
	}()
	require.Eventually(t, func() bool { return len(server.Arrivals()) == 1 }, 10*time.Second, time.Millisecond)
	waiting := make(chan error, 2)
	for _, id := range []string{"r2", "r3"} {
		go func() {
			_, err := client.Do(ctx, request(server, id))
			waiting <- err
		}()
	}
	require.Eventually(t, func() bool { return client.WaitingRequests() == 2 }, 10*time.Second, time.Millisecond)
	client.Retain(func(replica.Incarnation) bool { return false })
	for range 2 {
		var failed *replicaconn.Error
		require.ErrorAs(t, <-waiting, &failed)
		require.False(t, failed.Sent)
	}
	require.Empty(t, first, "the request in flight must go on")
	leave()
	require.ErrorIs(t, <-first, context.Canceled)
	require.Len(t, server.Arrivals(), 1)
}
