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
	*faultState
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
	p := &TCP{faultState: newFaultState(seed), target: target, listener: listener, ctx: ctx, stop: stop, flows: map[*tcpFlow]struct{}{}}
	p.done.Add(1)
	go p.accept(listener)
	return p, nil
}

// Address returns the address to connect to.
func (p *TCP) Address() string { return p.currentListener().Addr().String() }

func (p *TCP) currentListener() net.Listener {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.listener
}

// Refuse closes the listener, so that new connections are refused as after the exit of a process. Open flows continue.
func (p *TCP) Refuse() error { return p.currentListener().Close() }

// Accept accepts new connections at the same address again, after Refuse.
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

// Retarget forwards flows opened from now on to another target.
func (p *TCP) Retarget(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
}

// Close ends all flows, closes the listener and waits for the goroutines.
func (p *TCP) Close() error {
	p.stop()
	err := p.currentListener().Close()
	p.Reset()
	p.done.Wait()
	return err
}

// Reset closes every open flow with a TCP reset to both ends.
func (p *TCP) Reset() {
	for _, flow := range p.openFlows() {
		flow.reset()
	}
}

// Silence discards all further bytes of every open flow without closing it.
// Flows opened later are forwarded.
func (p *TCP) Silence() {
	for _, flow := range p.openFlows() {
		flow.silent.Store(true)
	}
}

// Flows returns the number of open flows.
func (p *TCP) Flows() int { return len(p.openFlows()) }

func (p *TCP) openFlows() []*tcpFlow {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := make([]*tcpFlow, 0, len(p.flows))
	for flow := range p.flows {
		list = append(list, flow)
	}
	return list
}

// Set replaces the faults of one direction and restarts the count of ResetAfterBytes.
func (p *TCP) Set(direction Direction, faults Faults) {
	for _, flow := range p.openFlows() {
		flow.carried[direction].Store(0)
	}
	p.faultState.Set(direction, faults)
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
			// A silent flow stays open at both ends, even if one of them closes it.
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

// pump forwards the bytes of one direction until an end closes or the flow ends.
func (p *TCP) pump(ctx context.Context, flow *tcpFlow, direction Direction) {
	from, to := flow.ends[1-direction], flow.ends[direction]
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forwardChunk(ctx, flow, direction, to, buffer[:n]) {
			return
		}
		if errors.Is(err, syscall.ECONNRESET) {
			// An ordinary close would make a truncated answer that is delimited by
			// the end of its connection look complete at the other end.
			flow.reset()
		}
		if err != nil {
			return
		}
	}
}

// forwardChunk applies the faults to one chunk; false ends the flow.
func (p *TCP) forwardChunk(ctx context.Context, flow *tcpFlow, direction Direction, to net.Conn, chunk []byte) bool {
	faults, ok := p.awaitUnblocked(ctx, direction)
	if !ok || !wait.For(ctx, faults.Delay+transmissionTime(len(chunk), faults.BytesPerSecond)) {
		return false
	}
	if flow.silent.Load() {
		p.countDrop()
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

func (p *TCP) awaitUnblocked(ctx context.Context, direction Direction) (Faults, bool) {
	for {
		faults, changed := p.current(direction)
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

// tcpFlow is one forwarded connection. ends[d] is the connection to which bytes
// of direction d are written.
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

// reset closes both ends with a TCP reset, which discards unsent bytes.
func (f *tcpFlow) reset() {
	for _, end := range f.ends {
		if connection, ok := end.(*net.TCPConn); ok {
			_ = connection.SetLinger(0)
		}
	}
	f.close()
}
