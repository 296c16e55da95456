package fleet

import (
	"net"
	"sync"
	"time"
)

// limitedListener emulates a server that takes few connections, each at a
// cost: a connection above the limit is reset, and the first read of one that
// is taken comes after the cost.
type limitedListener struct {
	net.Listener
	limit int
	cost  time.Duration

	mutex    sync.Mutex
	counters ConnectionCounts
}

// ConnectionCounts are the connections of one emulated replica.
type ConnectionCounts struct {
	Open     int
	Peak     int
	Accepted int
	Refused  int
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.take() {
			return &limitedConn{Conn: connection, listener: l}, nil
		}
		reset(connection)
	}
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

func (l *limitedListener) take() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limit > 0 && l.counters.Open >= l.limit {
		l.counters.Refused++
		return false
	}
	l.counters.Open++
	l.counters.Accepted++
	l.counters.Peak = max(l.counters.Peak, l.counters.Open)
	return true
}

func (l *limitedListener) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counters.Open--
}

func (l *limitedListener) counts() ConnectionCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.counters
}

// limitedConn is one connection that was taken.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	opened   sync.Once
	closed   sync.Once
}

// Read implements net.Conn.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	c.opened.Do(func() { time.Sleep(c.listener.cost) })
	return c.Conn.Read(buffer)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closed.Do(c.listener.release)
	return c.Conn.Close()
}
