package experiment

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const datagramBytes = 64 << 10

// forwarder relays datagrams between one client and one server and counts their
// bytes in both directions.
type forwarder struct {
	clientSide *net.UDPConn
	serverSide *net.UDPConn
	// client is the address of the last sender at clientSide.
	client atomic.Pointer[net.UDPAddr]
	bytes  atomic.Int64
	done   sync.WaitGroup
}

func startForwarder(server string) (*forwarder, error) {
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, fault.Wrap("resolve the server", err)
	}
	clientSide, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fault.Wrap("listen for datagrams", err)
	}
	serverSide, err := net.DialUDP("udp", nil, address)
	if err != nil {
		_ = clientSide.Close()
		return nil, fault.Wrap("open a socket to the server", err)
	}
	f := &forwarder{clientSide: clientSide, serverSide: serverSide}
	f.done.Go(f.forwardToServer)
	f.done.Go(f.forwardToClient)
	return f, nil
}

func (f *forwarder) address() string { return f.clientSide.LocalAddr().String() }

func (f *forwarder) close() {
	_ = f.clientSide.Close()
	_ = f.serverSide.Close()
	f.done.Wait()
}

func (f *forwarder) forwardToServer() {
	buffer := make([]byte, datagramBytes)
	for {
		size, from, err := f.clientSide.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f.client.Store(from)
		f.bytes.Add(int64(size))
		_, _ = f.serverSide.Write(buffer[:size])
	}
}

func (f *forwarder) forwardToClient() {
	buffer := make([]byte, datagramBytes)
	for {
		size, err := f.serverSide.Read(buffer)
		if err != nil {
			return
		}
		f.bytes.Add(int64(size))
		_, _ = f.clientSide.WriteToUDP(buffer[:size], f.client.Load())
	}
}
