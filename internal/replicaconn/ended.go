package replicaconn

import (
	"errors"
	"net"

	"github.com/pistachiopier/pistachiopier/internal/connerr"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// A connection that ends under a request says little: the answer may have been lost, or the connection
// been reset on its way. A replica that has ended refuses new connections as well. One more is therefore opened
// at once: it is refused within a round trip by the VM of a replica that has ended, and serves the next
// request otherwise. A replica that fell silent, with its VM or behind a partition, is not found to have
// ended: nothing there says so.

// broke takes a connection that ended under a request. Of one replica one doubt is settled at a time.
func (c *Client) broke(life replica.Incarnation, request *Request, cause error) {
	if c.onEnded == nil {
		return
	}
	if errors.Is(cause, errRestarted) {
		c.onEnded(life, []*Request{request})
		return
	}
	if !connerr.ClosedByPeer(cause) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.hosts[life]
	if h == nil || c.closed {
		return
	}
	h.inDoubt = append(h.inDoubt, request)
	if !h.settling {
		h.settling = true
		go c.settleDoubts(h)
	}
}

// settleDoubts tells the requests in doubt that their replica has ended, if it has. A request that breaks off meanwhile
// is a doubt of its own: that the replica still lived before says nothing of its end under this one.
func (c *Client) settleDoubts(h *host) {
	for {
		inWork := c.takeDoubts(h)
		if len(inWork) == 0 {
			return
		}
		if c.refuses(h, inWork[0]) {
			c.onEnded(inWork[0].Replica, inWork)
		}
	}
}

// takeDoubts takes the requests in doubt; none ends the settling.
func (c *Client) takeDoubts(h *host) []*Request {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	taken := h.inDoubt
	h.inDoubt = nil
	h.settling = len(taken) > 0
	return taken
}

// refusesConnections opens a connection and keeps it where the bound leaves room for it.
func (c *Client) refusesConnections(h *host, request *Request) bool {
	c.mutex.Lock()
	room := h.open < max(request.MaxConnections, 1) && !h.restarted
	if room {
		h.open++
	}
	c.mutex.Unlock()
	if !room {
		return c.refusesProbe(request.Address)
	}
	opened := c.open(request)
	if opened.err != nil {
		return connerr.Refused(opened.err)
	}
	c.free(opened.conn)
	return false
}

// refusesProbe opens a connection only to see whether it is refused.
func (c *Client) refusesProbe(address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	stream, err := dialer.Dial("tcp", address)
	if err != nil {
		return connerr.Refused(err)
	}
	_ = stream.Close()
	return false
}
