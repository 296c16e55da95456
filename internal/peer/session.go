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

// session is the stream of one peer with its open requests and queued replies.
type session struct {
	ctx    context.Context
	server *Server
	from   Identity
	out    *ring.Ring[*peerpb.Envelope]
	mutex  sync.Mutex
	open   map[uint64]openRequest
}

// openRequest is a request that is not yet answered.
type openRequest struct {
	cancel     context.CancelFunc
	delaysStop bool
}

// delaysStop reports whether a planned stop waits for the request, as opposed to
// heartbeats and watches.
func delaysStop(envelope *peerpb.Envelope) bool {
	return envelope.GetBundleRequest() != nil || envelope.GetSubmitRequest() != nil || envelope.GetHandoverRequest() != nil || envelope.GetDelegateRequest() != nil
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
			s.endRequest(envelope.GetId())
			continue
		}
		if envelope.GetHello() != nil {
			// A hello is also a liveness check: the reply shows that both directions work.
			_ = s.out.Put(s.ctx, helloEnvelope(s.server.self))
			continue
		}
		s.startRequest(envelope)
	}
}

// startRequest passes a request to the handler.
func (s *session) startRequest(envelope *peerpb.Envelope) {
	ctx, cancel := context.WithCancel(s.ctx)
	// If the peer reuses an id, the earlier request with that id ends.
	s.endRequest(envelope.GetId())
	delays := delaysStop(envelope)
	s.mutex.Lock()
	s.open[envelope.GetId()] = openRequest{cancel: cancel, delaysStop: delays}
	s.mutex.Unlock()
	if delays {
		s.server.openRequests.Add(1)
	}
	s.server.handler.Handle(NewInbound(ctx, s.from, envelope, s.sendReply))
}

func (s *session) sendReply(reply *peerpb.Envelope) {
	if reply.GetLast() {
		defer s.endRequest(reply.GetId())
	}
	_ = s.out.Put(s.ctx, reply)
}

// endRequest removes a request that is answered or cancelled and ends its context.
func (s *session) endRequest(id uint64) {
	s.mutex.Lock()
	request, known := s.open[id]
	delete(s.open, id)
	s.mutex.Unlock()
	if !known {
		return
	}
	if request.delaysStop {
		s.server.openRequests.Add(-1)
	}
	request.cancel()
}

// endAllRequests ends the open requests after the stream has ended.
func (s *session) endAllRequests() {
	s.mutex.Lock()
	ids := slices.Collect(maps.Keys(s.open))
	s.mutex.Unlock()
	for _, id := range ids {
		s.endRequest(id)
	}
}

// write sends the session's replies. An orderly close leaves the reading side open
// until the peer reads the end of the stream and closes the connection.
func (s *session) write(stream *quic.Stream, cancel context.CancelFunc) {
	out := outbox{
		queue:       s.out.Items(),
		writer:      bufio.NewWriterSize(stream, bufferBytes),
		shouldWrite: alwaysWrite,
		flush:       s.server.flush,
		onWritten:   s.server.meter.messageCounter(s.from.Node),
	}
	if err := out.write(s.ctx); err != nil {
		stream.CancelWrite(codeClosing)
		cancel()
		return
	}
	_ = stream.Close()
}

// alwaysWrite is an outbox.shouldWrite that holds for every message.
func alwaysWrite(*peerpb.Envelope) bool { return true }
