package edgefleet

import (
	"net"
	"sync"

	"github.com/pistachiopier/pistachiopier/internal/edge"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// Sockets holds open sockets on free loopback ports until a node takes them over. It implements edge.Sockets; addresses
// that it does not hold are opened when they are asked for.
type Sockets struct {
	edge.SystemSockets
	mutex sync.Mutex
	tcp   map[string]net.Listener
	udp   map[string]*net.UDPConn
}

// NewSockets returns a Sockets without sockets.
func NewSockets() *Sockets {
	return &Sockets{tcp: map[string]net.Listener{}, udp: map[string]*net.UDPConn{}}
}

// OpenTCP opens a TCP socket and returns its address.
func (s *Sockets) OpenTCP() (string, error) {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return "", fault.Wrap("open a TCP socket", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	address := listener.Addr().String()
	s.tcp[address] = listener
	return address, nil
}

// OpenUDP opens a UDP socket and returns its address.
func (s *Sockets) OpenUDP() (string, error) {
	packets, err := peer.ListenUDP(loopbackAnyPort)
	if err != nil {
		return "", err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	address := packets.LocalAddr().String()
	s.udp[address] = packets
	return address, nil
}

// ListenTCP implements edge.Sockets.
func (s *Sockets) ListenTCP(address string) (net.Listener, error) {
	if held, ok := take(s, s.tcp, address); ok {
		return held, nil
	}
	return s.SystemSockets.ListenTCP(address)
}

// ListenUDP implements edge.Sockets.
func (s *Sockets) ListenUDP(address string) (*net.UDPConn, error) {
	if held, ok := take(s, s.udp, address); ok {
		return held, nil
	}
	return s.SystemSockets.ListenUDP(address)
}

// take takes the socket that is held for an address, if any.
func take[S any](s *Sockets, sockets map[string]S, address string) (S, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held, ok := sockets[address]
	delete(sockets, address)
	return held, ok
}

// Close closes the sockets that no node has taken over.
func (s *Sockets) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, listener := range s.tcp {
		_ = listener.Close()
	}
	for _, packets := range s.udp {
		_ = packets.Close()
	}
	clear(s.tcp)
	clear(s.udp)
}
