package edge

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Limits towards callers before a configuration is known.
const (
	firstHeaderTimeout = 3 * time.Second
	firstIdleTimeout   = 60 * time.Second
	firstHeaderBytes   = 16 << 10
)

// callerServer takes callers' connections. net/http fixes its limits when a server
// starts, while ours come with each configuration: connections are handed to a
// server made for the limits in force, and those of a former one go on under its
// limits until they end. With its last connection a former server ends too: limits that
// change many times a day would otherwise leave as many servers behind.
type callerServer struct {
	handler  http.Handler
	listener net.Listener
	mutex    sync.Mutex
	limits   policy.Limits
	current  *limitedServer
	servers  map[*limitedServer]bool
	closing  bool
	done     sync.WaitGroup
}

// limitedServer serves the connections that came while its limits were in force.
type limitedServer struct {
	*http.Server
	conns *handover
	// open counts the connections, also those on their way to the server; it is guarded
	// by the callerServer's mutex.
	open int
}

func listenCallers(address string, handler http.Handler) (*callerServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.ListenFailed(address, err)
	}
	s := &callerServer{handler: handler, listener: listener, servers: map[*limitedServer]bool{}}
	s.setLimits(policy.Limits{MaxHeaderBytes: firstHeaderBytes, HeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout})
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.accept()
	}()
	return s, nil
}

// setLimits makes the limits of the connections that come from now on.
func (s *callerServer) setLimits(limits policy.Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closing || s.current != nil && limits == s.limits {
		return
	}
	former := s.current
	s.limits = limits
	s.current = s.serveWith(limits)
	s.servers[s.current] = true
	s.endUnused(former)
}

// serveWith starts a server with limits.
func (s *callerServer) serveWith(limits policy.Limits) *limitedServer {
	server := &limitedServer{conns: &handover{address: s.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}}
	server.Server = &http.Server{
		Handler:           s.handler,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnContext:       func(ctx context.Context, _ net.Conn) context.Context { return withCallerConn(ctx) },
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				s.closed(server)
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

// closed notes the end of a connection.
func (s *callerServer) closed(server *limitedServer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	server.open--
	s.endUnused(server)
}

// endUnused ends a server whose limits are not in force any more and that has no
// connection left. The mutex must be held.
func (s *callerServer) endUnused(server *limitedServer) {
	if server == nil || server == s.current || server.open > 0 {
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
			// Out of descriptors, or a caller that left at once.
			time.Sleep(acceptPause)
			continue
		}
		s.mutex.Lock()
		current := s.current
		current.open++
		s.mutex.Unlock()
		if !current.conns.give(conn) {
			s.closed(current)
		}
	}
}

// acceptPause follows an accept that failed for want of descriptors.
const acceptPause = 5 * time.Millisecond

// stopAccepting takes no further connections; open ones go on.
func (s *callerServer) stopAccepting() { _ = s.listener.Close() }

// shutdown ends idle connections and waits for the requests in work.
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

// handover is a listener that gets its connections from another one.
type handover struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// give hands a connection to the server, or closes it and reports false when that ended.
func (h *handover) give(conn net.Conn) bool {
	select {
	case h.conns <- conn:
		return true
	case <-h.closed:
		_ = conn.Close()
		return false
	}
}

// Accept implements net.Listener.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *handover) Addr() net.Addr { return h.address }

// connKey marks a caller's connection in its requests' contexts.
type connKey struct{}

// callerConn counts the requests of one caller's connection.
type callerConn struct{ requests int }

func withCallerConn(ctx context.Context) context.Context {
	return context.WithValue(ctx, connKey{}, &callerConn{})
}

// firstOnConnection reports whether a request is the first on its connection.
func firstOnConnection(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return false
	}
	conn.requests++
	return conn.requests == 1
}
