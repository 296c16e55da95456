package replicaconn

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// counted is a connection whose bytes are counted, both ways.
type counted struct {
	net.Conn
	bytes metrics.Counter
}

// Read implements net.Conn.
func (c counted) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytes.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c counted) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.bytes.Inc(int64(n))
	return n, err
}
