// Package home implements the home role for must-not-repeat requests: it runs each key
// with one of its own prefixes at most once and keeps the outcome. It also contains the
// entry's part, which requests the outcome of a key from its home.
package home

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

const (
	ringDepth   = 8192
	secretBytes = 32
)

// Options are the dependencies and settings of a Home.
type Options struct {
	Self   core.NodeID
	Belief *belief.Store
	Peers  peer.Sender
	// Now returns the time on the node's monotonic clock.
	Now    func() core.Time
	Log    logrus.FieldLogger
	Limits once.Limits
	// Assessor returns the standings of requests that may end replicas; it may be nil.
	Assessor quarantine.Assessor
	Problems *observe.Problems
	// Metrics receives the size of the ledger; with nil it is not reported.
	Metrics observe.Registry
}

// Home runs the home role on one goroutine, which owns the ledger.
type Home struct {
	options Options
	issuer  *once.Issuer
	loop    *loop
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// New starts a home with a random secret and a random incarnation. It runs until Close.
func New(options Options) (*Home, error) {
	var random [secretBytes + 8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fault.Wrap("generate the secret of the home", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	issuer := once.NewIssuer(options.Self, binary.BigEndian.Uint64(random[secretBytes:]), random[:secretBytes])
	h := &Home{options: options, issuer: issuer, stop: stop, loop: newLoop(ctx, options, issuer)}
	h.done.Add(1)
	go func() {
		defer h.done.Done()
		h.loop.run()
	}()
	return h, nil
}

// Close stops the home at once. For a planned stop, call Stop first.
func (h *Home) Close() {
	h.stop()
	h.done.Wait()
}

// Prefix issues a key prefix.
func (h *Home) Prefix() string { return h.issuer.Prefix(h.options.Now()) }

// Rings returns the statistics of the event ring.
func (h *Home) Rings() []ring.Stats { return []ring.Stats{h.loop.events.Stats()} }

// HandleSubmit handles a SubmitRequest from an entry. A Refusal only means that this
// message was not processed; the outcome of the key is sent in a SubmitReply.
func (h *Home) HandleSubmit(inbound *peer.Inbound) {
	at := h.options.Now()
	message := inbound.Envelope.GetSubmitRequest()
	key, err := once.ParseKey(message.GetKey())
	if err != nil {
		inbound.Reply(replyEnvelope(faultReply(err)), true)
		return
	}
	if !h.loop.events.TryPut(submitReceived{inbound: inbound, key: key, at: at}) {
		inbound.Reply(peer.NewRefusal(core.ReasonOverloaded), true)
	}
}

// HandleHandover handles a HandoverRequest with the outcomes of a stopping home.
func (h *Home) HandleHandover(inbound *peer.Inbound) {
	if !h.loop.events.TryPut(handoverReceived{inbound: inbound}) {
		inbound.Reply(peer.NewRefusal(core.ReasonOverloaded), true)
	}
}

// faultReply converts a *fault.Error into a reply.
func faultReply(err error) once.Reply {
	typed := fault.As(err)
	return once.Reply{Outcome: typed.Outcome, Code: typed.Code, Message: typed.Message, RetryAfter: typed.RetryAfter}
}
