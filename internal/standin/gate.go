package standin

import (
	"net"
	"sync"
	"time"
)

// gate is a listener that keeps to an upstream's connection limit. It either
// accepts and closes what is over the limit, or stops listening, so that the
// system refuses the connection.
type gate struct {
	upstream *Upstream
	address  string
	mutex    sync.Mutex
	changed  *sync.Cond
	inner    net.Listener
	closed   bool
}

func newGate(u *Upstream, listener net.Listener) *gate {
	g := &gate{upstream: u, address: listener.Addr().String(), inner: listener}
	g.changed = sync.NewCond(&g.mutex)
	return g
}

// Addr implements net.Listener.
func (g *gate) Addr() net.Addr {
	address, _ := net.ResolveTCPAddr("tcp", g.address)
	return address
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		listener, err := g.open()
		if err != nil {
			return nil, err
		}
		connection, err := listener.Accept()
		if err != nil {
			if g.shut(listener) {
				continue
			}
			return nil, err
		}
		if !g.upstream.connectionOpened() {
			_ = connection.Close()
			continue
		}
		g.adjust()
		return &gatedConn{Conn: connection, gate: g}, nil
	}
}

// open waits until connections may be accepted and returns the listener.
func (g *gate) open() (net.Listener, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for g.inner == nil && !g.closed {
		g.changed.Wait()
	}
	if g.closed {
		return nil, net.ErrClosed
	}
	return g.inner, nil
}

// shut reports whether the listener was closed because of the limit.
func (g *gate) shut(listener net.Listener) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.closed && g.inner != listener
}

// adjust stops or resumes listening as the limit asks.
func (g *gate) adjust() {
	full := g.upstream.refusesConnections()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case g.closed:
	case full && g.inner != nil:
		_ = g.inner.Close()
		g.inner = nil
	case !full && g.inner == nil:
		listener, err := listen(g.address)
		if err != nil {
			return
		}
		g.inner = listener
		g.changed.Broadcast()
	}
}

// Close implements net.Listener.
func (g *gate) Close() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	g.changed.Broadcast()
	if g.inner == nil {
		return nil
	}
	return g.inner.Close()
}

// gatedConn is a counted connection whose first read takes the connect cost.
type gatedConn struct {
	net.Conn
	gate  *gate
	first sync.Once
	last  sync.Once
}

// Read implements net.Conn.
func (c *gatedConn) Read(buffer []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.gate.upstream.Behaviour().ConnectCost) })
	return c.Conn.Read(buffer)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	err := c.Conn.Close()
	c.last.Do(func() {
		c.gate.upstream.connectionClosed()
		c.gate.adjust()
	})
	return err
}
