package replicaconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// cappedReplica accepts a number of connections and resets those beyond it. It counts the requests that it reads.
type cappedReplica struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	resets   atomic.Int64
	requests atomic.Int64
	answers  chan struct{}
	// accepts, when set, must be closed before a connection is accepted.
	accepts chan struct{}
}

func startCapped(t *testing.T, limit int64) *cappedReplica {
	t.Helper()
	return startCappedAfter(t, limit, nil)
}

// startCappedAfter is startCapped for a replica that accepts nothing before a channel is closed.
func startCappedAfter(t *testing.T, limit int64, accepts chan struct{}) *cappedReplica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &cappedReplica{Listener: listener, limit: limit, answers: make(chan struct{}), accepts: accepts}
	t.Cleanup(func() { _ = listener.Close() })
	go r.serve()
	return r
}

func (r *cappedReplica) serve() {
	for {
		stream, err := r.Accept()
		if err != nil {
			return
		}
		if r.accepts != nil {
			<-r.accepts
		}
		if r.open.Load() >= r.limit {
			r.resets.Add(1)
			_ = stream.(*net.TCPConn).SetLinger(0)
			_ = stream.Close()
			continue
		}
		r.open.Add(1)
		go r.answer(stream)
	}
}

func (r *cappedReplica) answer(stream net.Conn) {
	defer func() {
		r.open.Add(-1)
		_ = stream.Close()
	}()
	reader := bufio.NewReader(stream)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		r.requests.Add(1)
		<-r.answers
		if _, err := stream.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

func (r *cappedReplica) request(connections int) *Request {
	return &Request{Replica: replica.Incarnation{ID: "i-1"}, Address: r.Addr().String(), MaxConnections: connections, Method: http.MethodGet, Target: "/", Host: "search.example"}
}

func newCappedClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient(plainWire{})
	t.Cleanup(client.Close)
	return client
}

// neverByTime makes connections count as accepted only once the replica has answered on them, so that a test does not depend
// on how soon a reset arrives.
func neverByTime(time.Duration) time.Duration { return time.Hour }

// A replica at its limit resets a new connection. A request that is written on it may have run as far as its caller knows;
// one that waits until the connection is accepted has not.
func TestARequestOnAConnectionOverTheCapIsProvenNotSent(t *testing.T) {
	capped := startCapped(t, 0)
	client := newCappedClient(t)
	client.acceptTime = neverByTime
	for _, once := range []bool{false, true} {
		request := capped.request(4)
		request.Once = once
		_, err := client.Do(t.Context(), request)
		var failed *Error
		require.ErrorAs(t, err, &failed)
		require.False(t, failed.Sent)
	}
	require.Zero(t, capped.requests.Load())
	require.Positive(t, client.ConnectionsNotAccepted())
}

// Requests that arrive together after a restart open one connection first; the replica that refuses it resets one, not
// one for each request.
func TestABurstAtAReplicaOverItsCapIsResetOnce(t *testing.T) {
	accepts := make(chan struct{})
	capped := startCappedAfter(t, 0, accepts)
	client := newCappedClient(t)
	client.acceptTime = neverByTime
	var done sync.WaitGroup
	for range 20 {
		done.Add(1)
		go func() {
			defer done.Done()
			_, err := client.Do(t.Context(), capped.request(10))
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.False(t, failed.Sent)
		}()
	}
	require.Eventually(t, func() bool { return client.WaitingRequests() == 19 }, 10*time.Second, time.Millisecond)
	close(accepts)
	done.Wait()
	require.Less(t, capped.resets.Load(), int64(5), "one, and one more for each pause that has passed")
}

