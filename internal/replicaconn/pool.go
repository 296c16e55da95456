package replicaconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// optTCPUserTimeout is the number of the TCP_USER_TIMEOUT option on Linux, for which
// package syscall has no constant.
const optTCPUserTimeout = 0x12

// pool holds the connections to one incarnation of a replica. Its fields are guarded by
// the client's mutex.
type pool struct {
	// open counts the connections that are open or being opened, accepted those of them that the replica is known to
	// have accepted.
	open, accepted int
	// limit bounds the connections of this node, as the last request stated.
	limit int
	idle  []*conn
	// waiters receive nil when they should try again, or the reason why their wait failed.
	waiters []chan error
	// refusals counts consecutive new connections that ended without any answer. No further
	// connection is opened before noDialUntil.
	refusals    int
	noDialUntil time.Time
	// connections are all open connections.
	connections map[*conn]struct{}
	// restarted is set once a later incarnation is known: nothing more is sent to this one.
	restarted bool
	// broken are the requests whose connections broke and for which the check whether the replica has ended has not begun;
	// checkingEnded is set while the check runs for others.
	broken        []*brokenRequest
	checkingEnded bool
}

// Bounds of the pause after a replica ended a new connection without an answer. A replica resets
// connections beyond its limit, so that opening more at once would only add to its load.
const (
	firstRefusalPause = 20 * time.Millisecond
	maxRefusalPause   = 320 * time.Millisecond
)

// noteRefusal records a new connection that ended without an answer.
func (p *pool) noteRefusal(now time.Time) {
	pause := min(firstRefusalPause<<min(p.refusals, 8), maxRefusalPause)
	p.refusals++
	p.noDialUntil = now.Add(pause)
}

// acquire takes an idle connection, opens a new one within the limit, or waits until
// one is free.
func (c *Client) acquire(ctx context.Context, request *Request) (*conn, error) {
	for {
		conn, wait, err := c.tryAcquire(request)
		if err != nil || conn != nil {
			return conn, err
		}
		if wait == nil {
			return c.dial(ctx, request)
		}
		select {
		case cause := <-wait:
			if cause != nil {
				return nil, cause
			}
		case <-ctx.Done():
			c.cancelWait(request.Replica, wait)
			return nil, context.Cause(ctx)
		}
	}
}

// tryAcquire returns an idle connection, or the channel to wait on for a free one, or
// neither when the caller may open a connection.
func (c *Client) tryAcquire(request *Request) (*conn, <-chan error, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, nil, errClosed
	}
	p := c.pools[request.Replica]
	if p == nil {
		p = &pool{connections: map[*conn]struct{}{}}
		c.pools[request.Replica] = p
	}
	if p.restarted {
		return nil, nil, errRestarted
	}
	p.limit = max(request.MaxConnections, 1)
	if request.Once {
		c.closeIdleAfterSuspension()
	}
	if found := p.takeIdle(request, time.Now()); found != nil {
		return found, nil, nil
	}
	if p.open == 0 && time.Now().Before(p.noDialUntil) {
		return nil, nil, errRefusing
	}
	if p.mayOpen() && !time.Now().Before(p.noDialUntil) {
		if c.makeRoom() {
			p.open++
			c.open++
			return nil, nil, nil
		}
		if p.open == 0 {
			return nil, nil, errTooManyOpen
		}
	}
	wait := make(chan error, 1)
	p.waiters = append(p.waiters, wait)
	return nil, wait, nil
}

// takeIdle takes the most recently used connection and closes those that were idle for
// too long. It skips a connection that carried the same request before: a late second
// answer to that attempt could be taken for the answer to this one.
func (p *pool) takeIdle(request *Request, now time.Time) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		candidate := p.idle[i]
		idle := now.Sub(candidate.idleSince)
		if idle >= candidate.idleLimit || request.Once && idle >= maxOnceIdle {
			p.dropIdle(i)
			candidate.abandon(errAbandoned)
			continue
		}
		if request.ID != "" && candidate.lastID == request.ID {
			continue
		}
		p.dropIdle(i)
		return candidate
	}
	return nil
}

func (p *pool) dropIdle(i int) { p.idle = append(p.idle[:i], p.idle[i+1:]...) }

func (p *pool) closeIdle(cause error) {
	for _, connection := range p.idle {
		connection.abandon(cause)
	}
	p.idle = nil
}

// wakeOne lets one waiter try again.
func (p *pool) wakeOne() {
	if len(p.waiters) == 0 {
		return
	}
	p.waiters[0] <- nil
	p.waiters = p.waiters[1:]
}

// failWaiters ends all waits with the given cause.
func (p *pool) failWaiters(cause error) {
	for _, wait := range p.waiters {
		wait <- cause
	}
	p.waiters = nil
}

