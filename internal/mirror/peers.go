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

var errRefused = errors.New("the peer does not give its copy")

// maxServed bounds the peers' questions that are held at once.
const maxServed = 1024

// unconfirmed is the age told of a copy that was never confirmed.
const unconfirmed = time.Hour

// Links asks peers for their copies.
type Links struct{ Asker peer.Sender }

// Fetch is Peers.Fetch over the links between nodes.
func (l Links) Fetch(ctx context.Context, from peer.Target, reached Reached, waiting time.Duration) (Delta, time.Duration, error) {
	request := &peerpb.Envelope{Body: &peerpb.Envelope_MirrorRequest{MirrorRequest: &peerpb.MirrorRequest{
		After:  reached.Revision,
		Era:    &reached.Era,
		Rank:   reached.Rank,
		WaitMs: uint64(waiting.Milliseconds()),
	}}}
	type answer struct {
		reply   *peerpb.Envelope
		failure *peer.LinkError
	}
	answers := make(chan answer, 1)
	ticket := l.Asker.Send(from, request, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		select {
		case answers <- answer{reply, failure}:
		default:
		}
	})
	select {
	case got := <-answers:
		if got.failure != nil {
			return Delta{}, 0, got.failure
		}
		if got.reply.GetMirrorReply() == nil {
			return Delta{}, 0, errRefused
		}
		return decode(got.reply.GetMirrorReply())
	case <-ctx.Done():
		ticket.Cancel()
		return Delta{}, 0, ctx.Err()
	}
}

// decode reads a reply. One whose items cannot be read is an error: taken without them
// it would move the copy's revision past changes that it does not have.
func decode(reply *peerpb.MirrorReply) (Delta, time.Duration, error) {
	delta := Delta{Era: reply.GetEra(), After: reply.GetAfter(), UpTo: reply.GetUpTo(), Whole: reply.GetWhole()}
	items := reply.GetItems()
	if len(reply.GetPacked()) > 0 {
		unpacked, err := unpack(reply.GetPacked())
		if err != nil {
			return Delta{}, 0, err
		}
		items = unpacked
	}
	for _, one := range items {
		delta.Items = append(delta.Items, Item{Key: one.GetKey(), Value: one.GetValue(), Revision: one.GetRevision(), Rank: one.GetRank(), Removed: one.GetRemoved()})
	}
	return delta, time.Duration(reply.GetAgeMs()) * time.Millisecond, nil
}

// Server answers peers from a copy.
type Server struct {
	Copy *Copy
	// Age is how long ago the copy was confirmed; false is never.
	Age   func() (time.Duration, bool)
	slots chan struct{}

	mutex sync.Mutex
	last  servedItems
}

// servedItems are the items of the reply made last. The followers of a head ask for the same
// changes at the same moment: to make and compress each reply anew would keep a small VM busy for
// longer than a change may take.
type servedItems struct {
	reached Reached
	version uint64
	delta   Delta
	items   []*peerpb.MirrorItem
	packed  []byte
}

// NewServer makes a server of a copy.
func NewServer(copied *Copy, age func() (time.Duration, bool)) *Server {
	return &Server{Copy: copied, Age: age, slots: make(chan struct{}, maxServed)}
}

// Handle answers a request, held back while there is nothing new.
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
		if news(s.Copy.Reached(), s.reachedBy(request)) {
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
	inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_MirrorReply{MirrorReply: s.reply(s.reachedBy(request))}}, true)
}

// reachedBy is how far the asker's copy has come. One whose program does not know eras is taken to
// be of this copy's: told that it is behind, it would ask for everything without end.
func (s *Server) reachedBy(request *peerpb.MirrorRequest) Reached {
	if request.Era == nil {
		own := s.Copy.Reached()
		return Reached{Era: own.Era, Revision: request.GetAfter(), Rank: own.Rank}
	}
	return Reached{Era: request.GetEra(), Revision: request.GetAfter(), Rank: request.GetRank()}
}

// news reports whether an asker is to be answered at once: there is something that it lacks, or it has
// reached a newer era and must turn to others.
func news(own, asker Reached) bool {
	if own.Revision == 0 {
		return false
	}
	return own.Era != asker.Era || own.Revision > asker.Revision || own.Rank > asker.Rank
}

func (s *Server) reply(reached Reached) *peerpb.MirrorReply {
	age, known := s.Age()
	if !known {
		age = unconfirmed
	}
	served := s.serve(reached)
	delta := served.delta
	return &peerpb.MirrorReply{
		Era: delta.Era, After: delta.After, UpTo: delta.UpTo, Whole: delta.Whole && delta.UpTo > 0, AgeMs: uint64(age.Milliseconds()),
		Items: served.items, Packed: served.packed,
	}
}

// serve makes the items of a reply, or takes those of the last one.
func (s *Server) serve(reached Reached) servedItems {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	version, own := s.Copy.Mark()
	if s.last.version == version && s.last.reached == reached && s.last.delta.UpTo > 0 {
		s.last.delta.UpTo = max(s.last.delta.UpTo, own.Revision)
		return s.last
	}
	served := servedItems{reached: reached, version: version, delta: s.Copy.Since(reached)}
	size := 0
	for _, item := range served.delta.Items {
		size += len(item.Key) + len(item.Value)
		served.items = append(served.items, &peerpb.MirrorItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Rank: item.Rank, Removed: item.Removed})
	}
	served.delta.Items = nil
	if size >= packFrom {
		if packed, err := pack(served.items); err == nil {
			served.packed, served.items = packed, nil
		}
	}
	s.last = served
	return served
}
