package owner

import (
	"context"
	"sync"
)

// submitTracker counts the must-not-repeat requests in flight at this owner, so that
// a planned stop can wait for them.
type submitTracker struct {
	mutex    sync.Mutex
	inFlight int
	draining bool
	idle     chan struct{}
}

// begin counts a new request. It returns false if the owner is draining.
func (s *submitTracker) begin() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return false
	}
	s.inFlight++
	return true
}

// end must be called at the end of each request for which begin returned true.
func (s *submitTracker) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
	s.closeIdleIfDone()
}

// closeIdleIfDone closes idle if the owner is draining and no request is in flight.
// The mutex must be held.
func (s *submitTracker) closeIdleIfDone() {
	if s.draining && s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// drain makes begin return false. The returned channel is closed once no request is
// in flight.
func (s *submitTracker) drain() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	idle := make(chan struct{})
	s.idle = idle
	s.closeIdleIfDone()
	return idle
}

// DrainSubmits refuses new must-not-repeat requests and waits until those in flight
// have ended or the context is done.
func (o *Owner) DrainSubmits(ctx context.Context) {
	select {
	case <-o.submits.drain():
	case <-ctx.Done():
	}
}
