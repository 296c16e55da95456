package peer

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/keys"
)

// Guards against running a captured and replayed request a second time, which 0-RTT
// data allows before the handshake. A peer that resumes a session and tries 0-RTT
// must be served only after the full handshake.
func TestNoRequestTravelsAsZeroRTTData(t *testing.T) {
	authority := newAuthority(t)
	server := startServer(t, authority, "b", HandlerFunc(func(*Inbound) {}))
	pair, err := authority.Issue("a", time.Now(), time.Hour)
	require.NoError(t, err)
	config, err := keys.TLSConfig(authority.Certificate, pair)
	require.NoError(t, err)
	cache := &ticketCache{ClientSessionCache: tls.NewLRUClientSessionCache(1), stored: make(chan struct{}, 8)}
	config.ClientSessionCache = cache
	ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
	defer cancel()
	first, err := quic.DialAddr(ctx, server.Address(), config, quicConfig())
	require.NoError(t, err)
	select {
	case <-cache.stored:
	case <-ctx.Done():
		t.Fatal("the server issued no session ticket, so that the test cannot try 0-RTT")
	}
	require.NoError(t, first.CloseWithError(codeClosing, "closing"))
	second, err := quic.DialAddrEarly(ctx, server.Address(), config, quicConfig())
	require.NoError(t, err)
	select {
	case <-second.HandshakeComplete():
	case <-ctx.Done():
		t.Fatal("the handshake did not complete")
	}
	require.True(t, second.ConnectionState().TLS.DidResume)
	require.False(t, second.ConnectionState().Used0RTT)
	require.NoError(t, second.CloseWithError(codeClosing, "closing"))
}

// ticketCache signals when a session ticket is stored.
type ticketCache struct {
	tls.ClientSessionCache
	stored chan struct{}
}

// Put implements tls.ClientSessionCache.
func (c *ticketCache) Put(key string, state *tls.ClientSessionState) {
	c.ClientSessionCache.Put(key, state)
	if state != nil {
		c.stored <- struct{}{}
	}
}
