package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

// flushPollInterval is how often FlushReplies checks whether all streams have ended.
const flushPollInterval = time.Millisecond

// Server accepts peers' connections and passes their requests to a Handler.
type Server struct {
	self     Identity
	handler  Handler
	udp      *net.UDPConn
	listener *quic.Listener
	stop     context.CancelFunc
	done     sync.WaitGroup
	// openRequests counts the unanswered requests for which delaysStop holds.
	openRequests atomic.Int64
	// flush is closed by FlushReplies; streams counts the streams not yet ended.
	flush     chan struct{}
	flushOnce sync.Once
	streams   atomic.Int64
	meter     meter
}

// ListenUDP opens the socket of a peer address.
func ListenUDP(address string) (*net.UDPConn, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fault.ListenFailed(address, err)
	}
	udp, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, fault.ListenFailed(address, err)
	}
	return udp, nil
}

// Listen listens on the peer address and serves until Close.
func Listen(address string, tlsConfig *tls.Config, self Identity, handler Handler) (*Server, error) {
	udp, err := ListenUDP(address)
	if err != nil {
		return nil, err
	}
	return Serve(udp, tlsConfig, self, handler)
}

// Serve serves on an open socket until Close, which closes the socket.
func Serve(udp *net.UDPConn, tlsConfig *tls.Config, self Identity, handler Handler) (*Server, error) {
	listener, err := quic.Listen(udp, tlsConfig, quicConfig())
	if err != nil {
		_ = udp.Close()
		return nil, fault.Wrap("listen for peers", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{self: self, handler: handler, udp: udp, listener: listener, stop: stop, flush: make(chan struct{})}
	server.done.Add(1)
	go server.accept(ctx)
	return server, nil
}

// Address returns the UDP address in use, with the port that was chosen for port 0.
func (s *Server) Address() string { return s.udp.LocalAddr().String() }

// OpenRequests returns the number of unanswered requests from peers that a planned
// stop waits for.
func (s *Server) OpenRequests() int { return int(s.openRequests.Load()) }

// LinkCount returns the number of open streams from peers, one for each link.
func (s *Server) LinkCount() int64 { return s.streams.Load() }

// FlushReplies sends the queued replies, ends each stream and waits until the peers
// have read to the end or the context ends. Closing a connection discards unsent
// data: without this call, a reply just before a planned stop would be lost and the
// outcome of its request unknown.
//
// New connections are refused from then on. Accepted, they would end at once, and peers
// would open them again and again until the process ends.
func (s *Server) FlushReplies(ctx context.Context) {
	s.flushOnce.Do(func() {
		// The error, if any, is that of Close, which closes the listener again.
		_ = s.listener.Close()
		close(s.flush)
	})
	for s.streams.Load() > 0 && wait.For(ctx, flushPollInterval) {
	}
}

// Close closes all connections and frees the address.
func (s *Server) Close() error {
	s.stop()
	err := s.listener.Close()
	s.done.Wait()
	return errors.Join(err, s.udp.Close())
}

func (s *Server) accept(ctx context.Context) {
	defer s.done.Done()
	for {
		connection, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		s.done.Add(1)
		go s.serveConnection(ctx, connection)
	}
}

func (s *Server) serveConnection(ctx context.Context, connection *quic.Conn) {
	defer s.done.Done()
	defer func() { _ = connection.CloseWithError(codeClosing, "closing") }()
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.done.Add(1)
		go s.serveStream(ctx, connection, stream)
	}
}

func (s *Server) serveStream(ctx context.Context, connection *quic.Conn, stream *quic.Stream) {
	defer s.done.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(codeClosing) })
	defer stop()
	reader := bufio.NewReaderSize(stream, bufferBytes)
	from, err := s.verifyHello(connection, reader)
	if err != nil {
		_ = connection.CloseWithError(codeProtocol, err.Error())
		return
	}
	session := newSession(ctx, s, from)
	s.done.Add(1)
	s.streams.Add(1)
	defer s.streams.Add(-1)
	go func() {
		defer s.done.Done()
		session.write(stream, cancel)
	}()
	session.read(reader)
	session.endAllRequests()
}

// verifyHello reads the hello and checks that it names the node of the peer's
// certificate.
func (s *Server) verifyHello(connection *quic.Conn, reader *bufio.Reader) (Identity, error) {
	envelope, err := readEnvelope(reader)
	if err != nil {
		return Identity{}, err
	}
	hello := envelope.GetHello()
	if hello == nil {
		return Identity{}, fault.NotRun(fault.CodePeer, "the first message of the stream is not a hello", "connect with a pistachiopier node")
	}
	certified := connection.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName
	if certified != hello.GetNode() {
		return Identity{}, fault.NotRun(fault.CodePeer, "node "+hello.GetNode()+" presented the certificate of "+certified, "issue a certificate for this node")
	}
	return Identity{Node: core.NodeID(hello.GetNode()), Incarnation: hello.GetIncarnation()}, nil
}
