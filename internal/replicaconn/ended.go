package replicaconn

import (
	"errors"
	"net"

	"github.com/pistachiopier/pistachiopier/internal/connerr"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// A connection that breaks during a request proves little: the answer may have been lost, or the connection reset on
// the network path. But a replica that has ended also refuses new connections. Another connection is therefore opened
// at once: the VM of a replica that has ended refuses it within a round trip; otherwise it serves the next request. A
// replica that stopped responding together with its VM, or behind a network partition, is not detected, as nothing
// refuses the connection.

// connectionBroke records a request whose connection broke. One check per replica runs at a time.
func (c *Client) connectionBroke(incarnation replica.Incarnation, request *Request, cause error) {
	if c.onEnded == nil {
		return
	}
	if errors.Is(cause, errRestarted) {
		c.onEnded(incarnation, []*Request{request})
		return
	}
	if !connerr.ClosedByPeer(cause) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[incarnation]
	if p == nil || c.closed {
		return
	}
	p.broken = append(p.broken, request)
	if !p.checkingEnded {
		p.checkingEnded = true
		go c.checkEnded(p)
	}
}

// checkEnded reports the broken requests to onEnded if their replica has ended. Requests that break during a check need
// another one: that the replica still ran before does not show whether it ended during theirs.
func (c *Client) checkEnded(p *pool) {
	for {
		inFlight := c.takeBroken(p)
		if len(inFlight) == 0 {
			return
		}
		if c.refuses(p, inFlight[0]) {
			c.onEnded(inFlight[0].Replica, inFlight)
		}
	}
}

// takeBroken takes the broken requests; when there are none, the check is over.
func (c *Client) takeBroken(p *pool) []*Request {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	taken := p.broken
	p.broken = nil
	p.checkingEnded = len(taken) > 0
	return taken
}

// refusesConnections opens a connection, within the limit if possible, and keeps it for later requests in that case.
func (c *Client) refusesConnections(p *pool, request *Request) bool {
	c.mutex.Lock()
	hasRoom := p.open < max(request.MaxConnections, 1) && !p.restarted
	if hasRoom {
		p.open++
	}
	c.mutex.Unlock()
	if !hasRoom {
		return c.probeRefused(request.Address)
	}
	opened := c.open(request)
	if opened.err != nil {
		return connerr.Refused(opened.err)
	}
	c.release(opened.conn)
	return false
}

// probeRefused opens a connection only to see whether it is refused.
func (c *Client) probeRefused(address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	stream, err := dialer.Dial("tcp", address)
	if err != nil {
		return connerr.Refused(err)
	}
	_ = stream.Close()
	return false
}
