package peer

import (
	"bufio"
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

// session is one peer's stream: its open requests and its replies.
type session struct {
	ctx    context.Context
	server *Server
	from   Identity
	out    *ring.Ring[*peerpb.Envelope]
	mutex  sync.Mutex
	open   map[uint64]openRequest
}

// openRequest is a request that is not yet answered; work is isWork of it.
type openRequest struct {
	cancel context.CancelFunc
	work   bool
}

// isWork tells what a planned stop waits for from heartbeats and watches.
func isWork(envelope *peerpb.Envelope) bool {
	return envelope.GetBundleRequest() != nil || envelope.GetSubmitRequest() != nil || envelope.GetHandoverRequest() != nil
}

func newSession(ctx context.Context, server *Server, from Identity) *session {
	s := &session{
		ctx:    ctx,
		server: server,
		from:   from,
		out:    ring.New[*peerpb.Envelope](writeRingDepth),
		open:   map[uint64]openRequest{},
	}
	_ = s.out.Put(ctx, helloEnvelope(server.self))
	return s
}

func (s *session) read(reader *bufio.Reader) {
	for {
		envelope, err := readEnvelope(reader)
		if err != nil {
			return
		}
		if envelope.GetCancel() != nil {
			s.end(envelope.GetId())
			continue
		}
		if envelope.GetHello() != nil {
			// A liveness check: the answer proves that both ways work.
			_ = s.out.Put(s.ctx, helloEnvelope(s.server.self))
			continue
		}
		s.begin(envelope)
	}
}

// begin hands a request to the handler.
func (s *session) begin(envelope *peerpb.Envelope) {
	ctx, cancel := context.WithCancel(s.ctx)
	// A peer that uses an id twice ends the former request.
	s.end(envelope.GetId())
	work := isWork(envelope)
	s.mutex.Lock()
	s.open[envelope.GetId()] = openRequest{cancel: cancel, work: work}
	s.mutex.Unlock()
	if work {
		s.server.open.Add(1)
	}
	s.server.handler.Handle(NewInbound(ctx, s.from, envelope, s.send))
}

func (s *session) send(reply *peerpb.Envelope) {
	if reply.GetLast() {
		defer s.end(reply.GetId())
	}
	_ = s.out.Put(s.ctx, reply)
}

// end forgets a request that is answered or withdrawn and ends its context.
func (s *session) end(id uint64) {
	s.mutex.Lock()
	request, known := s.open[id]
	delete(s.open, id)
	s.mutex.Unlock()
	if !known {
		return
	}
	if request.work {
		s.server.open.Add(-1)
	}
	request.cancel()
}

// abandon ends the requests of a stream that has ended.
func (s *session) abandon() {
	s.mutex.Lock()
	ids := slices.Collect(maps.Keys(s.open))
	s.mutex.Unlock()
	for _, id := range ids {
		s.end(id)
	}
}

// write sends the session's replies. An orderly end leaves the reading side open
// until the peer, which sees the end of the stream, closes the connection.
func (s *session) write(stream *quic.Stream, cancel context.CancelFunc) {
	out := outbox{
		queue:  s.out.Items(),
		writer: bufio.NewWriterSize(stream, bufferBytes),
		wanted: writeAll,
		finish: s.server.finish,
		wrote:  s.server.meter.message(s.from.Node),
	}
	if err := out.write(s.ctx); err != nil {
		stream.CancelWrite(codeClosing)
		cancel()
		return
	}
	_ = stream.Close()
}

// writeAll wants every message.
func writeAll(*peerpb.Envelope) bool { return true }
