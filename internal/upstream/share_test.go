package upstream_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// countingReplica counts its connections. It holds requests with the id "held" until they are
// released, and answers the others at once.
type countingReplica struct {
	*httptest.Server
	open, accepted atomic.Int64
	arrived        chan struct{}
	release        chan struct{}
}

func startCounting(t *testing.T) *countingReplica {
	r := &countingReplica{arrived: make(chan struct{}), release: make(chan struct{})}
	r.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(upstream.HeaderRequestID)
		if id == "held" {
			r.arrived <- struct{}{}
			<-r.release
		}
		w.Header().Set(upstream.HeaderRequestID, id)
		_, _ = w.Write([]byte("{}"))
	}))
	r.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			r.open.Add(1)
			r.accepted.Add(1)
		case http.StateClosed:
			r.open.Add(-1)
		}
	}
	r.Start()
	t.Cleanup(r.Close)
	return r
}

func (r *countingReplica) call(id string, remaining time.Duration) upstream.Call {
	return upstream.Call{Address: r.Listener.Addr().String(), Ref: core.ShardRef{Service: "prices"}, RequestID: id, RemainingTime: remaining}
}

// hold starts requests that stay in flight until the returned function is called.
func (r *countingReplica) hold(t *testing.T, client *upstream.Client, count int) func() {
	var held sync.WaitGroup
	for range count {
		held.Go(func() {
			result := client.Do(context.Background(), r.call("held", time.Minute))
			if result.Outcome != core.Done {
				t.Errorf("a held request ended %v: %v", result.Outcome, result.Cause)
			}
		})
	}
	for range count {
		<-r.arrived
	}
	end := sync.OnceFunc(func() {
		close(r.release)
		held.Wait()
	})
	t.Cleanup(end)
	return end
}

const (
	longTimeout  = time.Minute
	shortTimeout = 100 * time.Millisecond
)

// Nodes join, and this node's share of a replica's connections shrinks from four to one while four
// requests run. If connections opened under the former share did not count, the replica would see
// a fifth one, beyond its limit together with those of the other nodes, and refuse work. The same
// holds if the replica is removed from the configuration and added again with the smaller share.
func TestASmallerShareCountsWhatStillRuns(t *testing.T) {
	for name, removed := range map[string]bool{"shrunk": false, "removed and added again": true} {
		t.Run(name, func(t *testing.T) {
			replica := startCounting(t)
			client := upstream.NewClient()
			t.Cleanup(client.Close)
			address := replica.Listener.Addr().String()
			client.SetConnectionShare(address, 4)
			end := replica.hold(t, client, 4)
			if removed {
				client.Remove(address)
			}
			client.SetConnectionShare(address, 1)
			waited := client.Do(context.Background(), replica.call("waits", shortTimeout))
			require.Equal(t, core.NotRun, waited.Outcome)
			require.Equal(t, core.ReasonDeadline, waited.Reason)
			require.False(t, waited.Refused, "the replica refused nothing")
			require.EqualValues(t, 4, replica.accepted.Load())
			end()
			for range 3 {
				require.Equal(t, core.Done, client.Do(context.Background(), replica.call("goes on", longTimeout)).Outcome)
			}
			require.Eventually(t, func() bool { return replica.open.Load() == 1 }, longTimeout, time.Millisecond, "one connection stays open")
		})
	}
}

// A replica allows fewer connections than there are nodes, and this node's share is 0. As net/http
// treats 0 as unlimited, the node could open one connection for each request.
func TestAShareOfNoneOpensNothing(t *testing.T) {
	replica := startCounting(t)
	client := upstream.NewClient()
	t.Cleanup(client.Close)
	address := replica.Listener.Addr().String()
	client.SetConnectionShare(address, 1)
	require.Equal(t, core.Done, client.Do(context.Background(), replica.call("first", longTimeout)).Outcome)
	client.SetConnectionShare(address, 0)
	require.Equal(t, core.NotRun, client.Do(context.Background(), replica.call("second", longTimeout)).Outcome)
	require.EqualValues(t, 1, replica.accepted.Load())
	client.SetConnectionShare(address, 2)
	require.Equal(t, core.Done, client.Do(context.Background(), replica.call("third", longTimeout)).Outcome)
}
