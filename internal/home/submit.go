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

// defaultTimeout is used if no configuration lists the service.
const defaultTimeout = 5 * time.Second

// Request is a caller's must-not-repeat request as received by the entry.
type Request struct {
	Customer core.Customer
	Key      string
	Service  string
	Payload  []byte
	// Timeout is how long the caller waits; 0 means the timeout of the service.
	Timeout time.Duration
}

// Submit is the entry's part: it sends the request to the home that the key names and
// returns the outcome of the key. It checks only the format of the key: this entry may
// have an older configuration or view than the entry that received an earlier attempt,
// and must not answer "not run" for a key that was run.
func (h *Home) Submit(ctx context.Context, request Request) once.Reply {
	key, err := once.ParseKey(request.Key)
	if err != nil {
		return faultReply(err)
	}
	timeout := h.timeout(request)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := &submission{home: h, key: key, request: request, deadline: h.options.Now() + timeout}
	return s.run(ctx)
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

// submission executes a once.Submission by sending messages.
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
		result, inTime := s.ask(ctx, holder)
		if !inTime {
			return s.TimeoutReply()
		}
		next, pause, reply := s.NextHolder(result)
		if next == once.HolderNone {
			return reply
		}
		holder = next
		if !wait.For(ctx, pause) {
			return s.TimeoutReply()
		}
	}
}

// ask sends the request to one holder. It returns false if the caller's timeout ends
// before the reply arrives.
func (s *submission) ask(ctx context.Context, holder once.Holder) (once.HolderResult, bool) {
	node, ok := s.node(holder)
	if !ok {
		return once.HolderResult{Outcome: core.NotRun}, true
	}
	results := make(chan once.HolderResult, 1)
	canceller := s.home.options.Peers.Send(target(node), s.envelope(), func(reply *peerpb.Envelope, failure *peer.LinkError) {
		select {
		case results <- toHolderResult(reply, failure):
		default:
		}
	})
	select {
	case result := <-results:
		return result, true
	case <-ctx.Done():
		canceller.Cancel()
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
		TimeLeftUs: toMicroseconds(s.deadline - s.home.options.Now()),
	}}}
}

func toHolderResult(reply *peerpb.Envelope, failure *peer.LinkError) once.HolderResult {
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
