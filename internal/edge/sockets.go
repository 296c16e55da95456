package edge

import (
	"net"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// Sockets opens the listening sockets of a node. A fleet in one process hands over sockets that it has already opened: a
// port that was found free and released may be taken before the node listens.
type Sockets interface {
	// ListenTCP and ListenUDP listen on an IP address and port.
	ListenTCP(address string) (net.Listener, error)
	ListenUDP(address string) (*net.UDPConn, error)
}

// SystemSockets opens sockets when they are asked for.
type SystemSockets struct{}

// ListenTCP implements Sockets.
func (SystemSockets) ListenTCP(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.ListenFailed(address, err)
	}
	return listener, nil
}

// ListenUDP implements Sockets.
func (SystemSockets) ListenUDP(address string) (*net.UDPConn, error) { return peer.ListenUDP(address) }
