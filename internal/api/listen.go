package api

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// fullReply is written to a connection over the limit. The caller learns at once
// that nothing was run here, and asks another entry.
const fullReply = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" +
	`{"outcome":"not_run","code":"overloaded","message":"the node has its limit of connections","fix":"ask another entry, or raise limits.connections","retry_after_ms":1000}`

const fullReplyTimeout = 100 * time.Millisecond

// LimitedListener accepts at most a number of connections at a time and refuses
// the others with a typed answer.
//
// Without a limit, callers that open connections and never close them use up the
// process's file descriptors, and then also peers and upstreams cannot be
// reached. Waiting with the accept instead would leave callers without an answer.
type LimitedListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused atomic.Int64
}

// LimitConnections wraps a listener.
func LimitConnections(inner net.Listener, limit int) *LimitedListener {
	return &LimitedListener{Listener: inner, limit: int64(limit)}
}

// Open is the number of connections now.
func (l *LimitedListener) Open() int64 { return l.open.Load() }

// Refused counts the connections over the limit.
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
	_ = connection.SetWriteDeadline(time.Now().Add(fullReplyTimeout))
	_, _ = connection.Write([]byte(fullReply))
	_ = connection.Close()
}

// limitedConn gives its place back once when it is closed.
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
