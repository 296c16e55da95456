package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// suspectEvery bounds how often the idle connections to one address are closed,
// so that a slow upstream does not pay for new connections at every timeout.
const suspectEvery = time.Second

// suspects closes connections that may have gone silent: something between the
// ends has lost track of the flow, what is written vanishes and no error ever
// comes, while new connections work. It shows as a request that runs into its
// deadline on a connection that was had. That connection is closed; and since
// idle ones of the same age have likely gone the same way, they are closed too,
// so that the next request opens a new one instead of trying them one timeout
// after another.
type suspects struct {
	mutex    sync.Mutex
	last     map[string]time.Time
	count    int64
	silent   map[string]bool
	listener func(address string, silent bool)
}

// OnSilent sets who is told of each connection that is taken for silent, and of
// the first reply from the address after that. It must not block.
func (c *Client) OnSilent(listener func(address string, silent bool)) {
	c.suspects.mutex.Lock()
	defer c.suspects.mutex.Unlock()
	c.suspects.listener = listener
}

// SilentConnections counts the connections that were taken for silent.
func (c *Client) SilentConnections() int64 {
	c.suspects.mutex.Lock()
	defer c.suspects.mutex.Unlock()
	return c.suspects.count
}

// checkSilence looks at a failed request.
func (c *Client) checkSilence(ctx context.Context, address string, transport *http.Transport, wire *wire) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || !wire.used() {
		return
	}
	wire.close()
	listener, closeIdle := c.suspects.note(address, time.Now())
	if closeIdle {
		transport.CloseIdleConnections()
	}
	if listener != nil {
		listener(address, true)
	}
}

// replied looks at a request that was answered.
func (c *Client) replied(address string) {
	c.suspects.mutex.Lock()
	was := c.suspects.silent[address]
	delete(c.suspects.silent, address)
	listener := c.suspects.listener
	c.suspects.mutex.Unlock()
	if was && listener != nil {
		listener(address, false)
	}
}

func (s *suspects) note(address string, now time.Time) (listener func(string, bool), closeIdle bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count++
	if s.silent == nil {
		s.silent = map[string]bool{}
	}
	s.silent[address] = true
	last, known := s.last[address]
	closeIdle = !known || now.Sub(last) >= suspectEvery
	if closeIdle {
		if s.last == nil {
			s.last = map[string]time.Time{}
		}
		s.last[address] = now
	}
	return s.listener, closeIdle
}

// forget drops what is remembered of an address.
func (s *suspects) forget(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.last, address)
	delete(s.silent, address)
}
