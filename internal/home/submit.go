package home

import (
	"context"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

// defaultTimeout stands while no text says the service's.
const defaultTimeout = 5 * time.Second

// Request is a caller's must-not-repeat request as its entry takes it.
type Request struct {
	Customer core.Customer
	Key      string
	Service  string
	Payload  []byte
	// Timeout is the time the caller gives; 0 takes the service's.
	Timeout time.Duration
}

// Submit is the entry's part: it takes the request to the home that the key
// names and returns what holds for the key. It judges nothing but the key's form,
// since an entry with an older text or view than the one that took an earlier
// try must not call "not run" what that one let run.
func (h *Home) Submit(ctx context.Context, request Request) once.Reply {
	key, err := once.ParseKey(request.Key)
	if err != nil {
		return faultReply(err)
	}
	timeout := h.timeout(request)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asks := &submission{home: h, key: key, request: request, deadline: h.options.Now() + timeout}
	return asks.run(ctx)
}

func (h *Home) timeout(request Request) time.Duration {
	if request.Timeout > 0 {
		return request.Timeout
	}
	if config := h.options.Belief.Config(); config != nil {
		if service := config.Catalog.Services[request.Service]; service != nil {
			return service.Timeout
		}
	}
	return defaultTimeout
}

// submission runs a once.Submission with messages.
type submission struct {
	once.Submission
	home     *Home
	key      once.Key
	request  Request
	deadline core.Time
}

func (s *submission) run(ctx context.Context) once.Reply {
	view := s.home.options.Belief.View()
	_, listed := view.Node(s.key.Node)
	holder := s.FirstHolder(listed)
	for {
		answered, inTime := s.ask(ctx, holder)
		if !inTime {
			return s.TimeoutReply()
		}
		next, pause, reply := s.NextHolder(answered)
		if next == once.HolderNone {
			return reply
		}
		holder = next
		if !wait.For(ctx, pause) {
			return s.TimeoutReply()
		}
	}
}

// ask asks one holder; false when the caller's time ends first.
func (s *submission) ask(ctx context.Context, holder once.Holder) (once.HolderResult, bool) {
	node, ok := s.node(holder)
	if !ok {
		return once.HolderResult{Outcome: core.NotRun}, true
	}
	ends := make(chan once.HolderResult, 1)
	ticket := s.home.options.Peers.Ask(target(node), s.envelope(), func(reply *peerpb.Envelope, failure *peer.LinkError) {
		select {
		case ends <- toAnswered(reply, failure):
		default:
		}
	})
	select {
	case answered := <-ends:
		return answered, true
	case <-ctx.Done():
		ticket.Cancel()
		return once.HolderResult{}, false
	}
}

func (s *submission) node(holder once.Holder) (route.Node, bool) {
	view := s.home.options.Belief.View()
	if holder == once.HolderHome {
		return view.Node(s.key.Node)
	}
	return once.Successor(view, s.key.Node)
}

func (s *submission) envelope() *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_SubmitRequest{SubmitRequest: &peerpb.SubmitRequest{
		Customer:   string(s.request.Customer),
		Key:        s.key.Text,
		Service:    s.request.Service,
		Payload:    s.request.Payload,
		TimeLeftUs: microseconds(s.deadline - s.home.options.Now()),
	}}}
}

func toAnswered(reply *peerpb.Envelope, failure *peer.LinkError) once.HolderResult {
	switch {
	case failure != nil:
		return once.HolderResult{Outcome: failure.Outcome}
	case reply.GetSubmitReply() != nil:
		r := fromMessage(reply.GetSubmitReply())
		return once.HolderResult{Reply: &r}
	case reply.GetRefusal() != nil:
		return once.HolderResult{Outcome: core.NotRun}
	}
	return once.HolderResult{}
}