// Once connections are accepted, all that the limit allows are opened, and no request is left waiting.
func TestConnectionsGrowToTheLimitByAcceptance(t *testing.T) {
	capped := startCapped(t, 100)
	client := newCappedClient(t)
	results := make(chan error, 20)
	for range 20 {
		go func() {
			_, err := client.Do(t.Context(), capped.request(8))
			results <- err
		}()
	}
	require.Eventually(t, func() bool { return capped.requests.Load() == 8 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 8, client.OpenConnections())
	close(capped.answers)
	for range 20 {
		require.NoError(t, <-results)
	}
}

// A node that callers are not sent to would otherwise hold a connection for each replica that it ever sent to: with many
// such nodes a replica is full of idle ones.
func TestIdleConnectionsAreNotKeptWhereNoneIsWanted(t *testing.T) {
	capped := startCapped(t, 100)
	close(capped.answers)
	client := newCappedClient(t)
	_, err := client.Do(t.Context(), capped.request(1))
	require.NoError(t, err)
	require.Equal(t, 1, client.OpenConnections())
	client.KeepIdle(false)
	require.Eventually(t, func() bool { return capped.open.Load() == 0 && client.OpenConnections() == 0 }, 10*time.Second, time.Millisecond)
	results := make(chan error, 5)
	for range 5 {
		go func() {
			_, err := client.Do(t.Context(), capped.request(1))
			results <- err
		}()
	}
	for range 5 {
		require.NoError(t, <-results)
	}
	require.Eventually(t, func() bool { return capped.open.Load() == 0 && client.OpenConnections() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, client.ConnectionsNotAccepted(), "what this node closes is no refusal")
}

// A request is withdrawn while its send is about to be written. Whatever the order, "not run" must never be said of a
// request that the replica has read.
func TestARevokedRequestIsNeverSent(t *testing.T) {
	capped := startCapped(t, 100)
	close(capped.answers)
	client := newCappedClient(t)
	revokedCount := 0
	for range 300 {
		before := capped.requests.Load()
		request := capped.request(4)
		request.Permit = &Permit{}
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() {
			_, err := client.Do(ctx, request)
			result <- err
		}()
		revoked := request.Permit.Revoke()
		err := <-result
		cancel()
		if !revoked {
			require.NoError(t, err)
			require.Equal(t, before+1, capped.requests.Load())
			continue
		}
		revokedCount++
		var failed *Error
		require.ErrorAs(t, err, &failed)
		require.False(t, failed.Sent)
		require.ErrorIs(t, err, ErrRevoked)
		require.Equal(t, before, capped.requests.Load())
		require.True(t, request.Permit.Revoke(), "it stays revoked")
	}
	require.Positive(t, revokedCount)
	_, err := client.Do(t.Context(), capped.request(4))
	require.NoError(t, err, "the connections of withdrawn requests are usable")
}

// A request waits for a connection when it is withdrawn: nothing of it may be sent once the connection is free.
func TestARequestRevokedWhileItWaitsForAConnectionIsNeverSent(t *testing.T) {
	capped := startCapped(t, 100)
	client := newCappedClient(t)
	first, second := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := client.Do(t.Context(), capped.request(1))
		first <- err
	}()
	require.Eventually(t, func() bool { return capped.requests.Load() == 1 }, 10*time.Second, time.Millisecond)
	request := capped.request(1)
	request.Permit = &Permit{}
	go func() {
		_, err := client.Do(t.Context(), request)
		second <- err
	}()
	require.Eventually(t, func() bool { return client.WaitingRequests() == 1 }, 10*time.Second, time.Millisecond)
	require.True(t, request.Permit.Revoke())
	close(capped.answers)
	require.NoError(t, <-first)
	require.ErrorIs(t, <-second, ErrRevoked)
	require.EqualValues(t, 1, capped.requests.Load())
}

// A VM was suspended: its idle connections look as if they had been used just now, though the replica dropped them. A
// request that must not be repeated would be lost on one.
func TestNoRequestUsesAConnectionFromBeforeASuspension(t *testing.T) {
	capped := startCapped(t, 100)
	close(capped.answers)
	client := newCappedClient(t)
	var suspended time.Duration
	client.suspend = newSuspendWatch(func() time.Duration { return suspended })
	request := capped.request(1)
	request.Once = true
	for range 2 {
		_, err := client.Do(t.Context(), request)
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, client.ConnectionsOpened())
	suspended = 3 * time.Second
	_, err := client.Do(t.Context(), request)
	require.NoError(t, err)
	require.EqualValues(t, 2, client.ConnectionsOpened())
	require.Equal(t, suspended, client.CloseIdleAfterSuspension())
	require.Zero(t, client.CloseIdleAfterSuspension())
}
