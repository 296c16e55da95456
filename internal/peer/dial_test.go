package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/keys"
)

// BenchmarkHeartbeatPath compares a request on an open link with one that first
// opens its link: the cost of probing fixed neighbours and of probing changing ones.
func BenchmarkHeartbeatPath(b *testing.B) {
	authority, err := keys.NewAuthority(time.Now(), time.Hour)
	require.NoError(b, err)
	pair, err := authority.Issue("b", time.Now(), time.Hour)
	require.NoError(b, err)
	config, err := keys.TLSConfig(authority.Certificate, pair)
	require.NoError(b, err)
	server, err := Listen("127.0.0.1:0", config, Identity{Node: "b", Incarnation: 1}, HandlerFunc(echo))
	require.NoError(b, err)
	defer func() { _ = server.Close() }()
	target := Target{Node: "b", Address: server.Address()}
	once := func(pool *Pool) {
		replies, _ := sendHeartbeat(pool, target)
		if got := <-replies; got.failure != nil {
			b.Fatal(got.failure)
		}
	}
	b.Run("open link", func(b *testing.B) {
		pool, err := NewPool(config, Identity{Node: "b", Incarnation: 1}, nil)
		require.NoError(b, err)
		defer func() { _ = pool.Close() }()
		target.Node = "other"
		for b.Loop() {
			once(pool)
		}
	})
	b.Run("new link", func(b *testing.B) {
		target.Node = "other"
		for b.Loop() {
			pool, err := NewPool(config, Identity{Node: "b", Incarnation: 1}, nil)
			require.NoError(b, err)
			once(pool)
			_ = pool.Close()
		}
	})
}
