package edge

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/memory"
)

const (
	// readAheadBytes is the size of net/http's read buffer, which may hold the beginning of a head that was received with
	// what came before it.
	readAheadBytes = 4 << 10
	// shortestLineBytes is the length of a header line with a name of one byte and no value.
	shortestLineBytes = 3
	// refusalLinger is how long a refused connection is read on: closed with unread bytes, it would be reset, and the caller
	// might not see the refusal.
	refusalLinger = 500 * time.Millisecond
	// retryAfterHeads is the longest Retry-After of a refused head.
	retryAfterHeads = 500 * time.Millisecond
)

// errHeadRefused ends a connection whose head would not fit into the memory for heads.
var errHeadRefused = errors.New("the memory for long heads is full")

// headMemory counts the long heads of a node, which its parser holds before a handler is called.
type headMemory struct {
	now   func() core.Time
	mutex sync.Mutex
	heads *memory.Heads
	// streams holds the connections of the heads that count.
	streams map[*memory.Head]*callerStream
	// refused counts refused heads, cut the unfinished ones that gave way.
	refused, cut atomic.Int64
}

func newHeadMemory(vmBytes int64, now func() core.Time) *headMemory {
	return &headMemory{now: now, heads: memory.NewHeads(memory.HeadLimitBytes(vmBytes)), streams: map[*memory.Head]*callerStream{}}
}

// setLimit sets the limit from the memory of the VM.
func (m *headMemory) setLimit(vmBytes int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heads.SetLimit(memory.HeadLimitBytes(vmBytes))
}

// used returns what long heads hold, and the most that they may hold.
func (m *headMemory) used() (bytes, limit int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.heads.Used(), m.heads.Limit()
}

// hold makes the head of a stream hold what it takes, and closes the connections of those that give way.
func (m *headMemory) hold(s *callerStream, bytes int64, finished bool) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change := m.heads.Grow
	if finished {
		change = m.heads.Finish
	}
	cut, fits := change(m.now(), &s.head.held, bytes)
	if fits && s.head.held.Bytes() > 0 {
		m.streams[&s.head.held] = s
	}
	for _, victim := range cut {
		m.cut.Add(1)
		// Closed apart, as closing gives back what the head holds, under the mutex.
		go m.streams[victim].reset()
	}
	return fits
}

func (m *headMemory) release(h *memory.Head) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heads.Release(h)
	delete(m.streams, h)
}

// callerHead follows the head of a request while net/http's parser reads it. The parser holds many times the bytes that
// it has read where header lines are short, and hands nothing over before the head is whole.
//
// It guards against callers that send such heads on many connections at once, or never finish them: a small VM would run out
// of memory with some hundred of them.
type callerHead struct {
	memory *headMemory
	held   memory.Head
	// reading is set from the end of one request until the next one is handled.
	reading atomic.Bool
	// lines and bytes count what was read since the parser's buffer is known to have been empty, or of what was read before
	// the current head at most what fits into that buffer.
	lines, bytes int
	// deadlines counts the read deadlines that net/http has set since the last request. It sets the second one once bytes
	// of the next request are there. begun is set with the first read since then.
	deadlines int
	begun     bool
	// counted is set once the current head has counted. It is not used by other goroutines, which may close the connection.
	counted bool
}

// begin starts the reading of the next head.
func (h *callerHead) begin() {
	if h.counted {
		h.release()
	}
	h.bytes = min(h.bytes, readAheadBytes)
	h.lines = min(h.lines, readAheadBytes/shortestLineBytes)
	h.deadlines, h.begun, h.counted = 0, false, false
	h.reading.Store(true)
}

// release gives back what the head of a request holds.
func (h *callerHead) release() {
	if h.memory != nil {
		h.memory.release(&h.held)
	}
}

// beginRead prepares a read. If net/http still waits for the first bytes of a request, its buffer is empty.
func (h *callerHead) beginRead() {
	if !h.begun && h.deadlines < 2 {
		h.lines, h.bytes = 0, 0
	}
	h.begun = true
}

// Read implements net.Conn. A head without room is refused: nothing of its request has run.
func (s *callerStream) Read(p []byte) (int, error) {
	// net/http reads a single byte to notice that a caller has left, at a time when the head is whole.
	inHead := len(p) > 1 && s.head.reading.Load()
	if inHead {
		s.head.beginRead()
		if !s.holdHead(memory.HeadBytes(s.head.lines, s.head.bytes), false) {
			return 0, s.refuseHead()
		}
	}
	n, err := s.Conn.Read(p)
	s.head.bytes += n
	s.head.lines += bytes.Count(p[:n], []byte("\n"))
	if err == nil && inHead && !s.holdHead(memory.HeadBytes(s.head.lines, s.head.bytes), false) {
		return 0, s.refuseHead()
	}
	return n, err
}

// holdHead counts what the current head takes. It reports false if there is no room for it. Ordinary heads do not count.
func (s *callerStream) holdHead(bytes int64, finished bool) bool {
	h := &s.head
	if h.memory == nil || bytes <= memory.FreeHeadBytes && !h.counted {
		return true
	}
	h.counted = true
	return h.memory.hold(s, bytes, finished)
}

// refuseHead refuses the current head and returns the error that ends its connection.
func (s *callerStream) refuseHead() error {
	s.head.memory.refused.Add(1)
	s.refuse(retryAfterHeads)
	return &net.OpError{Op: "read", Net: "tcp", Addr: s.RemoteAddr(), Err: errHeadRefused}
}

// SetReadDeadline implements net.Conn.
func (s *callerStream) SetReadDeadline(at time.Time) error {
	if s.head.reading.Load() {
		s.head.deadlines++
	}
	return s.Conn.SetReadDeadline(at)
}

// finishHead counts the head of a request that is about to be handled. It reports false if the request must not be
// handled.
func (s *callerStream) finishHead(r *http.Request) bool {
	lines, bytes := 0, len(r.RequestURI)+len(r.Host)
	for name, values := range r.Header {
		lines += len(values)
		bytes += len(name) * len(values)
		for _, value := range values {
			bytes += len(value)
		}
	}
	if s.holdHead(memory.HeadBytes(lines, bytes), true) {
		return true
	}
	s.head.memory.refused.Add(1)
	return false
}

// refuse answers that nothing has run and ends the connection, where no handler can answer.
func (s *callerStream) refuse(longest time.Duration) {
	writeRawRefusal(s.Conn, longest)
	_ = s.CloseWrite()
	_ = s.Conn.SetReadDeadline(time.Now().Add(refusalLinger))
	_, _ = io.Copy(io.Discard, s.Conn)
}

// spreadRefusal returns a time to return of half to all of the longest.
func spreadRefusal(longest time.Duration) time.Duration { return longest/2 + rand.N(longest/2) }

// writeRawRefusal writes a refusal to a connection without a request that a handler could answer.
func writeRawRefusal(conn net.Conn, longest time.Duration) {
	const body = "not run, come back later\n"
	retryAfter := strconv.FormatFloat(spreadRefusal(longest).Seconds(), 'f', 3, 64)
	_ = conn.SetWriteDeadline(time.Now().Add(refusalLinger))
	_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: "+
		retryAfter+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}
