package standin

import (
	"net"
	"sync"
	"time"
)

// limitListener enforces an upstream's connection limit. It either accepts and
// closes connections above the limit, or stops listening, so that the operating
// system refuses them.
type limitListener struct {
	upstream *Upstream
	address  string
	mutex    sync.Mutex
	changed  *sync.Cond
	inner    net.Listener
	closed   bool
}

func newLimitListener(u *Upstream, listener net.Listener) *limitListener {
	g := &limitListener{upstream: u, address: listener.Addr().String(), inner: listener}
	g.changed = sync.NewCond(&g.mutex)
	return g
}

// Addr implements net.Listener.
func (g *limitListener) Addr() net.Addr {
	address, _ := net.ResolveTCPAddr("tcp", g.address)
	return address
}

// Accept implements net.Listener.
func (g *limitListener) Accept() (net.Conn, error) {
	for {
		listener, err := g.awaitListener()
		if err != nil {
			return nil, err
		}
		connection, err := listener.Accept()
		if err != nil {
			if g.closedByLimit(listener) {
				continue
			}
			return nil, err
		}
		if !g.upstream.connectionOpened() {
			_ = connection.Close()
			continue
		}
		g.applyLimit()
		return &limitedConn{Conn: connection, listener: g}, nil
	}
}

// awaitListener blocks until connections may be accepted and returns the inner listener.
func (g *limitListener) awaitListener() (net.Listener, error) {
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

// closedByLimit reports whether the inner listener was closed because of the limit.
func (g *limitListener) closedByLimit(listener net.Listener) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.closed && g.inner != listener
}

// applyLimit stops or resumes listening according to the limit.
func (g *limitListener) applyLimit() {
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
func (g *limitListener) Close() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	g.changed.Broadcast()
	if g.inner == nil {
		return nil
	}
	return g.inner.Close()
}

// limitedConn is a counted connection whose first read is delayed by the connect cost.
type limitedConn struct {
	net.Conn
	listener  *limitListener
	delayOnce sync.Once
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.listener.upstream.Behaviour().ConnectCost) })
	return c.Conn.Read(buffer)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.listener.upstream.connectionClosed()
		c.listener.applyLimit()
	})
	return err
}
