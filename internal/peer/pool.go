package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

var (
	errRingFull   = errors.New("the ring of unsent messages is full")
	errPoolClosed = errors.New("the pool is closed")
	errSilent     = errors.New("the link answered nothing and was replaced")
	errIdle       = errors.New("the link was not used and was closed")
)

// Pool holds one link to each peer asked so far. A node that asks itself is
// served without a stream.
type Pool struct {
	self   Identity
	local  Handler
	tls    *tls.Config
	udp    *net.UDPConn
	quic   *quic.Transport
	ctx    context.Context
	stop   context.CancelFunc
	nextID atomic.Uint64
	mutex  sync.Mutex
	links  map[string]*link
	// moved are the addresses to which the next link uses a socket of its own.
	moved  map[string]bool
	onLink func(LinkEvent)
	done   sync.WaitGroup
	// broken is told why a link ended, unless the pool was closed.
	broken func(Target, error)
	// keepIdle is how long a link without requests is kept.
	keepIdle time.Duration
	meter    meter
}

// SetLinkIdleTimeout sets how long a link without requests is kept. It must be called before the first
// request.
func (p *Pool) SetLinkIdleTimeout(limit time.Duration) { p.keepIdle = limit }

// OnBroken sets who is told why a link ended. It must be called before the
// first request.
func (p *Pool) OnBroken(listener func(target Target, cause error)) { p.broken = listener }

// NewPool makes a pool that asks as self; local serves requests to self.
func NewPool(tlsConfig *tls.Config, self Identity, local Handler) (*Pool, error) {
	return NewPoolWithSource(tlsConfig, self, local, nil)
}

// NewPoolWithSource is NewPool with the IP address that its datagrams come from. On a VM with
// several, the operators' filters then see the one by which the other nodes know this one;
// nil lets the kernel choose.
func NewPoolWithSource(tlsConfig *tls.Config, self Identity, local Handler, source net.IP) (*Pool, error) {
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: source})
	if err != nil {
		return nil, fault.Step("open a socket towards peers", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{
		self:  self,
		local: local,
		tls:   tlsConfig,
		udp:   udp,
		quic:  &quic.Transport{Conn: udp},

		keepIdle: idleLink,
		ctx:      ctx,
		stop:     stop,
		links:    map[string]*link{},
		moved:    map[string]bool{},
	}
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		p.watch()
	}()
	return p, nil
}

// Close ends all links; open requests fail.
func (p *Pool) Close() error {
	p.stop()
	p.done.Wait()
	return errors.Join(p.quic.Close(), p.udp.Close())
}

// LinkCount is the number of peers with a link.
func (p *Pool) LinkCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.links)
}

// Linked lists the peers with a link.
func (p *Pool) Linked() []Target {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	targets := make([]Target, 0, len(p.links))
	for _, one := range p.links {
		targets = append(targets, one.target)
	}
	return targets
}

// Send implements Sender.
func (p *Pool) Send(target Target, request *peerpb.Envelope, sink Sink) Canceller {
	request.Id = p.nextID.Add(1)
	if target.Node == p.self.Node {
		return p.askSelf(request, sink)
	}
	c := &call{sink: sink, id: request.GetId()}
	for {
		c.link = p.link(target)
		if c.link.start(c, request) {
			return c
		}
	}
}

// askSelf hands a request to the local handler. A reply after the ticket was
// cancelled is dropped, as on a link.
func (p *Pool) askSelf(request *peerpb.Envelope, sink Sink) Canceller {
	ctx, cancel := context.WithCancel(p.ctx)
	ticket := localTicket{cancel: cancel}
	p.local.Handle(NewInbound(ctx, p.self, request, func(reply *peerpb.Envelope) {
		if ctx.Err() != nil {
			return
		}
		sink(reply, nil)
		if reply.GetLast() {
			cancel()
		}
	}))
	return ticket
}

type localTicket struct{ cancel context.CancelFunc }

// Cancel implements Ticket.
func (t localTicket) Cancel() { t.cancel() }

// link returns the link to a peer and opens it when there is none.
func (p *Pool) link(target Target) *link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	existing := p.links[target.Address]
	if existing != nil {
		return existing
	}
	ctx, cancel := context.WithCancelCause(p.ctx)
	created := &link{
		pool:   p,
		ctx:    ctx,
		cancel: cancel,
		target: target,
		out:    ring.New[*peerpb.Envelope](writeRingDepth),
		calls:  map[uint64]*call{},
	}
	p.links[target.Address] = created
	p.done.Add(1)
	go created.run()
	return created
}

// forget removes a broken link, so that the next request opens a new one.
func (p *Pool) forget(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links[l.target.Address] == l {
		delete(p.links, l.target.Address)
	}
}
