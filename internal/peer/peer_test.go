package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

const awaitLimit = 10 * time.Second

func newAuthority(t *testing.T) *keys.Authority {
	t.Helper()
	authority, err := keys.NewAuthority(time.Now(), time.Hour)
	require.NoError(t, err)
	return authority
}

func startServer(t *testing.T, authority *keys.Authority, id core.NodeID, handler Handler) *Server {
	t.Helper()
	pair, err := authority.Issue(string(id), time.Now(), time.Hour)
	require.NoError(t, err)
	config, err := keys.TLSConfig(authority.Certificate, pair)
	require.NoError(t, err)
	server, err := Listen("127.0.0.1:0", config, Identity{Node: id, Incarnation: 1}, handler)
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return server
}

func startPool(t *testing.T, authority *keys.Authority, id core.NodeID) *Pool {
	t.Helper()
	pair, err := authority.Issue(string(id), time.Now(), time.Hour)
	require.NoError(t, err)
	config, err := keys.TLSConfig(authority.Certificate, pair)
	require.NoError(t, err)
	pool, err := NewPool(config, Identity{Node: id, Incarnation: 1}, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = pool.Close() })
	return pool
}

type received struct {
	reply   *peerpb.Envelope
	failure *LinkError
}

func sendHeartbeat(pool *Pool, target Target) (<-chan received, Canceller) {
	replies := make(chan received, 8)
	canceller := pool.Send(target, &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{Node: "a"}}},
		func(reply *peerpb.Envelope, failure *LinkError) { replies <- received{reply, failure} })
	return replies, canceller
}

func await(t *testing.T, replies <-chan received) received {
	t.Helper()
	select {
	case got := <-replies:
		return got
	case <-time.After(awaitLimit):
		require.Fail(t, "no reply")
		return received{}
	}
}

func echo(inbound *Inbound) {
	inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: inbound.Envelope.GetHeartbeat()}}, true)
}

func TestAskIsAnswered(t *testing.T) {
	authority := newAuthority(t)
	server := startServer(t, authority, "b", HandlerFunc(echo))
	replies, _ := sendHeartbeat(startPool(t, authority, "a"), Target{Node: "b", Address: server.Address()})
	got := await(t, replies)
	require.Nil(t, got.failure)
	require.Equal(t, "a", got.reply.GetHeartbeat().GetNode())
	require.True(t, got.reply.GetLast())
}

func TestWrongAuthorityIsNotRun(t *testing.T) {
	server := startServer(t, newAuthority(t), "b", HandlerFunc(echo))
	replies, _ := sendHeartbeat(startPool(t, newAuthority(t), "a"), Target{Node: "b", Address: server.Address()})
	got := await(t, replies)
	require.NotNil(t, got.failure)
	require.Equal(t, core.NotRun, got.failure.Outcome)
	require.ErrorContains(t, got.failure, "certificate")
}

func TestCancelReachesTheHandler(t *testing.T) {
	authority := newAuthority(t)
	began := make(chan context.Context, 1)
	server := startServer(t, authority, "b", HandlerFunc(func(inbound *Inbound) { began <- inbound.Context }))
	_, canceller := sendHeartbeat(startPool(t, authority, "a"), Target{Node: "b", Address: server.Address()})
	ctx := <-began
	canceller.Cancel()
	select {
	case <-ctx.Done():
	case <-time.After(awaitLimit):
		require.Fail(t, "the context of the request was not cancelled")
	}
}

// Guards against reporting a request as not run when the peer's process dies after
// the message was written. It may have run, so that the outcome must be unknown.
func TestLostPeerIsUnknownOnceWritten(t *testing.T) {
	authority := newAuthority(t)
	began := make(chan struct{}, 1)
	server := startServer(t, authority, "b", HandlerFunc(func(*Inbound) { began <- struct{}{} }))
	replies, _ := sendHeartbeat(startPool(t, authority, "a"), Target{Node: "b", Address: server.Address()})
	<-began
	require.NoError(t, server.Close())
	got := await(t, replies)
	require.NotNil(t, got.failure)
	require.Equal(t, core.Unknown, got.failure.Outcome)
}

// Guards against losing replies in a planned stop: they are queued but not yet
// sent when the server closes its connections. The entry must receive them, or
// the outcome of an executed request would be unknown.
func TestAFinishedServerDeliversItsLastReplies(t *testing.T) {
	const requests = 64
	const payloadBytes = 64 << 10
	authority := newAuthority(t)
	inbounds := make(chan *Inbound, requests)
	server := startServer(t, authority, "b", HandlerFunc(func(inbound *Inbound) { inbounds <- inbound }))
	pool := startPool(t, authority, "a")
	replies := make(chan received, requests)
	for range requests {
		pool.Send(Target{Node: "b", Address: server.Address()}, &peerpb.Envelope{Body: &peerpb.Envelope_SubmitRequest{SubmitRequest: &peerpb.SubmitRequest{}}},
			func(reply *peerpb.Envelope, failure *LinkError) { replies <- received{reply, failure} })
	}
	var open []*Inbound
	for range requests {
		open = append(open, <-inbounds)
	}
	for _, inbound := range open {
		inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_SubmitReply{SubmitReply: &peerpb.SubmitReply{Payload: make([]byte, payloadBytes)}}}, true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
	defer cancel()
	server.FlushReplies(ctx)
	require.NoError(t, ctx.Err())
	require.NoError(t, server.Close())
	for range requests {
		require.Nil(t, await(t, replies).failure)
	}
}

// Guards against the accumulation of unused links: when a fleet starts, every node connects to
// the few nodes that it knows. Links that are not used again must close at both ends, or those few
// would hold a link from every node.
func TestAnIdleLinkClosesAtBothEnds(t *testing.T) {
	authority := newAuthority(t)
	server := startServer(t, authority, "a", HandlerFunc(echo))
	pool := startPool(t, authority, "b")
	pool.SetLinkIdleTimeout(time.Millisecond)
	target := Target{Node: "a", Address: server.Address()}
	for range 2 {
		replies, _ := sendHeartbeat(pool, target)
		require.Nil(t, await(t, replies).failure)
		require.Eventually(t, func() bool { return pool.LinkCount() == 0 && server.LinkCount() == 0 }, awaitLimit, time.Millisecond)
	}
}
