package upstream

import (
	"context"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/connerr"
)

// livenessTimeout bounds how long a call with a broken connection waits to learn whether its upstream has ended. The host
// of an upstream that has ended refuses a connection within a round trip.
const livenessTimeout = 250 * time.Millisecond

// DetectEnded makes the client check whether an upstream that broke a connection has ended. It must be called before the
// first Do.
func (c *Client) DetectEnded() { c.detectEnded = true }

// checkEnded checks whether an upstream that broke the connection during a call has ended: its host then refuses a new
// connection. After a lost reply or a reset on the network path, a new connection is accepted. An upstream that stopped
// responding together with its VM is not detected.
func (c *Client) checkEnded(address string, trace *connTrace, cause error, result *Result) {
	result.Incarnation = trace.usedIncarnation()
	if !trace.mayHaveSent() || !connerr.ClosedByPeer(cause) {
		return
	}
	result.Broken = true
	if !c.detectEnded {
		return
	}
	trace.close()
	if slots := c.slotsOf(address); slots != nil {
		result.Ended = slots.refusesConnections(address, result.Incarnation)
	}
}

func (c *Client) slotsOf(address string) *slots {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if h := c.hosts[address]; h != nil {
		return h.slots
	}
	return nil
}

// refusesConnections opens one more connection, within the share, and reports whether it was refused. A refusal marks the
// given incarnation as ended.
func (s *slots) refusesConnections(address string, incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	connection, err := s.dial(ctx, "tcp", address)
	if err == nil {
		_ = connection.Close()
		return false
	}
	if !connerr.Refused(err) {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = s.ended || s.incarnation == incarnation
	return true
}

// currentIncarnation returns the incarnation that a newly opened connection leads to. It starts a new one if the former
// one has ended.
func (s *slots) currentIncarnation() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		s.incarnation++
		s.ended = false
	}
	return s.incarnation
}

// usedIncarnation returns the incarnation that the call's connection led to, or 0 if it had none.
func (t *connTrace) usedIncarnation() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.incarnation
}
