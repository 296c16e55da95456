package replicaconn

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// countingConn is a connection whose bytes are counted in both directions.
type countingConn struct {
	net.Conn
	bytes metrics.Counter
}

// Read implements net.Conn.
func (c countingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytes.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.bytes.Inc(int64(n))
	return n, err
}
