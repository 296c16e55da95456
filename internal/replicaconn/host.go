package replicaconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// tcpUserTimeout is the number of the TCP_USER_TIMEOUT option on Linux, which the
// syscall package does not name.
const tcpUserTimeout = 0x12

// host is the connections to one incarnation of a replica. Its fields are guarded
// by the client's mutex.
type host struct {
	open int
	idle []*conn
	// waiters are told nil to look again, or why they wait in vain.
	waiters []chan error
	// refusals counts new connections in a row that ended without any answer; until
	// closedUntil no further one is opened.
	refusals    int
	closedUntil time.Time
	// connections are all that are open.
	connections map[*conn]struct{}
	// restarted is set once a later incarnation is known: nothing more is sent to this one.
	restarted bool
	// inDoubt are the requests whose connections broke, of which it is not being found out yet whether the replica has
	// ended; settling is set while that is found out of others.
	inDoubt  []*Request
	settling bool
}

// Pauses after a replica ended a new connection without an answer. It resets those beyond
// its limit: opening more at once would only cost it more.
const (
	firstRefusalPause = 20 * time.Millisecond
	maxRefusalPause   = 320 * time.Millisecond
)

// refused notes a new connection that ended without an answer.
func (h *host) refused(now time.Time) {
	pause := min(firstRefusalPause<<min(h.refusals, 8), maxRefusalPause)
	h.refusals++
	h.closedUntil = now.Add(pause)
}

// acquire takes an idle connection, opens one within the bound, or waits until one
// is free.
func (c *Client) acquire(ctx context.Context, request *Request) (*conn, error) {
	for {
		conn, wait, err := c.take(request)
		if err != nil || conn != nil {
			return conn, err
		}
		if wait == nil {
			return c.dial(ctx, request)
		}
		select {
		case vain := <-wait:
			if vain != nil {
				return nil, vain
			}
		case <-ctx.Done():
			c.leave(request.Replica, wait)
			return nil, context.Cause(ctx)
		}
	}
}

// take returns an idle connection, or neither a connection nor a wait when the
// caller may open one, or the wait for a free one.
func (c *Client) take(request *Request) (*conn, <-chan error, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, nil, errClosed
	}
	h := c.hosts[request.Replica]
	if h == nil {
		h = &host{connections: map[*conn]struct{}{}}
		c.hosts[request.Replica] = h
	}
	if h.restarted {
		return nil, nil, errRestarted
	}
	if found := h.takeIdle(request, time.Now()); found != nil {
		return found, nil, nil
	}
	if h.open == 0 && time.Now().Before(h.closedUntil) {
		return nil, nil, errRefusing
	}
	if h.open < max(request.MaxConnections, 1) && !time.Now().Before(h.closedUntil) {
		h.open++
		return nil, nil, nil
	}
	wait := make(chan error, 1)
	h.waiters = append(h.waiters, wait)
	return nil, wait, nil
}

// takeIdle takes the connection that was used last. Those idle for too long are
// closed on the way. A connection that carried the same request before is left
// out: a late second answer to that try could be taken for this one's.
func (h *host) takeIdle(request *Request, now time.Time) *conn {
	for i := len(h.idle) - 1; i >= 0; i-- {
		one := h.idle[i]
		idle := now.Sub(one.idleSince)
		if idle >= one.idleLimit || request.Once && idle >= freshIdle {
			h.dropIdle(i)
			one.abandon(errReplaced)
			continue
		}
		if request.ID != "" && one.lastID == request.ID {
			continue
		}
		h.dropIdle(i)
		return one
	}
	return nil
}

func (h *host) dropIdle(i int) { h.idle = append(h.idle[:i], h.idle[i+1:]...) }

func (h *host) closeIdle(cause error) {
	for _, one := range h.idle {
		one.abandon(cause)
	}
	h.idle = nil
}

// wakeOne lets one waiter look again.
func (h *host) wakeOne() {
	if len(h.waiters) == 0 {
		return
	}
	h.waiters[0] <- nil
	h.waiters = h.waiters[1:]
}

