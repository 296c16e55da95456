package replicaconn

import "errors"

// errTooManyOpen is the cause of a failure at the limit of all connections, none of which is idle.
var errTooManyOpen = errors.New("the node has all the connections to replicas that its descriptors allow")

// SetMaxOpen bounds the open connections to all replicas; 0 is no bound.
//
// It guards against many requests to very many replicas at once: the process would run out of descriptors, and callers and
// the store could not connect either.
func (c *Client) SetMaxOpen(limit int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.maxOpen = limit
}

// makeRoom reports whether another connection may be opened. At the limit, the connection that has been idle for longest is
// closed for it. The mutex must be held.
func (c *Client) makeRoom() bool {
	if c.maxOpen <= 0 || c.open < c.maxOpen {
		return true
	}
	var longest *pool
	for _, p := range c.pools {
		if len(p.idle) > 0 && (longest == nil || p.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = p
		}
	}
	if longest == nil {
		return false
	}
	longest.idle[0].abandon(errNotKept)
	longest.dropIdle(0)
	return true
}
