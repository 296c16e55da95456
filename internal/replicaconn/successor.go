package replicaconn

import (
	"slices"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

const (
	// successorTimeout is how long before or after the break of a connection another incarnation may be found at its
	// address to show that the former one has ended: a replica is listed within a heartbeat of its start, and a node
	// with little processor time notices a break late.
	successorTimeout = 5 * time.Second
	// successorExpiryInterval is the time between two removals of what is older than successorTimeout.
	successorExpiryInterval = time.Second
	// maxBrokenRequests bounds the broken requests that are kept: each holds its body.
	maxBrokenRequests = 256
)

// successors finds the broken requests whose replica was replaced by another incarnation at its address.
type successors struct {
	mutex sync.Mutex
	// broken are in the order of their breaks.
	broken []*brokenRequest
	// latest holds the incarnation that was listed last at each address.
	latest    map[string]listing
	expiredAt time.Time
}

// brokenRequest is a request whose connection broke. The mutex of successors guards its fields.
type brokenRequest struct {
	*Request
	at time.Time
	// reported is set once its replica is known to have ended.
	reported bool
}

type listing struct {
	incarnation replica.Incarnation
	at          time.Time
}

func newSuccessors() *successors { return &successors{latest: map[string]listing{}} }

// keep keeps a request whose connection broke. It returns false and keeps nothing if another incarnation was already listed
// at its address.
func (s *successors) keep(request *Request, now time.Time) (*brokenRequest, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	latest, known := s.latest[request.Address]
	if known && latest.incarnation != request.Replica && now.Sub(latest.at) < successorTimeout {
		return nil, false
	}
	broken := &brokenRequest{Request: request, at: now}
	s.broken = append(s.broken, broken)
	s.broken = s.broken[max(len(s.broken)-maxBrokenRequests, 0):]
	return broken, true
}

// refused takes those of the given requests that were not taken before, also where they are no longer kept: their replica
// refuses connections.
func (s *successors) refused(requests []*brokenRequest) []*brokenRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var taken []*brokenRequest
	for _, broken := range requests {
		if !broken.reported {
			broken.reported = true
			taken = append(taken, broken)
		}
	}
	s.broken = slices.DeleteFunc(s.broken, func(broken *brokenRequest) bool { return broken.reported })
	return taken
}

// listed records the incarnation that is now listed at an address, and takes the broken requests to others there.
func (s *successors) listed(incarnation replica.Incarnation, address string, now time.Time) []*brokenRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	s.latest[address] = listing{incarnation, now}
	return s.take(func(request *Request) bool { return request.Address == address && request.Replica != incarnation })
}

// misdirected takes the broken requests to an incarnation whose address now leads to another one.
func (s *successors) misdirected(former replica.Incarnation, now time.Time) []*brokenRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	return s.take(func(request *Request) bool { return request.Replica == former })
}

func (s *successors) take(matches func(*Request) bool) []*brokenRequest {
	var taken []*brokenRequest
	s.broken = slices.DeleteFunc(s.broken, func(broken *brokenRequest) bool {
		if !matches(broken.Request) {
			return false
		}
		broken.reported = true
		taken = append(taken, broken)
		return true
	})
	return taken
}

func (s *successors) expire(now time.Time) {
	s.broken = slices.DeleteFunc(s.broken, func(broken *brokenRequest) bool { return now.Sub(broken.at) >= successorTimeout })
	if now.Sub(s.expiredAt) < successorExpiryInterval {
		return
	}
	s.expiredAt = now
	for address, latest := range s.latest {
		if now.Sub(latest.at) >= successorTimeout {
			delete(s.latest, address)
		}
	}
}
