package fleet

import (
	"net"
	"sync"
	"time"
)

// limitedListener emulates a server that accepts few connections and spends time
// on each new one: a connection above the limit is reset, and the first read of an
// accepted connection is delayed by connectCost.
type limitedListener struct {
	net.Listener
	maxConnections int
	connectCost    time.Duration

	mutex   sync.Mutex
	current ConnectionCounts
}

// ConnectionCounts counts the connections of an emulated replica: open now, most open at once, accepted and refused.
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
		if l.tryAcquire() {
			return &limitedConn{Conn: connection, listener: l}, nil
		}
		resetConnection(connection)
	}
}

func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

func (l *limitedListener) tryAcquire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.maxConnections > 0 && l.current.Open >= l.maxConnections {
		l.current.Refused++
		return false
	}
	l.current.Open++
	l.current.Accepted++
	l.current.Peak = max(l.current.Peak, l.current.Open)
	return true
}

func (l *limitedListener) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.current.Open--
}

func (l *limitedListener) counts() ConnectionCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

// limitedConn is an accepted connection that counts towards the limit.
type limitedConn struct {
	net.Conn
	listener        *limitedListener
	connectCostOnce sync.Once
	releaseOnce     sync.Once
}

// Read implements net.Conn.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	c.connectCostOnce.Do(func() { time.Sleep(c.listener.connectCost) })
	return c.Conn.Read(buffer)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.releaseOnce.Do(c.listener.release)
	return c.Conn.Close()
}
