package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// headServer is a server whose heads count, on a VM with little memory.
type headServer struct {
	t     *testing.T
	heads *headMemory
	*callerServer
}

func startHeadServer(t *testing.T, connections int, handler http.HandlerFunc) *headServer {
	t.Helper()
	started := time.Now()
	heads := newHeadMemory(1<<20, func() core.Time { return time.Since(started) })
	listener, err := SystemSockets{}.ListenTCP("127.0.0.1:0")
	require.NoError(t, err)
	s := &headServer{t: t, heads: heads, callerServer: serveCallers(listener, handler, connections, heads, func(*callerStream, int) {})}
	t.Cleanup(s.close)
	return s
}

func answerNoContent(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(http.StatusNoContent)
}

func (s *headServer) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// awaitHeld waits until long heads hold something, or nothing.
func (s *headServer) awaitHeld(something bool) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { used, _ := s.heads.used(); return used > 0 == something }, 20*time.Second, time.Millisecond)
}

func requireStatus(t *testing.T, conn net.Conn, status int) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
	_ = response.Body.Close()
}

const manyLines = 900

// distinctLines returns short header lines with different names.
func distinctLines(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	return b.String()
}

// Guards against a head whose beginning arrives with the body before it: the parser holds it, while the connection is read
// no more.
func TestAHeadThatBeginsBehindABodyCounts(t *testing.T) {
	s := startHeadServer(t, 10, answerNoContent)
	conn := s.dial()
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
	require.NoError(t, err)
	_, err = io.WriteString(conn, "ab"+"GET / HTTP/1.1\r\nHost: x\r\n"+distinctLines(manyLines))
	require.NoError(t, err)
	requireStatus(t, conn, http.StatusNoContent)
	s.awaitHeld(true)
	_, err = io.WriteString(conn, "\r\n")
	require.NoError(t, err)
	requireStatus(t, conn, http.StatusNoContent)
	s.awaitHeld(false)
}

// Guards against counting the lines of a body for the head of the next request on a kept connection.
func TestLinesOfABodyDoNotCount(t *testing.T) {
	s := startHeadServer(t, 10, answerNoContent)
	conn := s.dial()
	body := strings.Repeat("\n", 100_000)
	for range 3 {
		_, err := io.WriteString(conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		require.NoError(t, err)
		requireStatus(t, conn, http.StatusNoContent)
	}
	require.Zero(t, s.heads.refused.Load())
	s.awaitHeld(false)
}

// Guards against refusals that their callers do not see, and against keeping what refused heads held.
func TestAHeadWithoutRoomIsToldToReturn(t *testing.T) {
	release := make(chan struct{})
	s := startHeadServer(t, 10, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusNoContent)
	})
	working, refused := s.dial(), s.dial()
	head := "GET / HTTP/1.1\r\nHost: x\r\n" + distinctLines(manyLines) + "\r\n"
	_, err := io.WriteString(working, head)
	require.NoError(t, err)
	s.awaitHeld(true)
	_, err = io.WriteString(refused, head)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(refused), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	close(release)
	requireStatus(t, working, http.StatusNoContent)
	require.NoError(t, working.Close())
	s.awaitHeld(false)
}

// Guards against cutting a request in work, or a caller that has just come, for a new connection.
func TestAConnectionWithoutARequestGivesWay(t *testing.T) {
	release, inWork := make(chan struct{}), make(chan struct{}, 2)
	s := startHeadServer(t, 2, func(w http.ResponseWriter, _ *http.Request) {
		inWork <- struct{}{}
		<-release
		w.WriteHeader(http.StatusNoContent)
	})
	open := func() int { open, _, _, _ := s.connectionCounts(); return open }
	working := s.dial()
	_, err := io.WriteString(working, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	<-inWork
	silent := s.dial()
	require.Eventually(t, func() bool { return open() == 2 }, 20*time.Second, time.Millisecond)
	tooMany := s.dial()
	requireStatus(t, tooMany, http.StatusServiceUnavailable)
	require.Eventually(t, func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.slots.victim() != nil
	}, 20*time.Second, time.Millisecond)
	next := s.dial()
	_, err = io.WriteString(next, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	_, err = silent.Read(make([]byte, 1))
	require.Error(t, err)
	close(release)
	requireStatus(t, working, http.StatusNoContent)
	requireStatus(t, next, http.StatusNoContent)
}
