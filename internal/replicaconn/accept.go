package replicaconn

import "time"

// A replica resets a connection beyond its limit as soon as it sees it, which is a round trip after the connection is
// open here. A request written before that is lost with it, and nobody can tell that it did not run. Connections are
// therefore opened step by step, and the first request on a connection that may be one too many waits until the
// connection is accepted: it has outlasted that round trip.

const (
	// acceptMargin is added to a round trip, for timers and processes that are late.
	acceptMargin = 2 * time.Millisecond
	// maxAcceptTime bounds how long a first request waits, also where opening the connection took a retransmission.
	maxAcceptTime = 100 * time.Millisecond
)

// acceptTime returns how long after it was opened a connection counts as accepted, given how long that took.
func acceptTime(openTook time.Duration) time.Duration {
	return min(openTook+acceptMargin, maxAcceptTime)
}

// mayOpen reports whether another connection may be opened: the first one alone, then as many at a time as are
// accepted.
//
// It guards against all nodes of a fleet that has restarted opening their full share at once, while the replica still
// counts the connections of the processes that ended.
func (p *pool) mayOpen() bool {
	return p.open < p.limit && p.open-p.accepted < max(p.accepted, 1)
}

// awaitAccepted makes a connection count as accepted after the given time. If a request must not be written before, it
// waits for that; the connection then fails as not opened if it ends first.
func (c *Client) awaitAccepted(opened *conn, after time.Duration, wait bool) dialResult {
	if !wait {
		time.AfterFunc(after, func() { c.noteAccepted(opened) })
		return dialResult{conn: opened}
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-timer.C:
		c.noteAccepted(opened)
		return dialResult{conn: opened}
	case <-opened.ended:
		return dialResult{err: opened.cause()}
	}
}

// noteAccepted records that a connection is accepted and lets requests that wait for one open more.
func (c *Client) noteAccepted(accepted *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[accepted.replica]
	if p == nil || accepted.accepted {
		return
	}
	if _, open := p.connections[accepted]; !open {
		return
	}
	accepted.accepted = true
	p.accepted++
	allowed := min(max(p.accepted, 1)-(p.open-p.accepted), p.limit-p.open)
	for range min(allowed, len(p.waiters)) {
		p.wakeOne()
	}
}

// cause returns why the connection has ended.
func (c *conn) cause() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failure
}
