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

func ask(pool *Pool, target Target) (<-chan received, Canceller) {
	replies := make(chan received, 8)
	ticket := pool.Send(target, &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{Node: "a"}}},
		func(reply *peerpb.Envelope, failure *LinkError) { replies <- received{reply, failure} })
	return replies, ticket
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
	replies, _ := ask(startPool(t, authority, "a"), Target{Node: "b", Address: server.Address()})
	got := await(t, replies)
	require.Nil(t, got.failure)
	require.Equal(t, "a", got.reply.GetHeartbeat().GetNode())
	require.True(t, got.reply.GetLast())
}

func TestWrongAuthorityIsNotRun(t *testing.T) {
	server := startServer(t, newAuthority(t), "b", HandlerFunc(echo))
	replies, _ := ask(startPool(t, newAuthority(t), "a"), Target{Node: "b", Address: server.Address()})
	got := await(t, replies)
	require.NotNil(t, got.failure)
	require.Equal(t, core.NotRun, got.failure.Outcome)
	require.ErrorContains(t, got.failure, "certificate")
}

func TestCancelReachesTheHandler(t *testing.T) {
	authority := newAuthority(t)
	began := make(chan context.Context, 1)
	server := startServer(t, authority, "b", HandlerFunc(func(inbound *Inbound) { began <- inbound.Context }))
	_, ticket := ask(startPool(t, authority, "a"), Target{Node: "b", Address: server.Address()})
	ctx := <-began
	ticket.Cancel()
	select {
	case <-ctx.Done():
	case <-time.After(awaitLimit):
		require.Fail(t, "the handler was not told")
	}
}

// A submit is on its way when the peer's process dies. The message was written,
// so nobody can prove that it did not run: the outcome must be unknown.
func TestLostPeerIsUnknownOnceWritten(t *testing.T) {
	authority := newAuthority(t)
	began := make(chan struct{}, 1)
	server := startServer(t, authority, "b", HandlerFunc(func(*Inbound) { began <- struct{}{} }))
	replies, _ := ask(startPool(t, authority, "a"), Target{Node: "b", Address: server.Address()})
	<-began
	require.NoError(t, server.Close())
	got := await(t, replies)
	require.NotNil(t, got.failure)
	require.Equal(t, core.Unknown, got.failure.Outcome)
}

// A chef's invoice is recorded and its node stops as planned at that moment. The
// reply is queued, not yet on the wire, when the connections are closed; the
// entry must still get it, or the outcome would be unknown without need.
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

// When a fleet starts, every node turns to the few that it knows. Links that are not used
// again must go at both ends, or those few would hold one from every node.
func TestALinkThatIsNotUsedGoesAtBothEnds(t *testing.T) {
	authority := newAuthority(t)
	server := startServer(t, authority, "a", HandlerFunc(echo))
	pool := startPool(t, authority, "b")
	pool.SetLinkIdleTimeout(time.Millisecond)
	target := Target{Node: "a", Address: server.Address()}
	for range 2 {
		replies, _ := ask(pool, target)
		require.Nil(t, await(t, replies).failure)
		require.Eventually(t, func() bool { return pool.LinkCount() == 0 && server.LinkCount() == 0 }, awaitLimit, time.Millisecond)
	}
}
