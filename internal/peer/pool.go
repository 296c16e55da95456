package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/pistachiopier/pistachiopier/internal/core"
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
	onLink func(LinkNews)
	done   sync.WaitGroup
	// broken is told why a link ended, unless the pool was closed.
	broken func(Target, error)
}

// OnBroken sets who is told why a link ended. It must be called before the
// first request.
func (p *Pool) OnBroken(listener func(target Target, cause error)) { p.broken = listener }

// NewPool makes a pool that asks as self; local serves requests to self.
func NewPool(tlsConfig *tls.Config, self Identity, local Handler) (*Pool, error) {
	udp, err := net.ListenUDP("udp", &net.UDPAddr{})
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
		ctx:   ctx,
		stop:  stop,
		links: map[string]*link{},
		moved: map[string]bool{},
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

// Links is the number of peers with a link.
func (p *Pool) Links() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.links)
}

// Ask implements Asker.
func (p *Pool) Ask(target Target, request *peerpb.Envelope, sink Sink) Ticket {
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

func (p *Pool) askSelf(request *peerpb.Envelope, sink Sink) Ticket {
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

// link is one connection to a peer and the requests open on it.
type link struct {
	pool   *Pool
	ctx    context.Context
	cancel context.CancelCauseFunc
	target Target
	out    *ring.Ring[*peerpb.Envelope]
	mutex  sync.Mutex
	calls  map[uint64]*call
	broken error
	watch  linkWatch
}

// call is one open request.
type call struct {
	link *link
	id   uint64
	sink Sink
	// written is set before any byte of the request may leave.
	written bool
}

// Cancel implements Ticket.
func (c *call) Cancel() {
	removed := c.link.remove(c.id)
	if removed != nil && removed.written {
		c.link.out.TryPut(&peerpb.Envelope{Id: c.id, Body: &peerpb.Envelope_Cancel{Cancel: &peerpb.Cancel{}}})
	}
}

// start queues a call. It reports false when the link was closed for not being
// used: the call then belongs on a new one.
func (l *link) start(c *call, request *peerpb.Envelope) bool {
	l.mutex.Lock()
	broken := l.broken
	if broken == nil {
		l.calls[c.id] = c
		l.watch.usedAt = time.Now()
	}
	l.mutex.Unlock()
	if broken == errIdle {
		return false
	}
	if broken != nil {
		c.sink(nil, l.failure(core.NotRun, broken))
		return true
	}
	if !l.out.TryPut(request) && l.remove(c.id) != nil {
		c.sink(nil, l.failure(core.NotRun, errRingFull))
	}
	return true
}

func (l *link) run() {
	defer l.pool.done.Done()
	defer l.cancel(nil)
	err := l.talk()
	if cause := context.Cause(l.ctx); cause != nil {
		err = cause
	}
	if l.pool.ctx.Err() != nil || err == nil {
		err = errPoolClosed
	}
	l.pool.remember(l.target.Address, err)
	l.pool.forget(l)
	if l.pool.broken != nil && err != errIdle && l.pool.ctx.Err() == nil {
		l.pool.broken(l.target, err)
	}
	l.fail(err)
	l.pool.ended(l, err)
}

// talk dials, then reads and writes until either fails.
func (l *link) talk() error {
	connection, release, err := l.dial()
	if err != nil {
		return err
	}
	defer release()
	defer func() { _ = connection.CloseWithError(codeClosing, "closing") }()
	stream, err := connection.OpenStreamSync(l.ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeClosing)
		stream.CancelWrite(codeClosing)
	})
	defer stop()
	writeEnded := make(chan error, 1)
	go func() {
		defer cancel()
		writeEnded <- l.write(ctx, stream)
	}()
	readError := l.read(bufio.NewReaderSize(stream, bufferBytes))
	cancel()
	<-writeEnded
	return readError
}

// dial connects, by the pool's socket or after a failure by one of its own, which
// release then closes.
func (l *link) dial() (*quic.Conn, func(), error) {
	address, err := net.ResolveUDPAddr("udp", l.target.Address)
	if err != nil {
		return nil, nil, err
	}
	transport, release, err := l.pool.transportTo(l.target.Address)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	connection, err := transport.Dial(ctx, address, l.pool.tls, quicConfig())
	if err != nil {
		release()
		return nil, nil, err
	}
	return connection, release, nil
}

func (l *link) write(ctx context.Context, stream *quic.Stream) error {
	writer := bufio.NewWriterSize(stream, bufferBytes)
	if _, err := protodelim.MarshalTo(writer, helloEnvelope(l.pool.self)); err != nil {
		return err
	}
	out := outbox{queue: l.out.Items(), writer: writer, wanted: l.markWritten}
	return out.write(ctx)
}

// markWritten decides whether a queued message is still wanted. A request that
// was withdrawn while the link was being opened is past its time: it is never
// sent, and neither is its cancellation.
func (l *link) markWritten(envelope *peerpb.Envelope) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if envelope.GetCancel() != nil || envelope.GetHello() != nil {
		return true
	}
	c := l.calls[envelope.GetId()]
	if c == nil {
		return false
	}
	c.written = true
	l.watch.wrote()
	return true
}

func (l *link) read(reader *bufio.Reader) error {
	for {
		envelope, err := readEnvelope(reader)
		if err != nil {
			return err
		}
		l.deliver(envelope)
	}
}

func (l *link) deliver(envelope *peerpb.Envelope) {
	l.mutex.Lock()
	l.watch.heard()
	c := l.calls[envelope.GetId()]
	if c != nil && envelope.GetLast() {
		delete(l.calls, envelope.GetId())
	}
	l.mutex.Unlock()
	if c != nil {
		c.sink(envelope, nil)
	}
}

func (l *link) remove(id uint64) *call {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.calls[id]
	delete(l.calls, id)
	return c
}

// fail ends every open request. A request that was never written did not run.
func (l *link) fail(cause error) {
	l.mutex.Lock()
	l.broken = cause
	calls := l.calls
	l.calls = nil
	l.mutex.Unlock()
	for _, c := range calls {
		outcome := core.NotRun
		if c.written {
			outcome = core.Unknown
		}
		c.sink(nil, l.failure(outcome, cause))
	}
}

func (l *link) failure(outcome core.Outcome, cause error) *LinkError {
	return &LinkError{Peer: l.target, Outcome: outcome, Cause: cause}
}
