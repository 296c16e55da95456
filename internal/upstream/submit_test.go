package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const awaitLimit = 10 * time.Second

// breakingServer replies to the first request of each connection and closes the connection after
// it has read the second.
type breakingServer struct {
	listener   net.Listener
	deliveries atomic.Int64
	opened     atomic.Int64
	done       sync.WaitGroup
}

func startBreakingServer(t *testing.T) *breakingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &breakingServer{listener: listener}
	s.done.Add(1)
	go s.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		s.done.Wait()
	})
	return s
}

func (s *breakingServer) accept() {
	defer s.done.Done()
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.opened.Add(1)
		s.done.Add(1)
		go s.serve(connection)
	}
}

func (s *breakingServer) serve(connection net.Conn) {
	defer s.done.Done()
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for answered := false; ; answered = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		buffer := make([]byte, request.ContentLength)
		if _, err := request.Body.Read(buffer); err != nil && err.Error() != "EOF" {
			return
		}
		if request.Header.Get(HeaderSubmitKey) != "" {
			s.deliveries.Add(1)
		}
		if answered {
			return
		}
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + HeaderRequestID + ": " + request.Header.Get(HeaderRequestID) + "\r\n\r\n{}"))
	}
}

func (s *breakingServer) call(id, key string) Call {
	return Call{Address: s.listener.Addr().String(), RequestID: id, SubmitKey: key, RemainingTime: awaitLimit, Body: Body{Question: []byte(`1`)}}
}

// A reused connection breaks after the upstream has read a submit. If net/http treated the request
// as replayable, it would resend it on a new connection by itself, and the submit would run twice.
func TestABrokenReusedConnectionDoesNotResendASubmit(t *testing.T) {
	server := startBreakingServer(t)
	client := NewClient()
	defer client.Close()
	require.Equal(t, core.Done, client.Do(context.Background(), server.call("a", "")).Outcome)
	result := client.Do(context.Background(), server.call("b", "key.b"))
	require.Equal(t, core.Unknown, result.Outcome)
	require.EqualValues(t, 1, server.deliveries.Load())
	require.EqualValues(t, 1, server.opened.Load(), "the submit must have met the reused connection")
}

// A device on the path has dropped the state of a connection that was idle for long. A submit sent on
// it would wait until its deadline and end "unknown", so that such a connection must carry no submit.
func TestALongQuietConnectionCarriesNoSubmit(t *testing.T) {
	server := startBreakingServer(t)
	client := NewClient()
	defer client.Close()
	require.Equal(t, core.Done, client.Do(context.Background(), server.call("a", "")).Outcome)
	client.submitIdle = -1
	result := client.Do(context.Background(), server.call("b", "key.b"))
	require.Equal(t, core.Done, result.Outcome)
	require.EqualValues(t, 1, server.deliveries.Load())
	require.EqualValues(t, 2, server.opened.Load(), "the quiet connection must have been replaced")
}
