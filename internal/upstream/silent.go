package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// minCloseInterval bounds how often the idle connections to one address are closed, so that a
// slow upstream does not have to accept new connections after every timeout.
const minCloseInterval = time.Second

// silenceTracker detects silent connections: a device on the path has dropped the state of the
// connection, so that written data is lost without an error, while new connections work. The sign
// is a request that reaches its deadline after it was given a connection. That connection is
// closed. Idle connections of the same age are probably silent too and are also closed, so that
// the next request opens a new one instead of losing a timeout on each of them.
type silenceTracker struct {
	mutex     sync.Mutex
	lastClose map[string]time.Time
	count     int64
	silent    map[string]bool
	listener  func(address string, silent bool)
}

// OnSilent sets the listener that is called for each connection that is taken for silent, and for
// the first reply from the address after that. It must not block.
func (c *Client) OnSilent(listener func(address string, silent bool)) {
	c.silence.mutex.Lock()
	defer c.silence.mutex.Unlock()
	c.silence.listener = listener
}

// SilentConnections counts the connections that were taken for silent.
func (c *Client) SilentConnections() int64 {
	c.silence.mutex.Lock()
	defer c.silence.mutex.Unlock()
	return c.silence.count
}

// checkSilence checks whether a failed request shows a silent connection.
func (c *Client) checkSilence(ctx context.Context, address string, transport *http.Transport, trace *connTrace) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || !trace.mayHaveSent() {
		return
	}
	trace.close()
	listener, closeIdle := c.silence.record(address, time.Now())
	if closeIdle {
		transport.CloseIdleConnections()
	}
	if listener != nil {
		listener(address, true)
	}
}

// noteReply ends the silence of an address that has replied.
func (c *Client) noteReply(address string) {
	c.silence.mutex.Lock()
	wasSilent := c.silence.silent[address]
	delete(c.silence.silent, address)
	listener := c.silence.listener
	c.silence.mutex.Unlock()
	if wasSilent && listener != nil {
		listener(address, false)
	}
}

func (s *silenceTracker) record(address string, now time.Time) (listener func(string, bool), closeIdle bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count++
	if s.silent == nil {
		s.silent = map[string]bool{}
	}
	s.silent[address] = true
	last, known := s.lastClose[address]
	closeIdle = !known || now.Sub(last) >= minCloseInterval
	if closeIdle {
		if s.lastClose == nil {
			s.lastClose = map[string]time.Time{}
		}
		s.lastClose[address] = now
	}
	return s.listener, closeIdle
}

// remove deletes the state of an address.
func (s *silenceTracker) remove(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.lastClose, address)
	delete(s.silent, address)
}
