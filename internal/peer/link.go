package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

// link is one connection to a peer with its open requests.
type link struct {
	pool     *Pool
	ctx      context.Context
	cancel   context.CancelCauseFunc
	target   Target
	outgoing *ring.Ring[*peerpb.Envelope]
	mutex    sync.Mutex
	calls    map[uint64]*call
	endCause error
	liveness linkLiveness
	// traffic is guarded by mutex.
	traffic trafficSample
}

// call is one open request.
type call struct {
	link *link
	id   uint64
	sink Sink
	// written is set before any byte of the request can be sent.
	written bool
}

// Cancel implements Canceller.
func (c *call) Cancel() {
	removed := c.link.remove(c.id)
	if removed != nil && removed.written {
		c.link.outgoing.TryPut(&peerpb.Envelope{Id: c.id, Body: &peerpb.Envelope_Cancel{Cancel: &peerpb.Cancel{}}})
	}
}

// enqueue queues a call. It reports false if the link was closed as idle: the call
// must then use a new link.
func (l *link) enqueue(c *call, request *peerpb.Envelope) bool {
	l.mutex.Lock()
	cause := l.endCause
	if cause == nil {
		l.calls[c.id] = c
		l.liveness.lastRequestAt = time.Now()
	}
	l.mutex.Unlock()
	if cause == errIdle {
		return false
	}
	if cause != nil {
		c.sink(nil, l.newLinkError(core.NotRun, cause))
		return true
	}
	if !l.outgoing.TryPut(request) && l.remove(c.id) != nil {
		c.sink(nil, l.newLinkError(core.NotRun, errRingFull))
	}
	return true
}

// run opens the link and serves it until it ends. The open calls fail only after
// the pool has removed the link, so that a retry opens a new one.
func (l *link) run() {
	defer l.pool.done.Done()
	defer l.cancel(nil)
	err := l.connectAndServe()
	if cause := context.Cause(l.ctx); cause != nil {
		err = cause
	}
	if l.pool.ctx.Err() != nil || err == nil {
		err = errPoolClosed
	}
	if errors.Is(err, io.EOF) {
		// Only FlushReplies ends the stream in order.
		err = errStopping
	}
	l.pool.recordEnd(l.target.Address, err)
	l.pool.removeLink(l)
	if l.pool.onBroken != nil && err != errIdle && l.pool.ctx.Err() == nil {
		l.pool.onBroken(l.target, err)
	}
	l.fail(err)
	l.pool.notifyEnd(l, err)
}

// connectAndServe dials, then reads and writes until one of them fails.
func (l *link) connectAndServe() error {
	connection, release, err := l.dial()
	if err != nil {
		return err
	}
	defer release()
	l.startSampling(connection)
	defer l.sampleTraffic()
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

// dial connects through the pool's socket or, after a failed link, through a
// separate socket, which the returned function closes.
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
	out := outbox{queue: l.outgoing.Items(), writer: writer, shouldWrite: l.markWritten, onWritten: l.pool.meter.messageCounter(l.target.Node)}
	return out.write(ctx)
}

// markWritten reports whether a queued message is still to be sent and marks its
// call as written. A request that was cancelled before it was written, such as
// while the link was being opened, is never sent, nor is its cancellation.
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
	l.liveness.requestWritten()
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

// deliver passes a reply to its call and drops it if the call was cancelled or has
// ended.
func (l *link) deliver(envelope *peerpb.Envelope) {
	l.mutex.Lock()
	l.liveness.messageReceived()
	c := l.calls[envelope.GetId()]
	if c != nil && envelope.GetLast() {
		delete(l.calls, envelope.GetId())
	}
	l.mutex.Unlock()
	if c != nil {
		c.sink(envelope, nil)
	}
}

// remove ends a call without calling its sink. It returns nil if the call had
// already ended.
func (l *link) remove(id uint64) *call {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.calls[id]
	delete(l.calls, id)
	return c
}

// fail ends every open request. A request that was never written has not run; any
// other may have run.
func (l *link) fail(cause error) {
	l.mutex.Lock()
	l.endCause = cause
	calls := l.calls
	l.calls = nil
	l.mutex.Unlock()
	for _, c := range calls {
		outcome := core.NotRun
		if c.written {
			outcome = core.Unknown
		}
		c.sink(nil, l.newLinkError(outcome, cause))
	}
}

func (l *link) newLinkError(outcome core.Outcome, cause error) *LinkError {
	return &LinkError{Peer: l.target, Outcome: outcome, Cause: cause}
}
