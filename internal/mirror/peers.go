package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

var errPeerRefused = errors.New("the peer refused to send its copy")

// maxHeldRequests bounds the number of peer requests held at once.
const maxHeldRequests = 1024

// unconfirmedAge is the age reported for a copy that was never confirmed.
const unconfirmedAge = time.Hour

// PeerClient reads the copies of peers.
type PeerClient struct{ Sender peer.Sender }

// Fetch implements Peers.Fetch over the links between nodes.
func (c PeerClient) Fetch(ctx context.Context, from peer.Target, position Position, wait time.Duration) (Delta, Status, error) {
	request := &peerpb.Envelope{Body: &peerpb.Envelope_MirrorRequest{MirrorRequest: &peerpb.MirrorRequest{
		After:  position.Revision,
		Era:    &position.Era,
		Rank:   position.Rank,
		WaitMs: uint64(wait.Milliseconds()),
	}}}
	type result struct {
		reply   *peerpb.Envelope
		failure *peer.LinkError
	}
	results := make(chan result, 1)
	canceller := c.Sender.Send(from, request, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		select {
		case results <- result{reply, failure}:
		default:
		}
	})
	select {
	case got := <-results:
		if got.failure != nil {
			return Delta{}, Status{}, got.failure
		}
		if got.reply.GetMirrorReply() == nil {
			return Delta{}, Status{}, errPeerRefused
		}
		return decode(got.reply.GetMirrorReply())
	case <-ctx.Done():
		canceller.Cancel()
		return Delta{}, Status{}, ctx.Err()
	}
}

// decode converts a reply. Items that cannot be unpacked are an error: without them, the delta would move
// the copy's revision past changes that it does not have.
func decode(reply *peerpb.MirrorReply) (Delta, Status, error) {
	delta := Delta{Era: reply.GetEra(), After: reply.GetAfter(), UpTo: reply.GetUpTo(), Whole: reply.GetWhole()}
	items := reply.GetItems()
	if len(reply.GetPacked()) > 0 {
		unpacked, err := unpack(reply.GetPacked())
		if err != nil {
			return Delta{}, Status{}, err
		}
		items = unpacked
	}
	for _, item := range items {
		delta.Items = append(delta.Items, Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Rank: item.GetRank(), Removed: item.GetRemoved()})
	}
	// A program that sends no watched_ms counts as following a running watch while its copy is not stale.
	status := Status{Age: milliseconds(reply.GetAgeMs()), Watched: milliseconds(reply.GetWatchedMs()), Outage: milliseconds(reply.GetOutageMs())}
	return delta, status, nil
}

func milliseconds(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Server answers requests of peers from a copy.
type Server struct {
	Copy *Copy
	// Status returns the status of the copy, or false if it was never confirmed.
	Status func() (Status, bool)
	slots  chan struct{}

	mutex     sync.Mutex
	lastReply encodedReply
}

// encodedReply holds the items of the latest reply. The followers of a head request the same changes at
// the same moment: encoding and compressing each reply anew would occupy a small VM for longer than
// a change may take.
type encodedReply struct {
	position Position
	version  uint64
	delta    Delta
	items    []*peerpb.MirrorItem
	packed   []byte
}

// NewServer returns a server of a copy.
func NewServer(copied *Copy, status func() (Status, bool)) *Server {
	return &Server{Copy: copied, Status: status, slots: make(chan struct{}, maxHeldRequests)}
}

// Handle answers a request, and holds it while there is no change to send.
func (s *Server) Handle(inbound *peer.Inbound) {
	select {
	case s.slots <- struct{}{}:
		go func() {
			defer func() { <-s.slots }()
			s.answer(inbound)
		}()
	default:
		inbound.Reply(peer.NewRefusal(core.ReasonOverloaded), true)
	}
}

func (s *Server) answer(inbound *peer.Inbound) {
	request := inbound.Envelope.GetMirrorRequest()
	ctx, cancel := context.WithTimeout(inbound.Context, time.Duration(request.GetWaitMs())*time.Millisecond)
	defer cancel()
	for {
		changed := s.Copy.Changed()
		if mustReplyNow(s.Copy.Position(), s.requestPosition(request)) {
			break
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		}
		break
	}
	if inbound.Context.Err() != nil {
		return
	}
	inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_MirrorReply{MirrorReply: s.reply(s.requestPosition(request))}}, true)
}

// requestPosition returns the position of the requesting copy. A program that does not know eras is assumed
// to be in this copy's era: if it counted as behind, it would request everything again without end.
func (s *Server) requestPosition(request *peerpb.MirrorRequest) Position {
	if request.Era == nil {
		own := s.Copy.Position()
		return Position{Era: own.Era, Revision: request.GetAfter(), Rank: own.Rank}
	}
	return Position{Era: request.GetEra(), Revision: request.GetAfter(), Rank: request.GetRank()}
}

// mustReplyNow reports whether to reply without waiting: there are changes that the peer lacks, or it has
// reached a newer era and must read from other nodes.
func mustReplyNow(own, remote Position) bool {
	if own.Revision == 0 {
		return false
	}
	return own.Era != remote.Era || own.Revision > remote.Revision || own.Rank > remote.Rank
}

func (s *Server) reply(position Position) *peerpb.MirrorReply {
	status, known := s.Status()
	if !known {
		status.Age, status.Watched = unconfirmedAge, unconfirmedAge
	}
	watchedMs := uint64(status.Watched.Milliseconds())
	served := s.encodeItems(position)
	delta := served.delta
	return &peerpb.MirrorReply{
		Era: delta.Era, After: delta.After, UpTo: delta.UpTo, Whole: delta.Whole && delta.UpTo > 0, AgeMs: uint64(status.Age.Milliseconds()), WatchedMs: &watchedMs, OutageMs: uint64(status.Outage.Milliseconds()),
		Items: served.items, Packed: served.packed,
	}
}

// encodeItems encodes the items of a reply, or reuses those of the latest one.
func (s *Server) encodeItems(position Position) encodedReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	version, own := s.Copy.Version()
	if s.lastReply.version == version && s.lastReply.position == position && s.lastReply.delta.UpTo > 0 {
		s.lastReply.delta.UpTo = max(s.lastReply.delta.UpTo, own.Revision)
		return s.lastReply
	}
	served := encodedReply{position: position, version: version, delta: s.Copy.Since(position)}
	size := 0
	for _, item := range served.delta.Items {
		size += len(item.Key) + len(item.Value)
		served.items = append(served.items, &peerpb.MirrorItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Rank: item.Rank, Removed: item.Removed})
	}
	served.delta.Items = nil
	if size >= packThreshold {
		if packed, err := pack(served.items); err == nil {
			served.packed, served.items = packed, nil
		}
	}
	s.lastReply = served
	return served
}
