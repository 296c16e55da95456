// Package peer transports messages between nodes over QUIC with mutual TLS. Each
// requesting node has one long-lived stream of length-prefixed messages; writes
// are batched.
package peer

import (
	"bufio"
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// Protocol is the version of the messages of this program. Peers of other versions
// are compatible, since fields are only added.
const Protocol = 1

// Limits and times of the peer transport.
const (
	// MaxMessageBytes is the maximum size of a message; a larger one ends the stream.
	MaxMessageBytes = 4 << 20
	bufferBytes     = 8 << 10
	writeRingDepth  = 1024
	quicIdleTimeout = 30 * time.Second
	// keepAliveInterval is the interval of keepalives on an idle connection. A keepalive
	// and its acknowledgement take about 130 bytes with IP and UDP headers: at 10 s,
	// 100 outbound and 100 inbound links cost 2.6 KB/s of a node's 29 KB/s.
	keepAliveInterval = 10 * time.Second
	dialTimeout       = 2 * time.Second
	maxStreams        = 16
	// codeClosing is the QUIC application error code of an orderly close.
	codeClosing = 0
	// codeProtocol is the error code for a peer that violates the protocol.
	codeProtocol = 1
)

// Identity identifies a node in the hello message that opens a stream.
type Identity struct {
	Node        core.NodeID
	Incarnation uint64
}

// Target is a node that requests are sent to.
type Target struct {
	Node    core.NodeID
	Address string
}

// Inbound is a request from a peer.
type Inbound struct {
	From     Identity
	Envelope *peerpb.Envelope
	// Context ends when the peer cancels the request or its stream ends.
	Context context.Context
	reply   func(*peerpb.Envelope)
}

// Reply sends one reply; last marks the final one. Replies are dropped once the
// request's context has ended.
func (i *Inbound) Reply(envelope *peerpb.Envelope, last bool) {
	envelope.Id = i.Envelope.GetId()
	envelope.Last = last
	i.reply(envelope)
}

// NewInbound creates an inbound request: one from a stream, from the node itself or
// in a test.
func NewInbound(ctx context.Context, from Identity, envelope *peerpb.Envelope, reply func(*peerpb.Envelope)) *Inbound {
	return &Inbound{From: from, Envelope: envelope, Context: ctx, reply: reply}
}

// Handler handles requests. It must not block: it replies with a Refusal to a
// request that it cannot queue.
type Handler interface {
	Handle(inbound *Inbound)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(inbound *Inbound)

// Handle implements Handler.
func (f HandlerFunc) Handle(inbound *Inbound) { f(inbound) }

// Sink receives the replies to one request in order, called by one goroutine at a
// time. A non-nil failure or a reply marked last ends the request.
type Sink func(reply *peerpb.Envelope, failure *LinkError)

// LinkError reports that a request ended without a final reply. Outcome is NotRun
// only if no part of the request was written.
type LinkError struct {
	Peer    Target
	Outcome core.Outcome
	Cause   error
}

// Error implements error.
func (e *LinkError) Error() string {
	return "peer " + string(e.Peer.Node) + " at " + e.Peer.Address + " (" + e.Outcome.String() + "): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Cause }

// Sender sends requests to peers.
type Sender interface {
	// Send queues a request and returns at once; the Canceller cancels it.
	Send(target Target, request *peerpb.Envelope, sink Sink) Canceller
}

// Canceller cancels a request. The request's sink may still be called once more.
type Canceller interface{ Cancel() }

// NewRefusal creates the reply that refuses a whole request, which was not run.
func NewRefusal(reason core.Reason) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Refusal{Refusal: &peerpb.Refusal{Reason: string(reason)}}}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        quicIdleTimeout,
		KeepAlivePeriod:       keepAliveInterval,
		HandshakeIdleTimeout:  dialTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		// Path MTU discovery costs 11.6 KB per link, half of the cost of opening one, and most
		// links carry only heartbeats. Packets of 1,280 bytes pass every path.
		DisablePathMTUDiscovery: true,
		// 0-RTT data can be captured and replayed, which would run a
		// non-idempotent request twice. It is disabled at both ends.
		Allow0RTT: false,
	}
}

func helloEnvelope(self Identity) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
		Node:        string(self.Node),
		Incarnation: self.Incarnation,
		Protocol:    Protocol,
	}}}
}

// readEnvelope reads one message. Unknown fields and bodies are kept unparsed.
func readEnvelope(reader *bufio.Reader) (*peerpb.Envelope, error) {
	envelope := &peerpb.Envelope{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	if err := options.UnmarshalFrom(reader, envelope); err != nil {
		return nil, err
	}
	return envelope, nil
}

// outbox is the queue of messages for one stream.
type outbox struct {
	queue  <-chan *peerpb.Envelope
	writer *bufio.Writer
	// shouldWrite reports whether a queued message is still to be written.
	shouldWrite func(*peerpb.Envelope) bool
	// flush, once closed, ends the writing when the queue is empty; it may be nil.
	flush <-chan struct{}
	// onWritten is called with each message that was written and its size in bytes.
	onWritten func(*peerpb.Envelope, int)
}

// write writes messages until the context ends, which is an error, or flush is
// closed. It flushes the writer only when the queue is empty, so that messages
// share packets under load.
func (o *outbox) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case envelope := <-o.queue:
			if err := o.writeMessage(envelope); err != nil {
				return err
			}
		case <-o.flush:
			return o.drain()
		}
	}
}

func (o *outbox) drain() error {
	for len(o.queue) > 0 {
		if err := o.writeMessage(<-o.queue); err != nil {
			return err
		}
	}
	return o.writer.Flush()
}

func (o *outbox) writeMessage(envelope *peerpb.Envelope) error {
	if o.shouldWrite(envelope) {
		bytes, err := protodelim.MarshalTo(o.writer, envelope)
		if err != nil {
			return err
		}
		o.onWritten(envelope, bytes)
	}
	if len(o.queue) > 0 {
		return nil
	}
	return o.writer.Flush()
}
