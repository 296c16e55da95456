package experiment

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const datagramBytes = 64 << 10

// forwarder passes datagrams between one client and one server and counts
// their bytes.
type forwarder struct {
	front *net.UDPConn
	back  *net.UDPConn
	// client is the last sender seen at the front.
	client atomic.Pointer[net.UDPAddr]
	bytes  atomic.Int64
	done   sync.WaitGroup
}

func startForwarder(server string) (*forwarder, error) {
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, fault.Wrap("resolve the server", err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fault.Wrap("listen for datagrams", err)
	}
	back, err := net.DialUDP("udp", nil, address)
	if err != nil {
		_ = front.Close()
		return nil, fault.Wrap("open a socket to the server", err)
	}
	f := &forwarder{front: front, back: back}
	f.done.Go(f.forward)
	f.done.Go(f.backward)
	return f, nil
}

func (f *forwarder) address() string { return f.front.LocalAddr().String() }

func (f *forwarder) close() {
	_ = f.front.Close()
	_ = f.back.Close()
	f.done.Wait()
}

func (f *forwarder) forward() {
	buffer := make([]byte, datagramBytes)
	for {
		size, from, err := f.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f.client.Store(from)
		f.bytes.Add(int64(size))
		_, _ = f.back.Write(buffer[:size])
	}
}

func (f *forwarder) backward() {
	buffer := make([]byte, datagramBytes)
	for {
		size, err := f.back.Read(buffer)
		if err != nil {
			return
		}
		f.bytes.Add(int64(size))
		_, _ = f.front.WriteToUDP(buffer[:size], f.client.Load())
	}
}
