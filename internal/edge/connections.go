package edge

import (
	"container/list"
	"math"
	"net/http"
	"syscall"
	"time"
)

// minWaitTime is how long a connection may wait for a request before it gives way: a caller sends its request with the next
// round trip.
const minWaitTime = 250 * time.Millisecond

// unreadBodyTimeout is how long net/http may wait for the rest of a body that the handler does not read.
const unreadBodyTimeout = 2 * time.Second

// connectionSlot is a connection's place among those of a server. It is in one of the server's lists while no request is
// in work.
type connectionSlot struct {
	element *list.Element
	// since is when the connection began to wait for a request.
	since time.Time
	// served is set once a request of the connection was handled, cut once the connection has given way to another one.
	served, cut bool
}

// connectionSlots bounds the connections of a server. When all are taken, a new connection takes the place of the one that
// has waited longest for a request, first of those that never brought one. If none has waited for minWaitTime, it is refused.
//
// It guards against callers that hold connections and send nothing: the process would run out of descriptors, and
// reach neither replicas nor the store. It is guarded by the server's mutex.
type connectionSlots struct {
	limit, open int
	// silent and idle are the connections without a request in work: those that never had one, and the others.
	silent, idle list.List
	// refused counts connections that were refused, cut those that gave way.
	refused, cut int64
}

// listOf returns the list in which a connection waits for a request.
func (c *connectionSlots) listOf(s *callerStream) *list.List {
	if s.slot.served {
		return &c.idle
	}
	return &c.silent
}

// await notes that a connection waits for a request.
func (c *connectionSlots) await(s *callerStream) {
	if s.slot.element == nil && !s.slot.cut {
		s.slot.since = time.Now()
		s.slot.element = c.listOf(s).PushBack(s)
	}
}

// stopAwaiting notes that a connection has a request or is closed.
func (c *connectionSlots) stopAwaiting(s *callerStream) {
	if s.slot.element != nil {
		c.listOf(s).Remove(s.slot.element)
		s.slot.element = nil
	}
}

// victim returns the connection that gives way to a new one, or nil if there is none or none has to.
func (c *connectionSlots) victim() *callerStream {
	if c.open < c.limit {
		return nil
	}
	for _, waiting := range []*list.List{&c.silent, &c.idle} {
		first := waiting.Front()
		if first == nil {
			continue
		}
		if longest := first.Value.(*callerStream); time.Since(longest.slot.since) >= minWaitTime {
			return longest
		}
	}
	return nil
}

// admit takes a place for a new connection. It reports false if there is none.
func (s *callerServer) admit(stream *callerStream) bool {
	s.mutex.Lock()
	victim := s.slots.victim()
	if victim != nil {
		s.slots.stopAwaiting(victim)
		victim.slot.cut = true
		s.slots.cut++
	}
	admitted := victim != nil || s.slots.open < s.slots.limit
	if admitted {
		s.slots.open++
		s.slots.await(stream)
	} else {
		s.slots.refused++
	}
	s.mutex.Unlock()
	if victim != nil {
		victim.reset()
	}
	return admitted
}

// leave gives back the place of a connection that is closed.
func (s *callerServer) leave(stream *callerStream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slots.open--
	s.slots.stopAwaiting(stream)
}

// awaitRequest notes that a connection waits for its next request.
func (s *callerServer) awaitRequest(stream *callerStream) {
	stream.head.begin()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slots.await(stream)
}

// beginRequest notes that a connection has a request. It reports false if the connection has given way to another one.
func (s *callerServer) beginRequest(stream *callerStream) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slots.stopAwaiting(stream)
	stream.slot.served = true
	return !stream.slot.cut
}

// ServeHTTP implements http.Handler around the server's handler.
func (s *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stream := streamOf(r.Context())
	if stream != nil {
		stream.head.reading.Store(false)
	}
	if r.ContentLength != 0 {
		// net/http reads the rest of a body before it takes the next request, without a time limit of its own.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	switch {
	case stream == nil:
	case !s.beginRequest(stream):
		// The connection is closed, and nothing was sent to a replica.
		panic(http.ErrAbortHandler)
	case !stream.finishHead(r):
		w.Header().Set("Connection", "close")
		writeRefusal(w, spreadRefusal(retryAfterHeads))
		return
	}
	s.handler.ServeHTTP(w, r)
}

// setConnectionLimit sets how many connections the server may have.
func (s *callerServer) setConnectionLimit(limit int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slots.limit = limit
}

// connectionCounts returns the open connections, their limit, and how many were refused or have given way.
func (s *callerServer) connectionCounts() (open, limit int, refused, cut int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.slots.open, s.slots.limit, s.slots.refused, s.slots.cut
}

// applyConnectionLimits sets the limits of all servers from the node's settings.
func (n *Node) applyConnectionLimits() {
	limits := n.connectionLimits()
	n.callers.setConnectionLimit(limits.Callers)
	n.replicas.SetMaxOpen(limits.Replicas)
	for _, server := range n.auxiliary {
		server.setConnectionLimit(server.limit(limits))
	}
}

// processDescriptors returns how many descriptors the process may have open.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// defaultDescriptors applies where the system does not tell the limit.
const defaultDescriptors = 1024
