package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// errNoShare is the failure of a request to an address to which this node may hold no
// connection.
var errNoShare = errors.New("this node has no share of the connections to the address")

// defaultShare is the share of an address for which none was set.
const defaultShare = 1

// host holds the connections to one address. A change of the share creates a new transport.
// Requests may still run on the former one, and its connections count too: both transports
// use the same slots.
type host struct {
	slots *slots
	// transport is nil once the address has been removed.
	transport *http.Transport
}

func newHost(share int) *host {
	slots := newSlots(share)
	return &host{slots: slots, transport: newTransport(slots, share)}
}

// newTransport returns a transport that opens connections only through slots.
func newTransport(slots *slots, share int) *http.Transport {
	// net/http treats 0 as unlimited. A share of 0 is enforced by the slots.
	share = max(share, 1)
	return &http.Transport{
		DialContext:            slots.dial,
		MaxConnsPerHost:        share,
		MaxIdleConnsPerHost:    share,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// slots limits the connections that are open to one address. A smaller share closes no
// connection in use, but none is opened until fewer than the new share are open.
type slots struct {
	dialer net.Dialer
	mutex  sync.Mutex
	share  int
	open   int
	// incarnation identifies the present incarnation of the upstream. ended is set when the upstream is found to have
	// ended, and the next connection then increments incarnation. It starts at the wall-clock time, so that another
	// process does not use the same numbers.
	incarnation uint64
	ended       bool
	// changed is closed and replaced when a slot may have become free.
	changed chan struct{}
}

func newSlots(share int) *slots {
	return &slots{dialer: net.Dialer{Timeout: dialTimeout}, share: share, changed: make(chan struct{}), incarnation: uint64(time.Now().UnixNano())}
}

func (s *slots) setShare(share int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.share = share
	s.wake()
}

// wake lets all waiting dials try again. The mutex must be held.
func (s *slots) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *slots) empty() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.open == 0
}

// dial opens a connection once a slot is free.
func (s *slots) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := s.take(ctx); err != nil {
		return nil, err
	}
	connection, err := s.dialer.DialContext(ctx, network, address)
	if err != nil {
		s.release()
		return nil, err
	}
	return &countedConn{Conn: connection, release: sync.OnceFunc(s.release), incarnation: s.currentIncarnation()}, nil
}

// take waits for a free slot until the context ends.
func (s *slots) take(ctx context.Context) error {
	for {
		changed, err := s.tryTake()
		if changed == nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryTake takes a slot, or returns the channel that is closed when another attempt may
// succeed.
func (s *slots) tryTake() (<-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.share <= 0:
		return nil, errNoShare
	case s.open >= s.share:
		return s.changed, nil
	}
	s.open++
	return nil, nil
}

func (s *slots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open--
	s.wake()
}

// countedConn releases its slot when it is closed.
type countedConn struct {
	net.Conn
	release func()
	// incarnation is that of the upstream that the connection leads to.
	incarnation uint64
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// SetConnectionShare sets how many connections the client may hold to an address; 0 allows none.
// Running requests keep their connections. A new connection is opened only while fewer than the
// share are open, including those opened under the former share.
func (c *Client) SetConnectionShare(address string, connections int) {
	connections = max(connections, 0)
	if former := c.replaceTransport(address, connections); former != nil {
		former.CloseIdleConnections()
	}
}

// replaceTransport sets the share and returns the replaced transport, if any.
func (c *Client) replaceTransport(address string, connections int) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.hosts[address]
	if h == nil {
		c.hosts[address] = newHost(connections)
		return nil
	}
	if h.transport != nil && h.slots.share == connections {
		return nil
	}
	former := h.transport
	h.slots.setShare(connections)
	h.transport = newTransport(h.slots, connections)
	return former
}

// Remove closes the idle connections to an address that is no longer configured.
func (c *Client) Remove(address string) {
	if former := c.detachTransport(address); former != nil {
		former.CloseIdleConnections()
		c.silence.remove(address)
	}
	c.dropEmpty()
}

func (c *Client) detachTransport(address string) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.hosts[address]
	if h == nil {
		return nil
	}
	former := h.transport
	h.transport = nil
	c.removed[address] = struct{}{}
	return former
}

// dropEmpty deletes the removed addresses whose last connection is closed. Until then their
// slots are kept: the address may be added again, and connections of running requests count
// in its share.
func (c *Client) dropEmpty() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address := range c.removed {
		h := c.hosts[address]
		switch {
		case h.transport != nil:
			delete(c.removed, address)
		case h.slots.empty():
			delete(c.removed, address)
			delete(c.hosts, address)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	for _, transport := range c.transports() {
		transport.CloseIdleConnections()
	}
}

func (c *Client) transports() []*http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []*http.Transport
	for _, h := range c.hosts {
		if h.transport != nil {
			list = append(list, h.transport)
		}
	}
	return list
}

// transport returns the current transport. finishRequest must be called with it after the
// request.
func (c *Client) transport(address string) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.hosts[address]
	if h == nil {
		h = newHost(defaultShare)
		c.hosts[address] = h
	}
	if h.transport == nil {
		h.slots.setShare(defaultShare)
		h.transport = newTransport(h.slots, defaultShare)
	}
	return h.transport
}

// finishRequest closes the connection that a request leaves idle on a transport that was replaced
// meanwhile: it would not be used again, and would hold a slot.
func (c *Client) finishRequest(address string, used *http.Transport) {
	c.mutex.Lock()
	h := c.hosts[address]
	replaced := h == nil || h.transport != used
	c.mutex.Unlock()
	if replaced {
		used.CloseIdleConnections()
	}
}