// endWaits tells all waiters that they wait in vain.
func (h *host) endWaits(why error) {
	for _, wait := range h.waiters {
		wait <- why
	}
	h.waiters = nil
}

// leave takes a waiter back. Where it was woken meanwhile, the next one is.
func (c *Client) leave(life replica.Incarnation, wait <-chan error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.hosts[life]
	if h == nil {
		return
	}
	for i, one := range h.waiters {
		if one == wait {
			h.waiters = append(h.waiters[:i], h.waiters[i+1:]...)
			return
		}
	}
	h.wakeOne()
}

// dialed is the end of an attempt to open a connection.
type dialed struct {
	conn *conn
	err  error
}

// dial opens a connection for which take has counted a place. When the context ends
// first the connection is opened all the same and kept for the next request: its
// opening has cost the replica something already.
func (c *Client) dial(ctx context.Context, request *Request) (*conn, error) {
	ends := make(chan dialed, 1)
	go func() { ends <- c.open(request) }()
	select {
	case end := <-ends:
		return end.conn, end.err
	case <-ctx.Done():
		go func() {
			if end := <-ends; end.err == nil {
				c.free(end.conn)
			}
		}()
		return nil, context.Cause(ctx)
	}
}

func (c *Client) open(request *Request) dialed {
	life, address := request.Replica, request.Address
	dialer := net.Dialer{Control: limitSilence, Timeout: dialTimeout}
	stream, err := dialer.Dial("tcp", address)
	if err != nil {
		c.ended(life, nil)
		return dialed{err: err}
	}
	if request.ByteCounter != nil {
		stream = counted{stream, request.ByteCounter}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.opened++
	opened := newConn(c, life, stream)
	if h := c.hosts[life]; h != nil {
		h.connections[opened] = struct{}{}
	}
	return dialed{conn: opened}
}

// limitSilence makes the kernel end a connection whose bytes nobody acknowledges:
// a replica that lost power or is cut off sends no reset.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// free makes a connection idle.
func (c *Client) free(conn *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.hosts[conn.replica]
	if c.closed || h == nil || h.restarted {
		conn.abandon(errClosed)
		return
	}
	conn.idleSince = time.Now()
	h.idle = append(h.idle, conn)
	h.wakeOne()
}

// answered notes that a replica answers on its connections.
func (c *Client) answered(life replica.Incarnation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if h := c.hosts[life]; h != nil {
		h.refusals = 0
		h.closedUntil = time.Time{}
	}
}

// ended takes a connection out of the books; nil is one that did not open.
func (c *Client) ended(life replica.Incarnation, conn *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.hosts[life]
	if h == nil {
		return
	}
	for i, one := range h.idle {
		if one == conn {
			h.dropIdle(i)
			break
		}
	}
	h.open--
	delete(h.connections, conn)
	h.noteEnd(conn, time.Now())
	h.wakeOne()
	for h.open == 0 && len(h.waiters) > 0 {
		// No connection is left that could become free and wake the others.
		h.wakeOne()
	}
}

// noteEnd learns from the end of a connection; nil is one that did not open. What this node ended
// itself says nothing: a slow replica whose answers were given up was left alone as if it had
// refused them.
func (h *host) noteEnd(conn *conn, now time.Time) {
	switch {
	case conn == nil:
		h.refused(now)
	case conn.answers == 0 && !conn.endedHere():
		h.refused(now)
	}
}

// suspect closes the idle connections to a replica on which nothing was heard
// since the given time: when a request on one connection sees no answer at all,
// something between may have lost track of the others too.
func (c *Client) suspect(life replica.Incarnation, since time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.hosts[life]
	if h == nil {
		return
	}
	kept := h.idle[:0]
	for _, one := range h.idle {
		if one.idleSince.Before(since) {
			one.abandon(errReplaced)
			continue
		}
		kept = append(kept, one)
	}
	h.idle = kept
}