// cancelWait removes a waiter. If it was woken in the meantime, the next one is woken instead.
func (c *Client) cancelWait(incarnation replica.Incarnation, wait <-chan error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[incarnation]
	if p == nil {
		return
	}
	for i, waiter := range p.waiters {
		if waiter == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wakeOne()
}

// dialResult is the result of opening a connection.
type dialResult struct {
	conn *conn
	err  error
}

// dial opens a connection that tryAcquire has already counted. When the context ends first,
// the connection is still opened and kept for the next request: opening it has already cost
// the replica something.
func (c *Client) dial(ctx context.Context, request *Request) (*conn, error) {
	results := make(chan dialResult, 1)
	go func() { results <- c.openConnection(request) }()
	select {
	case result := <-results:
		return result.conn, result.err
	case <-ctx.Done():
		go func() {
			if result := <-results; result.err == nil {
				c.release(result.conn)
			}
		}()
		return nil, context.Cause(ctx)
	}
}

func (c *Client) openConnection(request *Request) dialResult {
	incarnation, address := request.Replica, request.Address
	dialer := net.Dialer{Control: setUserTimeout, Timeout: dialTimeout}
	started := time.Now()
	stream, err := dialer.Dial("tcp", address)
	if err != nil {
		c.connectionEnded(incarnation, nil)
		return dialResult{err: err}
	}
	if request.ByteCounter != nil {
		stream = countingConn{stream, request.ByteCounter}
	}
	opened, unsure := c.add(incarnation, stream, request.Once)
	return c.awaitAccepted(opened, c.acceptTime(time.Since(started)), unsure)
}

// add adds an open connection to its pool. The second result is set if a request must not be written before the
// connection is accepted.
func (c *Client) add(incarnation replica.Incarnation, stream net.Conn, once bool) (*conn, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.opened++
	opened := newConn(c, incarnation, stream)
	p := c.pools[incarnation]
	if p == nil {
		return opened, once
	}
	p.connections[opened] = struct{}{}
	return opened, once || c.keepsNoIdle || p.accepted == 0 || p.refusals > 0
}

// setUserTimeout makes the kernel end a connection whose bytes are not acknowledged: a
// replica that lost power or is cut off from the network sends no reset.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// release returns a connection to the idle ones.
func (c *Client) release(conn *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[conn.replica]
	if c.closed || p == nil || p.restarted {
		conn.abandon(errClosed)
		return
	}
	if c.keepsNoIdle && len(p.waiters) == 0 {
		conn.abandon(errNotKept)
		return
	}
	conn.idleSince = time.Now()
	p.idle = append(p.idle, conn)
	p.wakeOne()
}

// noteAnswered records that a replica answers on its connections, and ends the pause.
func (c *Client) noteAnswered(conn *conn) {
	c.noteAccepted(conn)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.pools[conn.replica]; p != nil {
		p.refusals = 0
		p.noDialUntil = time.Time{}
	}
}

// connectionEnded removes a connection from its pool; nil is a connection that failed to open.
func (c *Client) connectionEnded(incarnation replica.Incarnation, conn *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[incarnation]
	if p == nil {
		return
	}
	for i, connection := range p.idle {
		if connection == conn {
			p.dropIdle(i)
			break
		}
	}
	p.open--
	c.open--
	delete(p.connections, conn)
	switch {
	case conn != nil && conn.accepted:
		p.accepted--
	case conn == nil || !conn.closedLocally():
		c.endedUnaccepted++
	}
	p.noteEnd(conn, time.Now())
	p.wakeOne()
	for p.open == 0 && len(p.waiters) > 0 {
		// No open connection is left whose release could wake the others.
		p.wakeOne()
	}
}

// noteEnd counts the end of a connection as a refusal if the replica caused it before any answer; nil is a
// connection that failed to open. A connection that this node closed does not count: otherwise no connection
// would be opened for a while to a slow replica whose answers were given up.
func (p *pool) noteEnd(conn *conn, now time.Time) {
	switch {
	case conn == nil:
		p.noteRefusal(now)
	case conn.answerCount == 0 && !conn.closedLocally():
		p.noteRefusal(now)
	}
}

// closeIdleBefore closes the idle connections to a replica that were last used before the
// given time. When a request on one connection gets no answer at all, a device on the
// path may have dropped the state of the others too.
func (c *Client) closeIdleBefore(incarnation replica.Incarnation, cutoff time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[incarnation]
	if p == nil {
		return
	}
	kept := p.idle[:0]
	for _, connection := range p.idle {
		if connection.idleSince.Before(cutoff) {
			connection.abandon(errAbandoned)
			continue
		}
		kept = append(kept, connection)
	}
	p.idle = kept
}
