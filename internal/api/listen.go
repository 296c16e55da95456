package api

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connectionLimitReply is sent on a connection over the limit, so that the caller knows
// immediately that nothing ran here and can use another entry.
const connectionLimitReply = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" +
	`{"outcome":"not_run","code":"overloaded","message":"the node has reached its connection limit","fix":"use another entry, or raise limits.connections","retry_after_ms":1000}`

const connectionLimitReplyTimeout = 100 * time.Millisecond

// LimitedListener limits the number of open connections and refuses further ones
// with a typed answer.
//
// Without a limit, callers that never close their connections exhaust the
// process's file descriptors, and peers and upstreams become unreachable too.
// Delaying the accept instead would leave callers without an answer.
type LimitedListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused atomic.Int64
}

// LimitConnections wraps a listener to accept at most limit connections at a time.
func LimitConnections(inner net.Listener, limit int) *LimitedListener {
	return &LimitedListener{Listener: inner, limit: int64(limit)}
}

// Open returns the number of open connections.
func (l *LimitedListener) Open() int64 { return l.open.Load() }

// Refused returns the number of connections refused so far.
func (l *LimitedListener) Refused() int64 { return l.refused.Load() }

// Accept implements net.Listener.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: connection, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		refuseConnection(connection)
	}
}

func refuseConnection(connection net.Conn) {
	_ = connection.SetWriteDeadline(time.Now().Add(connectionLimitReplyTimeout))
	_, _ = connection.Write([]byte(connectionLimitReply))
	_ = connection.Close()
}

// limitedConn is a connection that counts as open until it is first closed.
type limitedConn struct {
	net.Conn
	listener *LimitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
