// Package endless is a stand-in for a server in trouble: it answers with bytes that do not end, in one part of an
// HTTP/1.1 answer, until the client closes the connection.
package endless

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Answer is an answer without end: a beginning, and what then repeats.
type Answer struct {
	// Part is the part of an answer that does not end.
	Part                string
	Beginning, Repeated string
}

// Answers returns one answer for each part of an answer, with the given header lines, each ended by CRLF, in those that
// have a whole header.
func Answers(header string) []Answer {
	const (
		line    = "X-Line: x\r\n"
		success = "HTTP/1.1 200 OK\r\n"
	)
	chunked := success + header + "Transfer-Encoding: chunked\r\n\r\n"
	return []Answer{
		{"bytes that are no answer", "", "x"},
		{"status line", "HTTP/1.1 200 OK", " and so on"},
		{"header line", success + "X-Long: ", "x"},
		{"continued header line", success + "X-Long: x\r\n", " x\r\n"},
		{"header", success, line},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n"},
		{"body with chunks", chunked, "10\r\n" + strings.Repeat("x", 16) + "\r\n"},
		{"body to the close", success + header + "\r\n", "x"},
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "4;x=", "x"},
		{"trailer", chunked + "4\r\nabcd\r\n0\r\n", line},
	}
}

// blockBytes is the least length of one write.
const blockBytes = 16 << 10

// Server gives the same answer to each request. It is safe for concurrent use.
type Server struct {
	listener               net.Listener
	answer                 Answer
	requests, sent, closed atomic.Int64
	done                   sync.WaitGroup
}

// Start starts a server on a free loopback port.
func Start(answer Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: listener, answer: answer}
	s.done.Go(s.accept)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests received.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Sent returns the number of bytes that connections have taken, including those in the buffers of both sockets.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Closed returns the number of connections that clients have closed during an answer.
func (s *Server) Closed() int64 { return s.closed.Load() }

// Close stops the server and waits until clients have closed their connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.done.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.done.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	s.requests.Add(1)
	block := strings.Repeat(s.answer.Repeated, 1+blockBytes/len(s.answer.Repeated))
	for text := s.answer.Beginning; ; text = block {
		n, err := io.WriteString(conn, text)
		s.sent.Add(int64(n))
		if err != nil {
			s.closed.Add(1)
			return
		}
	}
}
