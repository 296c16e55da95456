package standin

import (
	"net"
	"sync"
)

// Socket is a listening socket that outlives the upstreams that serve it, as that of a supervisor that restarts its
// process at once: no connection is refused in between.
type Socket struct {
	listener net.Listener
	accepted chan net.Conn
}

// ListenSocket opens a socket on a free loopback port.
func ListenSocket() (*Socket, error) {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Socket{listener: listener, accepted: make(chan net.Conn)}
	go s.accept()
	return s, nil
}

// Close closes the socket. Connections that no upstream has taken are closed with it.
func (s *Socket) Close() error { return s.listener.Close() }

func (s *Socket) accept() {
	defer close(s.accepted)
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted <- connection
	}
}

// Listener returns a listener for one upstream. Closing it leaves the socket open.
func (s *Socket) Listener() net.Listener {
	return &socketListener{socket: s, closed: make(chan struct{})}
}

// socketListener accepts connections of a socket until it is closed.
type socketListener struct {
	socket *Socket
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *socketListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case connection, ok := <-l.socket.accepted:
		if !ok {
			return nil, net.ErrClosed
		}
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *socketListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *socketListener) Addr() net.Addr { return l.socket.listener.Addr() }
