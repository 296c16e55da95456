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
	broken []brokenRequest
	// latest holds the incarnation that was listed last at each address.
	latest    map[string]listing
	expiredAt time.Time
}

// brokenRequest is a request whose connection broke although its address still accepts connections.
type brokenRequest struct {
	*Request
	at time.Time
}

type listing struct {
	incarnation replica.Incarnation
	at          time.Time
}

func newSuccessors() *successors { return &successors{latest: map[string]listing{}} }

// keep keeps broken requests to one incarnation. It returns false and keeps none if another incarnation was already
// listed at their address.
func (s *successors) keep(requests []*Request, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	latest, known := s.latest[requests[0].Address]
	if known && latest.incarnation != requests[0].Replica && now.Sub(latest.at) < successorTimeout {
		return false
	}
	for _, request := range requests {
		s.broken = append(s.broken, brokenRequest{request, now})
	}
	s.broken = s.broken[max(len(s.broken)-maxBrokenRequests, 0):]
	return true
}

// listed records the incarnation that is now listed at an address, and takes the broken requests to others there.
func (s *successors) listed(incarnation replica.Incarnation, address string, now time.Time) []*Request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	s.latest[address] = listing{incarnation, now}
	return s.take(func(request *Request) bool { return request.Address == address && request.Replica != incarnation })
}

// misdirected takes the broken requests to an incarnation whose address now leads to another one.
func (s *successors) misdirected(former replica.Incarnation, now time.Time) []*Request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	return s.take(func(request *Request) bool { return request.Replica == former })
}

func (s *successors) take(matches func(*Request) bool) []*Request {
	var taken []*Request
	s.broken = slices.DeleteFunc(s.broken, func(broken brokenRequest) bool {
		if !matches(broken.Request) {
			return false
		}
		taken = append(taken, broken.Request)
		return true
	})
	return taken
}

func (s *successors) expire(now time.Time) {
	s.broken = slices.DeleteFunc(s.broken, func(broken brokenRequest) bool { return now.Sub(broken.at) >= successorTimeout })
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
