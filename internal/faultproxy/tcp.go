package faultproxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pistachiopier/pistachiopier/internal/wait"
)

const chunkBytes = 16 << 10

// TCP forwards TCP connections to a target.
type TCP struct {
	*switchboard
	target   string
	listener net.Listener
	ctx      context.Context
	stop     context.CancelFunc
	done     sync.WaitGroup
	flows    map[*tcpFlow]struct{}
}

// StartTCP listens on a free loopback port and forwards to the target.
func StartTCP(target string, seed uint64) (*TCP, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &TCP{switchboard: newSwitchboard(seed), target: target, listener: listener, ctx: ctx, stop: stop, flows: map[*tcpFlow]struct{}{}}
	p.done.Add(1)
	go p.accept(listener)
	return p, nil
}

// Address is the address to connect to.
func (p *TCP) Address() string { return p.listening().Addr().String() }

func (p *TCP) listening() net.Listener {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.listener
}

// Refuse refuses new connections, as the address of a program that has ended does. Present flows go on.
func (p *TCP) Refuse() error { return p.listening().Close() }

// Accept takes new connections again at the same address, after Refuse.
func (p *TCP) Accept() error {
	listener, err := net.Listen("tcp", p.Address())
	if err != nil {
		return err
	}
	p.mutex.Lock()
	p.listener = listener
	p.mutex.Unlock()
	p.done.Add(1)
	go p.accept(listener)
	return nil
}

// Retarget forwards the flows that open from now on to another target.
func (p *TCP) Retarget(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
}

// Close ends all flows and frees the address.
func (p *TCP) Close() error {
	p.stop()
	err := p.listening().Close()
	p.Reset()
	p.done.Wait()
	return err
}

// Reset ends every present flow with a TCP reset to both ends.
func (p *TCP) Reset() {
	for _, flow := range p.open() {
		flow.reset()
	}
}

// Silence makes every present flow swallow its bytes for good, without closing.
// Flows opened later are forwarded.
func (p *TCP) Silence() {
	for _, flow := range p.open() {
		flow.silent.Store(true)
	}
}

// Flows is the number of open flows.
func (p *TCP) Flows() int { return len(p.open()) }

func (p *TCP) open() []*tcpFlow {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := make([]*tcpFlow, 0, len(p.flows))
	for flow := range p.flows {
		list = append(list, flow)
	}
	return list
}

// Set replaces the faults of one direction; CutAfter counts from now.
func (p *TCP) Set(direction Direction, faults Faults) {
	for _, flow := range p.open() {
		flow.carried[direction].Store(0)
	}
	p.switchboard.Set(direction, faults)
}

// SetBoth replaces the faults of both directions.
func (p *TCP) SetBoth(faults Faults) {
	p.Set(ToTarget, faults)
	p.Set(ToClient, faults)
}

func (p *TCP) accept(listener net.Listener) {
	defer p.done.Done()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.done.Add(1)
		go p.forward(client)
	}
}

func (p *TCP) forward(client net.Conn) {
	defer p.done.Done()
	p.mutex.Lock()
	address := p.target
	p.mutex.Unlock()
	target, err := net.Dial("tcp", address)
	if err != nil {
		_ = client.Close()
		return
	}
	flow := &tcpFlow{ends: [directions]net.Conn{ToTarget: target, ToClient: client}}
	p.mutex.Lock()
	p.flows[flow] = struct{}{}
	p.mutex.Unlock()
	ctx, cancel := context.WithCancel(p.ctx)
	stop := context.AfterFunc(ctx, flow.close)
	var pumps sync.WaitGroup
	for direction := range directions {
		pumps.Add(1)
		go func() {
			defer pumps.Done()
			p.pump(ctx, flow, direction)
			// A silent flow shows no end to either side.
			if !flow.silent.Load() {
				cancel()
			}
		}()
	}
	pumps.Wait()
	cancel()
	stop()
	flow.close()
	p.mutex.Lock()
	delete(p.flows, flow)
	p.mutex.Unlock()
}

// pump carries bytes of one direction until an end closes.
func (p *TCP) pump(ctx context.Context, flow *tcpFlow, direction Direction) {
	from, to := flow.ends[1-direction], flow.ends[direction]
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.carry(ctx, flow, direction, to, buffer[:n]) {
			return
		}
		if errors.Is(err, syscall.ECONNRESET) {
			// Closed in the ordinary way, an answer that ends with its connection would
			// look whole at the other end.
			flow.reset()
		}
		if err != nil {
			return
		}
	}
}

// carry applies the faults to one chunk; false ends the flow.
func (p *TCP) carry(ctx context.Context, flow *tcpFlow, direction Direction, to net.Conn, chunk []byte) bool {
	faults, ok := p.awaitUncut(ctx, direction)
	if !ok || !wait.For(ctx, faults.Delay+throttle(len(chunk), faults.BytesPerSecond)) {
		return false
	}
	if flow.silent.Load() {
		p.drop()
		return true
	}
	carried := int(flow.carried[direction].Add(int64(len(chunk))))
	if faults.ResetAfterBytes > 0 && carried > faults.ResetAfterBytes {
		_, _ = to.Write(chunk[:max(0, len(chunk)-(carried-faults.ResetAfterBytes))])
		flow.reset()
		return false
	}
	_, err := to.Write(chunk)
	return err == nil
}

func (p *TCP) awaitUncut(ctx context.Context, direction Direction) (Faults, bool) {
	for {
		faults, changed := p.present(direction)
		if !faults.Blocked {
			return faults, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return faults, false
		}
	}
}

// tcpFlow is one forwarded connection. ends[d] is where bytes of direction d
// are written.
type tcpFlow struct {
	ends    [directions]net.Conn
	carried [directions]atomic.Int64
	silent  atomic.Bool
}

func (f *tcpFlow) close() {
	for _, end := range f.ends {
		_ = end.Close()
	}
}

// reset makes the close a reset: unsent bytes are thrown away.
func (f *tcpFlow) reset() {
	for _, end := range f.ends {
		if connection, ok := end.(*net.TCPConn); ok {
			_ = connection.SetLinger(0)
		}
	}
	f.close()
}
