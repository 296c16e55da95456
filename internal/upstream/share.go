package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// errNoShare is the failure of a request to an address to which this node may
// hold no connection.
var errNoShare = errors.New("this node has no share of the connections to the address")

// defaultShare is the share of an address that was given none.
const defaultShare = 1

// host is one address with the connections to it. A change of the share makes
// a new transport; requests still run on the former one, and its connections
// count too: the slots are one for both.
type host struct {
	slots *slots
	// transport is nil once the address has left the text.
	transport *http.Transport
}

func newHost(share int) *host {
	slots := newSlots(share)
	return &host{slots: slots, transport: newTransport(slots, share)}
}

// newTransport makes a transport that opens connections only by slots.
func newTransport(slots *slots, share int) *http.Transport {
	// net/http takes 0 for no limit at all. A share of 0 is kept by the slots.
	share = max(share, 1)
	return &http.Transport{
		DialContext:            slots.dial,
		MaxConnsPerHost:        share,
		MaxIdleConnsPerHost:    share,
		IdleConnTimeout:        idleConnection,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// slots are the connections that may be open to one address. A smaller share
// closes none in use; but none is opened until fewer than the new share are open.
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
	// changed is closed and made anew when a slot may have become free.
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

// wake is called with the mutex held.
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

// tryTake takes a slot, or returns the channel that is closed when it is worth
// trying again.
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

// countedConn gives its slot back when it is closed.
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

// SetConnectionShare sets how many connections the client may hold to an address; 0 is none.
// What runs keeps its connection; a new one is opened only while fewer than the
// share are open, those of the former share included.
func (c *Client) SetConnectionShare(address string, connections int) {
	connections = max(connections, 0)
	if former := c.setLimit(address, connections); former != nil {
		former.CloseIdleConnections()
	}
}

// setLimit returns the transport that was replaced.
func (c *Client) setLimit(address string, connections int) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.hosts[address]
	if known == nil {
		c.hosts[address] = newHost(connections)
		return nil
	}
	if known.transport != nil && known.slots.share == connections {
		return nil
	}
	former := known.transport
	known.slots.setShare(connections)
	known.transport = newTransport(known.slots, connections)
	return former
}

// Remove closes the idle connections to an address that has left the text.
func (c *Client) Remove(address string) {
	if former := c.forget(address); former != nil {
		former.CloseIdleConnections()
		c.suspects.forget(address)
	}
	c.dropEmpty()
}

func (c *Client) forget(address string) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.hosts[address]
	if known == nil {
		return nil
	}
	former := known.transport
	known.transport = nil
	c.forgotten[address] = struct{}{}
	return former
}

// dropEmpty drops the forgotten addresses whose last connection is closed. Until
// then their slots are kept: the address may come back, and what still runs
// counts in its share.
func (c *Client) dropEmpty() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address := range c.forgotten {
		known := c.hosts[address]
		switch {
		case known.transport != nil:
			delete(c.forgotten, address)
		case known.slots.empty():
			delete(c.forgotten, address)
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
	for _, known := range c.hosts {
		if known.transport != nil {
			list = append(list, known.transport)
		}
	}
	return list
}

// transport returns the transport in force. done must be called with it once
// the request has its end.
func (c *Client) transport(address string) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.hosts[address]
	if known == nil {
		known = newHost(defaultShare)
		c.hosts[address] = known
	}
	if known.transport == nil {
		known.slots.setShare(defaultShare)
		known.transport = newTransport(known.slots, defaultShare)
	}
	return known.transport
}

// done closes what a request leaves idle on a transport that was replaced while
// it ran: nothing would use that connection again, and it would hold a slot.
func (c *Client) done(address string, used *http.Transport) {
	c.mutex.Lock()
	known := c.hosts[address]
	replaced := known == nil || known.transport != used
	c.mutex.Unlock()
	if replaced {
		used.CloseIdleConnections()
	}
}
