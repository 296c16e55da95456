// Package home is the role that remembers must-not-repeat requests: it runs
// each key of its own prefixes at most once and keeps the outcome. It also holds
// an entry's asks for the outcome of a key.
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

// Options are the parts and settings of a Home.
type Options struct {
	Self   core.NodeID
	Belief *belief.Store
	Peers  peer.Sender
	// Now reads the node's monotonic clock.
	Now    func() core.Time
	Log    logrus.FieldLogger
	Limits once.Limits
	// Assessor, when set, returns the standings of requests that may end replicas.
	Assessor quarantine.Assessor
	Problems *observe.Problems
	// Metrics takes the ledger's size; nil takes none.
	Metrics observe.Registry
}

// Home runs the home's duty on one goroutine, which owns the ledger.
type Home struct {
	options Options
	issuer  *once.Issuer
	loop    *loop
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// New starts a home with a secret and an incarnation of its own; Close ends it.
func New(options Options) (*Home, error) {
	var random [secretBytes + 8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fault.Step("make the home's secret", err)
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

// Close ends the duty at once; Stop comes before it on a planned stop.
func (h *Home) Close() {
	h.stop()
	h.done.Wait()
}

// Prefix issues a key prefix.
func (h *Home) Prefix() string { return h.issuer.Prefix(h.options.Now()) }

// Rings reports the depth of the duty's ring.
func (h *Home) Rings() []ring.Stats { return []ring.Stats{h.loop.events.Stats()} }

// HandleSubmit takes a SubmitRequest from an entry. A Refusal says only that
// this ask was not run; what it says of the key comes in a SubmitReply.
func (h *Home) HandleSubmit(inbound *peer.Inbound) {
	at := h.options.Now()
	message := inbound.Envelope.GetSubmitRequest()
	key, err := once.ParseKey(message.GetKey())
	if err != nil {
		inbound.Reply(replyEnvelope(faultReply(err)), true)
		return
	}
	if !h.loop.events.TryPut(arrived{inbound: inbound, key: key, at: at}) {
		inbound.Reply(peer.NewRefusal(core.ReasonOverloaded), true)
	}
}

// HandleHandover takes the outcomes of a home that stops.
func (h *Home) HandleHandover(inbound *peer.Inbound) {
	if !h.loop.events.TryPut(handedOver{inbound: inbound}) {
		inbound.Reply(peer.NewRefusal(core.ReasonOverloaded), true)
	}
}

// faultReply words a typed failure as a reply.
func faultReply(err error) once.Reply {
	typed := fault.As(err)
	return once.Reply{Outcome: typed.Outcome, Code: typed.Code, Message: typed.Message, RetryAfter: typed.RetryAfter}
}
