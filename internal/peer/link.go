package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

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
	// carried is guarded by mutex.
	carried sampled
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

// run opens the link and serves it until it ends. Who waits learns of the end
// only after the pool has forgotten the link: a retry then opens a new one.
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
	l.carries(connection)
	defer l.sample()
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
	out := outbox{queue: l.out.Items(), writer: writer, wanted: l.markWritten, wrote: l.pool.meter.message(l.target.Node)}
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

// deliver hands a reply to its call. A reply to a call that was cancelled or has
// ended is dropped.
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

// remove ends a call without telling its sink; nil means that it had ended.
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
