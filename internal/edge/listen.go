package edge

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/policy"
)

// Limits for callers before a configuration is known.
const (
	initialHeaderTimeout = 3 * time.Second
	initialIdleTimeout   = 60 * time.Second
	initialHeaderBytes   = 16 << 10
)

// callerServer accepts callers' connections. net/http fixes its limits when a server starts, whereas these
// limits change with the configuration: a new connection is given to a server with the current limits, and
// existing connections keep the limits of their server until they end. A former server is closed with its
// last connection; otherwise limits that change many times a day would leave as many servers behind.
type callerServer struct {
	handler  http.Handler
	listener net.Listener
	// onStalled is called when a caller is let go that does not read its answer.
	onStalled func(stream *callerStream, unwritten int)
	// heads counts the memory of long heads; nil does not.
	heads   *headMemory
	mutex   sync.Mutex
	slots   connectionSlots
	limits  policy.Limits
	current *limitedServer
	servers map[*limitedServer]bool
	closing bool
	done    sync.WaitGroup
}

// limitedServer serves the connections that were accepted while its limits were in force.
type limitedServer struct {
	*http.Server
	conns *connListener
	// openConns counts the connections, including those not yet delivered to the server; guarded by the
	// callerServer's mutex.
	openConns int
}

// serveCallers serves at most connectionLimit connections at a time.
func serveCallers(listener net.Listener, handler http.Handler, connectionLimit int, heads *headMemory, onStalled func(stream *callerStream, unwritten int)) *callerServer {
	s := &callerServer{handler: handler, listener: listener, onStalled: onStalled, heads: heads, servers: map[*limitedServer]bool{}}
	s.slots.limit = connectionLimit
	s.setLimits(policy.Limits{})
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.accept()
	}()
	return s
}

// setLimits sets the limits of future connections. One that is not given has its initial value: net/http would take it for
// no limit, or for a megabyte of headers.
func (s *callerServer) setLimits(limits policy.Limits) {
	limits.MaxHeaderBytes = cmp.Or(max(limits.MaxHeaderBytes, 0), initialHeaderBytes)
	limits.HeaderTimeout = cmp.Or(max(limits.HeaderTimeout, 0), initialHeaderTimeout)
	limits.IdleTimeout = cmp.Or(max(limits.IdleTimeout, 0), initialIdleTimeout)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closing || s.current != nil && limits == s.limits {
		return
	}
	former := s.current
	s.limits = limits
	s.current = s.startServer(limits)
	s.servers[s.current] = true
	s.closeIfUnused(former)
}

// startServer starts a server with the given limits.
func (s *callerServer) startServer(limits policy.Limits) *limitedServer {
	server := &limitedServer{conns: &connListener{address: s.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}}
	server.Server = &http.Server{
		Handler:           s,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnContext:       withCallerConn,
		ConnState: func(conn net.Conn, state http.ConnState) {
			switch state {
			case http.StateIdle:
				s.awaitRequest(conn.(*callerStream))
			case http.StateClosed:
				s.connClosed(server)
			}
		},
	}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		_ = server.Serve(server.conns)
	}()
	return server
}

// connClosed records the end of a connection.
func (s *callerServer) connClosed(server *limitedServer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	server.openConns--
	s.closeIfUnused(server)
}

// closeIfUnused closes a server that is not the current one and has no connections. The mutex must be held.
func (s *callerServer) closeIfUnused(server *limitedServer) {
	if server == nil || server == s.current || server.openConns > 0 {
		return
	}
	delete(s.servers, server)
	_ = server.conns.Close()
}

func (s *callerServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process is out of file descriptors, or the caller disconnected at once.
			time.Sleep(acceptRetryDelay)
			continue
		}
		stream := newCallerStream(conn, s.onStalled)
		stream.head.memory = s.heads
		stream.head.begin()
		if !s.admit(stream) {
			writeRawRefusal(conn, retryAfterFull)
			_ = conn.Close()
			continue
		}
		stream.onClosed = func() { s.leave(stream) }
		s.serve(stream)
	}
}

// serve hands a connection to the server with the current limits.
func (s *callerServer) serve(stream *callerStream) {
	s.mutex.Lock()
	current := s.current
	current.openConns++
	s.mutex.Unlock()
	if !current.conns.deliver(stream) {
		s.connClosed(current)
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

// stopAccepting closes the listener; open connections remain.
func (s *callerServer) stopAccepting() { _ = s.listener.Close() }

// shutdown closes idle connections and waits for the requests in flight.
func (s *callerServer) shutdown(ctx context.Context) error {
	s.stopAccepting()
	s.mutex.Lock()
	s.closing = true
	servers := maps.Clone(s.servers)
	s.mutex.Unlock()
	var failures []error
	for server := range servers {
		failures = append(failures, server.Shutdown(ctx))
	}
	return errors.Join(failures...)
}

// close closes the listener and all connections.
func (s *callerServer) close() {
	s.stopAccepting()
	s.mutex.Lock()
	s.closing = true
	servers := maps.Clone(s.servers)
	s.mutex.Unlock()
	for server := range servers {
		_ = server.Close()
	}
}

// connListener is a listener for connections that another listener has accepted.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// deliver hands a connection to the server. If the server is closed, it closes the connection and returns
// false.
func (l *connListener) deliver(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		_ = conn.Close()
		return false
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.address }

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// callerConn is one caller's connection with the number of requests on it.
type callerConn struct {
	requests int
	stream   *callerStream
}

func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	stream, _ := conn.(*callerStream)
	return context.WithValue(ctx, callerConnKey{}, &callerConn{stream: stream})
}

// isFirstOnConnection counts a request on its connection and reports whether it is the first one.
func isFirstOnConnection(ctx context.Context) bool {
	conn, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return false
	}
	conn.requests++
	return conn.requests == 1
}
