package owner

import (
	"context"
	"sync"
)

// submits counts the must-not-repeat requests that this owner holds, so that a
// planned stop cuts none of them off.
type submits struct {
	mutex    sync.Mutex
	held     int
	draining bool
	idle     chan struct{}
}

// enter takes in one request, unless the owner is stopping.
func (s *submits) enter() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return false
	}
	s.held++
	return true
}

// leave lets one request go that was entered.
func (s *submits) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.held--
	s.signal()
}

// signal tells who drains that none is held; the mutex must be held.
func (s *submits) signal() {
	if s.draining && s.held == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// drain refuses new requests; the channel closes when none is held.
func (s *submits) drain() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	idle := make(chan struct{})
	s.idle = idle
	s.signal()
	return idle
}

// DrainSubmits refuses new must-not-repeat requests and waits for the held ones
// to end, or for the context's end.
func (o *Owner) DrainSubmits(ctx context.Context) {
	select {
	case <-o.submits.drain():
	case <-ctx.Done():
	}
}
