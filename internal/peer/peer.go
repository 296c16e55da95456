// Package peer carries messages between the tier's nodes: QUIC with mutual TLS,
// one long-lived framed stream for each asking node, writes batched.
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

// Protocol is the version of the messages that this program speaks. A peer of
// another version is spoken to all the same: fields are only ever added.
const Protocol = 1

// Limits and times of the peer transport.
const (
	// MaxMessageBytes bounds one message; a longer one ends the stream.
	MaxMessageBytes = 4 << 20
	bufferBytes     = 8 << 10
	writeRingDepth  = 1024
	idleTimeout     = 30 * time.Second
	// keepAlive is how often an idle connection is written to. A keepalive and
	// its acknowledgement take about 130 bytes with IP and UDP headers: 100
	// links out and 100 in cost 2.6 KB/s of a node's 29 KB/s at 10 s.
	keepAlive   = 10 * time.Second
	dialTimeout = 2 * time.Second
	maxStreams  = 16
	// codeClosing is the QUIC application error code of an orderly end.
	codeClosing = 0
	// codeProtocol is sent when a peer breaks the protocol.
	codeProtocol = 1
)

// Identity is what a node says of itself when a stream opens.
type Identity struct {
	Node        core.NodeID
	Incarnation uint64
}

// Target is a node to be asked.
type Target struct {
	Node    core.NodeID
	Address string
}

// Inbound is a request from a peer.
type Inbound struct {
	From     Identity
	Envelope *peerpb.Envelope
	// Context ends when the peer withdraws the request or its stream ends.
	Context context.Context
	reply   func(*peerpb.Envelope)
}

// Reply sends one reply; last marks the final one. Replies after the request's
// context has ended are dropped.
func (i *Inbound) Reply(envelope *peerpb.Envelope, last bool) {
	envelope.Id = i.Envelope.GetId()
	envelope.Last = last
	i.reply(envelope)
}

// NewInbound makes a request that did not come over a stream: a node asking
// itself, or a test.
func NewInbound(ctx context.Context, from Identity, envelope *peerpb.Envelope, reply func(*peerpb.Envelope)) *Inbound {
	return &Inbound{From: from, Envelope: envelope, Context: ctx, reply: reply}
}

// Handler takes requests. It must not block: a request that cannot be queued is
// refused with a Refusal.
type Handler interface {
	Handle(inbound *Inbound)
}

// HandlerFunc is a function as a Handler.
type HandlerFunc func(inbound *Inbound)

// Handle implements Handler.
func (f HandlerFunc) Handle(inbound *Inbound) { f(inbound) }

// Sink takes the replies to one request, in order, from a single goroutine at a
// time. A non-nil failure ends the request, as does a reply marked last.
type Sink func(reply *peerpb.Envelope, failure *LinkError)

// LinkError says that a request ended without a final reply. Outcome is NotRun
// only when nothing of the request was written.
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
	// Send queues a request and returns at once; the ticket withdraws it.
	Send(target Target, request *peerpb.Envelope, sink Sink) Canceller
}

// Canceller withdraws a request. Its sink may still be called once more.
type Canceller interface{ Cancel() }

// NewRefusal makes the reply that a whole request was not run.
func NewRefusal(reason core.Reason) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Refusal{Refusal: &peerpb.Refusal{Reason: string(reason)}}}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		HandshakeIdleTimeout:  dialTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		// The search for a larger packet costs 11.6 KB a link, half of what opening one does, and
		// most links carry heartbeats only. Packets of 1,280 bytes pass every path.
		DisablePathMTUDiscovery: true,
		// 0-RTT data can be replayed by anyone who captured it, which would
		// run a must-not-repeat request twice. It stays off at both ends.
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

// readEnvelope reads one message. Unknown fields and bodies are kept unread.
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
	// wanted says whether a queued message is still to be written.
	wanted func(*peerpb.Envelope) bool
	// finish, once closed, ends the writing when the queue is empty; nil is never.
	finish <-chan struct{}
	// wrote is told each message that was written, with its bytes.
	wrote func(*peerpb.Envelope, int)
}

// write writes the wanted messages until the context ends, which is an error, or
// finish is closed. It flushes only when the queue is empty, so that messages
// under load share packets.
func (o *outbox) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case envelope := <-o.queue:
			if err := o.put(envelope); err != nil {
				return err
			}
		case <-o.finish:
			return o.drain()
		}
	}
}

func (o *outbox) drain() error {
	for len(o.queue) > 0 {
		if err := o.put(<-o.queue); err != nil {
			return err
		}
	}
	return o.writer.Flush()
}

func (o *outbox) put(envelope *peerpb.Envelope) error {
	if o.wanted(envelope) {
		bytes, err := protodelim.MarshalTo(o.writer, envelope)
		if err != nil {
			return err
		}
		o.wrote(envelope, bytes)
	}
	if len(o.queue) > 0 {
		return nil
	}
	return o.writer.Flush()
}
