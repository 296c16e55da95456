package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const datagramBytes = 64 << 10

// UDP forwards datagrams to a target. A flow is identified by the client's address,
// as in a middlebox that tracks flows by address: a second QUIC connection from
// the same client socket belongs to the same flow.
type UDP struct {
	*faultState
	target   netip.AddrPort
	listener *net.UDPConn
	done     sync.WaitGroup
	flows    map[netip.AddrPort]*udpFlow
	isolated map[netip.Addr]bool
	closed   bool
}

// udpFlow is the flow of one client, with a separate socket to the target.
type udpFlow struct {
	client netip.AddrPort
	socket *net.UDPConn
	silent bool
	// held is a reordered datagram that waits for the next one; linkFreeAt is the
	// time from which the throttled link is idle.
	held       [directions][]byte
	linkFreeAt [directions]time.Time
}

// StartUDP listens on a free loopback port and forwards to the target.
func StartUDP(target string, seed uint64) (*UDP, error) {
	return StartUDPOn("127.0.0.1:0", target, seed)
}

// StartUDPOn listens on the given address and forwards to the target.
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
	p := &UDP{faultState: newFaultState(seed), target: address, listener: listener, flows: map[netip.AddrPort]*udpFlow{}}
	p.done.Add(1)
	go p.readClients()
	return p, nil
}

// Address returns the address to send to.
func (p *UDP) Address() string { return p.listener.LocalAddr().String() }

// Close closes all flows and the listener and waits for the goroutines.
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

// Silence discards all further datagrams of every existing flow. Flows opened
// later are forwarded.
func (p *UDP) Silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, flow := range p.flows {
		flow.silent = true
	}
}

// Isolate starts or stops discarding the datagrams from and to a client's IP address.
func (p *UDP) Isolate(client netip.Addr, isolated bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isolated == nil {
		p.isolated = map[netip.Addr]bool{}
	}
	p.isolated[client] = isolated
}

// Flows returns the number of flows opened so far.
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
		p.forwardDatagram(flow, ToTarget, append([]byte(nil), buffer[:n]...))
	}
}

// flow returns the client's flow and opens it if needed; nil when it can't be opened.
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
		// If the target is not listening, one read returns an error. The flow
		// continues, since the target may listen again.
		if err != nil {
			continue
		}
		p.forwardDatagram(flow, ToClient, append([]byte(nil), buffer[:n]...))
	}
}

func (p *UDP) isClosed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.closed
}

// forwardDatagram applies the faults to one datagram.
func (p *UDP) forwardDatagram(flow *udpFlow, direction Direction, datagram []byte) {
	faults, _ := p.current(direction)
	if faults.Blocked || p.discards(flow) || p.occurs(faults.Loss) {
		p.countDrop()
		return
	}
	batch := [][]byte{datagram}
	if p.occurs(faults.Duplicate) {
		batch = append(batch, datagram)
	}
	batch = p.reorder(flow, direction, batch, p.occurs(faults.Reorder))
	for _, next := range batch {
		wait := faults.Delay + p.transmissionDelay(flow, direction, transmissionTime(len(next), faults.BytesPerSecond))
		if wait <= 0 {
			p.write(flow, direction, next)
			continue
		}
		time.AfterFunc(wait, func() { p.write(flow, direction, next) })
	}
}

func (p *UDP) discards(flow *udpFlow) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return flow.silent || p.isolated[flow.client.Addr().Unmap()]
}

// reorder appends the datagram held earlier to the batch. If there is none and
// hold is set, it holds the first datagram of the batch back.
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

// transmissionDelay reserves the throttled link for one datagram and returns the
// delay until its transmission has ended.
func (p *UDP) transmissionDelay(flow *udpFlow, direction Direction, duration time.Duration) time.Duration {
	if duration <= 0 {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if flow.linkFreeAt[direction].Before(now) {
		flow.linkFreeAt[direction] = now
	}
	flow.linkFreeAt[direction] = flow.linkFreeAt[direction].Add(duration)
	return flow.linkFreeAt[direction].Sub(now)
}

func (p *UDP) write(flow *udpFlow, direction Direction, datagram []byte) {
	if direction == ToTarget {
		_, _ = flow.socket.Write(datagram)
		return
	}
	_, _ = p.listener.WriteToUDPAddrPort(datagram, flow.client)
}
