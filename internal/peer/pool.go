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

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

var (
	errRingFull   = errors.New("the queue of unsent messages is full")
	errPoolClosed = errors.New("the pool is closed")
	errSilent     = errors.New("the link did not respond and was replaced")
	errIdle       = errors.New("the link was idle and was closed")
	errStopping   = errors.New("the peer ended the link because it is stopping")
)

// Pool holds one link to each peer with recent requests. Requests of a node to
// itself are served without a stream.
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
	// closed is set before Close waits for the links, so that none is opened while it waits or afterwards.
	closed bool
	// needsOwnSocket holds the addresses to which the next link uses a separate socket.
	needsOwnSocket map[string]bool
	onLink         func(LinkEvent)
	done           sync.WaitGroup
	// onBroken is called with the error that ended a link, unless the link was closed
	// as idle or the pool was closed.
	onBroken func(Target, error)
	// linkIdleTimeout is how long a link without requests is kept.
	linkIdleTimeout time.Duration
	meter           meter
}

// SetLinkIdleTimeout sets how long a link without requests is kept. It must be
// called before the first request.
func (p *Pool) SetLinkIdleTimeout(limit time.Duration) { p.linkIdleTimeout = limit }

// OnBroken sets the listener for links that end with an error. It must be called
// before the first request.
func (p *Pool) OnBroken(listener func(target Target, cause error)) { p.onBroken = listener }

// NewPool creates a pool that sends requests as self; local serves requests to self.
func NewPool(tlsConfig *tls.Config, self Identity, local Handler) (*Pool, error) {
	return NewPoolWithSource(tlsConfig, self, local, nil)
}

// NewPoolWithSource is NewPool with a source IP address for its datagrams. On a VM with several
// addresses, the operators' packet filters then see the address by which other nodes know this
// one. With nil the kernel chooses.
func NewPoolWithSource(tlsConfig *tls.Config, self Identity, local Handler, source net.IP) (*Pool, error) {
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: source})
	if err != nil {
		return nil, fault.Wrap("open a socket towards peers", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{
		self:  self,
		local: local,
		tls:   tlsConfig,
		udp:   udp,
		quic:  &quic.Transport{Conn: udp},

		linkIdleTimeout: defaultLinkIdleTimeout,
		ctx:             ctx,
		stop:            stop,
		links:           map[string]*link{},
		needsOwnSocket:  map[string]bool{},
	}
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		p.watchLinks()
	}()
	return p, nil
}

// Close closes all links; open requests fail, and later ones fail as not run.
func (p *Pool) Close() error {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.stop()
	p.done.Wait()
	return errors.Join(p.quic.Close(), p.udp.Close())
}

// LinkCount returns the number of peers with a link.
func (p *Pool) LinkCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.links)
}

// Linked returns the peers with a link.
func (p *Pool) Linked() []Target {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	targets := make([]Target, 0, len(p.links))
	for _, l := range p.links {
		targets = append(targets, l.target)
	}
	return targets
}

// Send implements Sender.
func (p *Pool) Send(target Target, request *peerpb.Envelope, sink Sink) Canceller {
	request.Id = p.nextID.Add(1)
	if target.Node == p.self.Node {
		return p.sendToSelf(request, sink)
	}
	c := &call{sink: sink, id: request.GetId()}
	for {
		c.link = p.link(target)
		if c.link == nil {
			sink(nil, &LinkError{Peer: target, Outcome: core.NotRun, Cause: errPoolClosed})
			return endedRequest{}
		}
		if c.link.enqueue(c, request) {
			return c
		}
	}
}

// sendToSelf passes a request to the local handler. As on a link, replies are
// dropped after the request was cancelled.
func (p *Pool) sendToSelf(request *peerpb.Envelope, sink Sink) Canceller {
	ctx, cancel := context.WithCancel(p.ctx)
	canceller := localRequest{cancel: cancel}
	p.local.Handle(NewInbound(ctx, p.self, request, func(reply *peerpb.Envelope) {
		if ctx.Err() != nil {
			return
		}
		sink(reply, nil)
		if reply.GetLast() {
			cancel()
		}
	}))
	return canceller
}

type localRequest struct{ cancel context.CancelFunc }

// Cancel implements Canceller.
func (t localRequest) Cancel() { t.cancel() }

// endedRequest is a request that has ended before Send returned.
type endedRequest struct{}

// Cancel implements Canceller.
func (endedRequest) Cancel() {}

// link returns the link to a peer and opens one if there is none. It returns nil once the pool is closed.
func (p *Pool) link(target Target) *link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil
	}
	existing := p.links[target.Address]
	if existing != nil {
		return existing
	}
	ctx, cancel := context.WithCancelCause(p.ctx)
	created := &link{
		pool:     p,
		ctx:      ctx,
		cancel:   cancel,
		target:   target,
		outgoing: ring.New[*peerpb.Envelope](writeRingDepth),
		calls:    map[uint64]*call{},
	}
	p.links[target.Address] = created
	p.done.Add(1)
	go created.run()
	return created
}

// removeLink removes a link from the pool, so that the next request opens a new one.
func (p *Pool) removeLink(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links[l.target.Address] == l {
		delete(p.links, l.target.Address)
	}
}
