package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const datagramBytes = 64 << 10

// UDP forwards datagrams to a target. A flow is all datagrams of one client
// address, as for a middlebox that tracks flows by their addresses: a QUIC
// client that opens a second connection from the same socket stays in its flow.
type UDP struct {
	*switchboard
	target   netip.AddrPort
	listener *net.UDPConn
	done     sync.WaitGroup
	flows    map[netip.AddrPort]*udpFlow
	isolated map[netip.Addr]bool
	closed   bool
}

// udpFlow is one client's datagrams with a socket of its own to the target.
type udpFlow struct {
	client netip.AddrPort
	socket *net.UDPConn
	silent bool
	// held is a datagram that waits for the next one to go first; free is when
	// the throttled line is free again.
	held [directions][]byte
	free [directions]time.Time
}

// StartUDP listens on a free loopback port and forwards to the target.
func StartUDP(target string, seed uint64) (*UDP, error) {
	return StartUDPOn("127.0.0.1:0", target, seed)
}

// StartUDPOn is StartUDP with the address to listen on.
func StartUDPOn(listen, target string, seed uint64) (*UDP, error) {
	from, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenUDP("udp", from)
	if err != nil {
		return nil, err
	}
	p := &UDP{switchboard: newSwitchboard(seed), target: address, listener: listener, flows: map[netip.AddrPort]*udpFlow{}}
	p.done.Add(1)
	go p.readClients()
	return p, nil
}

// Address is the address to send to.
func (p *UDP) Address() string { return p.listener.LocalAddr().String() }

// Close ends all flows and frees the address.
func (p *UDP) Close() error {
	err := p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	for _, flow := range p.flows {
		_ = flow.socket.Close()
	}
	p.mutex.Unlock()
	p.done.Wait()
	return err
}

// Silence makes every present flow swallow its datagrams for good. Flows opened
// later are forwarded.
func (p *UDP) Silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, flow := range p.flows {
		flow.silent = true
	}
}

// Isolate swallows the datagrams from and to a client's address until it is let through
// again.
func (p *UDP) Isolate(client netip.Addr, isolated bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isolated == nil {
		p.isolated = map[netip.Addr]bool{}
	}
	p.isolated[client] = isolated
}

// Flows is the number of flows seen so far.
func (p *UDP) Flows() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.flows)
}

func (p *UDP) readClients() {
	defer p.done.Done()
	buffer := make([]byte, datagramBytes)
	for {
		n, client, err := p.listener.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		flow := p.flow(client)
		if flow == nil {
			continue
		}
		p.carry(flow, ToTarget, append([]byte(nil), buffer[:n]...))
	}
}

// flow finds or opens the client's flow; nil when it can't be opened.
func (p *UDP) flow(client netip.AddrPort) *udpFlow {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if existing := p.flows[client]; existing != nil || p.closed {
		return existing
	}
	socket, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.target))
	if err != nil {
		return nil
	}
	flow := &udpFlow{client: client, socket: socket}
	p.flows[client] = flow
	p.done.Add(1)
	go p.readTarget(flow)
	return flow
}

func (p *UDP) readTarget(flow *udpFlow) {
	defer p.done.Done()
	buffer := make([]byte, datagramBytes)
	for {
		n, err := flow.socket.Read(buffer)
		if err != nil && p.isClosed() {
			return
		}
		// A target that is not listening shows as an error of one read; the
		// flow goes on, since it may listen again.
		if err != nil {
			continue
		}
		p.carry(flow, ToClient, append([]byte(nil), buffer[:n]...))
	}
}

func (p *UDP) isClosed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.closed
}

// carry applies the faults to one datagram.
func (p *UDP) carry(flow *udpFlow, direction Direction, datagram []byte) {
	faults, _ := p.present(direction)
	if faults.Blocked || p.silent(flow) || p.hit(faults.Loss) {
		p.drop()
		return
	}
	batch := [][]byte{datagram}
	if p.hit(faults.Duplicate) {
		batch = append(batch, datagram)
	}
	batch = p.reorder(flow, direction, batch, p.hit(faults.Reorder))
	for _, one := range batch {
		wait := faults.Delay + p.queue(flow, direction, throttle(len(one), faults.BytesPerSecond))
		if wait <= 0 {
			p.write(flow, direction, one)
			continue
		}
		time.AfterFunc(wait, func() { p.write(flow, direction, one) })
	}
}

func (p *UDP) silent(flow *udpFlow) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return flow.silent || p.isolated[flow.client.Addr().Unmap()]
}

// reorder holds the first datagram back when asked, and lets one held earlier
// follow.
func (p *UDP) reorder(flow *udpFlow, direction Direction, batch [][]byte, hold bool) [][]byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	held := flow.held[direction]
	flow.held[direction] = nil
	if held != nil {
		return append(batch, held)
	}
	if hold {
		flow.held[direction] = batch[0]
		return batch[1:]
	}
	return batch
}

// queue returns how long a datagram waits for the throttled line.
func (p *UDP) queue(flow *udpFlow, direction Direction, takes time.Duration) time.Duration {
	if takes <= 0 {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if flow.free[direction].Before(now) {
		flow.free[direction] = now
	}
	flow.free[direction] = flow.free[direction].Add(takes)
	return flow.free[direction].Sub(now)
}

func (p *UDP) write(flow *udpFlow, direction Direction, datagram []byte) {
	if direction == ToTarget {
		_, _ = flow.socket.Write(datagram)
		return
	}
	_, _ = p.listener.WriteToUDPAddrPort(datagram, flow.client)
}
