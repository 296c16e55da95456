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
	trip := &trip{home: h, key: key, request: request, deadline: h.options.Now() + timeout}
	return trip.run(ctx)
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

// trip runs a once.Trip with messages.
type trip struct {
	once.Trip
	home     *Home
	key      once.Key
	request  Request
	deadline core.Time
}

func (t *trip) run(ctx context.Context) once.Reply {
	view := t.home.options.Belief.View()
	_, listed := view.Node(t.key.Node)
	stop := t.First(listed)
	for {
		answered, inTime := t.ask(ctx, stop)
		if !inTime {
			return t.Lost()
		}
		next, pause, reply := t.Next(answered)
		if next == once.StopNone {
			return reply
		}
		stop = next
		if !wait.For(ctx, pause) {
			return t.Lost()
		}
	}
}

// ask asks one stop; false when the caller's time ends first.
func (t *trip) ask(ctx context.Context, stop once.Stop) (once.Answered, bool) {
	node, ok := t.node(stop)
	if !ok {
		return once.Answered{Outcome: core.NotRun}, true
	}
	ends := make(chan once.Answered, 1)
	ticket := t.home.options.Peers.Ask(target(node), t.envelope(), func(reply *peerpb.Envelope, failure *peer.LinkError) {
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
		return once.Answered{}, false
	}
}

func (t *trip) node(stop once.Stop) (route.Node, bool) {
	view := t.home.options.Belief.View()
	if stop == once.StopHome {
		return view.Node(t.key.Node)
	}
	return once.Successor(view, t.key.Node)
}

func (t *trip) envelope() *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_SubmitRequest{SubmitRequest: &peerpb.SubmitRequest{
		Customer:   string(t.request.Customer),
		Key:        t.key.Text,
		Service:    t.request.Service,
		Payload:    t.request.Payload,
		TimeLeftUs: microseconds(t.deadline - t.home.options.Now()),
	}}}
}

func toAnswered(reply *peerpb.Envelope, failure *peer.LinkError) once.Answered {
	switch {
	case failure != nil:
		return once.Answered{Outcome: failure.Outcome}
	case reply.GetSubmitReply() != nil:
		r := fromMessage(reply.GetSubmitReply())
		return once.Answered{Reply: &r}
	case reply.GetRefusal() != nil:
		return once.Answered{Outcome: core.NotRun}
	}
	return once.Answered{}
}
