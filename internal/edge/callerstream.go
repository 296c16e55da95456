package edge

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// writeBufferBytes bounds what the kernel holds for a caller that does not read.
	writeBufferBytes = 64 << 10
	// writeChunkBytes and stallTimeout set the least rate at which a caller must read: a caller that takes
	// nothing at all for stallTimeout is let go. The kernel tells progress in steps of up to its buffer, so that
	// 32 KB/s and more is safe. The time is shorter than what a replica tolerates whose answer is passed on
	// while it comes.
	writeChunkBytes = 32 << 10
	stallTimeout    = 3 * time.Second
	// deadlineSlack is how old the deadline of a write may be, so that most answers set none.
	deadlineSlack = 500 * time.Millisecond
)

// errCallerStalled ends the connection of a caller that does not read its answer.
var errCallerStalled = errors.New("the caller did not read its answer")

// callerStream is a caller's connection. Each write has a deadline that moves on with its progress, so that a caller
// that does not read is let go, and one that reads slowly is not. The connection is then reset, which tells the caller
// that the answer is incomplete and frees the kernel's buffer.
//
// net/http's own WriteTimeout bounds the whole answer instead, and would cut off slow callers.
type callerStream struct {
	net.Conn
	// onStalled is called when the caller is let go.
	onStalled    func(s *callerStream, unwritten int)
	stallTimeout time.Duration
	// deadlineAt is until when the current deadline holds; only the goroutine that writes uses it.
	deadlineAt time.Time
	// request identifies the request whose answer is written or awaited.
	request atomic.Pointer[streamRequest]
	// head follows the head of the next request.
	head callerHead
	// slot is the connection's place among those that the server may have, guarded by the server's mutex.
	slot connectionSlot
	// onClosed is called once, when the connection is first closed.
	onClosed func()
	closed   sync.Once
}

// streamRequest identifies a request in the log. It holds no bodies, as it is kept while the connection is idle.
type streamRequest struct {
	id, route, caller string
	priority          int
	arrived           core.Time
}

func newCallerStream(conn net.Conn, onStalled func(s *callerStream, unwritten int)) *callerStream {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without it, the kernel's default buffer bounds what it holds.
		_ = tcp.SetWriteBuffer(writeBufferBytes)
	}
	return &callerStream{Conn: conn, onStalled: onStalled, stallTimeout: stallTimeout}
}

// streamOf returns the caller's connection, or nil in tests without one.
func streamOf(ctx context.Context) *callerStream {
	conn, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return nil
	}
	return conn.stream
}

// Write implements net.Conn.
func (s *callerStream) Write(b []byte) (int, error) {
	written := 0
	for {
		now := time.Now()
		if s.deadlineAt.Sub(now) < s.stallTimeout-deadlineSlack {
			s.deadlineAt = now.Add(s.stallTimeout)
			_ = s.Conn.SetWriteDeadline(s.deadlineAt)
		}
		n, err := s.Conn.Write(b[written:min(len(b), written+writeChunkBytes)])
		written += n
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && n == 0:
			s.reset()
			s.onStalled(s, len(b)-written)
			return written, errCallerStalled
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case written == len(b):
			return written, nil
		}
	}
}

// SetWriteDeadline implements net.Conn. net/http clears the deadline after each request: the next write sets it anew.
func (s *callerStream) SetWriteDeadline(at time.Time) error {
	s.deadlineAt = time.Time{}
	return s.Conn.SetWriteDeadline(at)
}

// Close implements net.Conn.
func (s *callerStream) Close() error {
	s.closed.Do(func() {
		s.head.release()
		if s.onClosed != nil {
			s.onClosed()
		}
	})
	return s.Conn.Close()
}

// reset closes the connection at once, also while a write is blocked on it.
func (s *callerStream) reset() {
	if tcp, ok := s.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = s.Close()
}

// CloseWrite lets net/http end a connection without a reset, so that a caller that still sends its body receives the
// answer.
func (s *callerStream) CloseWrite() error {
	if tcp, ok := s.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
