package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/core/topk"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/platform"
)

const (
	// maxDelegated bounds the delegated groups in work here; further ones are
	// refused and their entries send by themselves.
	maxDelegated = 512
	// flushPause is the least time between two replies to one group, so that parts
	// that come close together travel together.
	flushPause = 3 * time.Millisecond
)

// handleDelegate takes the sends of another node.
func (n *Node) handleDelegate(inbound *peer.Inbound) {
	if n.delegated.Add(1) > maxDelegated {
		n.delegated.Add(-1)
		inbound.Reply(peer.Refused(core.ReasonOverloaded), true)
		return
	}
	go func() {
		defer n.delegated.Add(-1)
		n.serveDelegate(inbound)
	}()
}

// serveDelegate carries the sends out and replies as they end.
func (n *Node) serveDelegate(inbound *peer.Inbound) {
	message := inbound.Envelope.GetDelegateRequest()
	q := n.delegatedRequest(message)
	if q == nil {
		inbound.Reply(peer.Refused(core.ReasonNotAsked), true)
		return
	}
	ctx, cancel := context.WithDeadline(inbound.Context, time.Now().Add(q.plan.Deadline-n.now()))
	defer cancel()
	q.ended = make(chan []*exchange, len(message.GetSends()))
	q.over = make(chan struct{})
	defer close(q.over)
	for _, send := range message.GetSends() {
		n.startDelegated(ctx, q, send)
	}
	replies := &replies{inbound: inbound, pauseAge: n.beliefs.pauseAge, apart: message.GetApart(), sender: topk.NewExcerptBuilder(int(message.GetTopK()), int(message.GetParts()))}
	replies.run(ctx, q, time.Duration(message.GetFlushUs())*time.Microsecond, len(message.GetSends()))
}

// delegatedRequest makes the request that the sends belong to, or nil when this node
// has no such route.
func (n *Node) delegatedRequest(message *peerpb.DelegateRequest) *request {
	config := n.beliefs.config.Load()
	if config == nil {
		return nil
	}
	route := config.Find(message.GetHost(), message.GetTarget())
	if route == nil || route.Gather == nil {
		return nil
	}
	q := &request{node: n, route: route, config: config, id: message.GetRequestId(), arrived: n.now()}
	q.plan.Deadline = n.now() + time.Duration(message.GetTimeLeftUs())*time.Microsecond
	header := http.Header{}
	for _, field := range message.GetHeaders() {
		header[field.GetName()] = append(header[field.GetName()], field.GetValue())
	}
	q.template.Method, q.template.Target, q.template.Host = message.GetMethod(), message.GetTarget(), message.GetHost()
	q.template.Header, q.template.Body, q.template.ID = header, message.GetBody(), q.id
	q.names = sync.OnceValue(func() quarantine.Names { return q.identity().Names() })
	return q
}

// startDelegated sends to one replica. One that is known here to leave, or whose id a later
// incarnation has taken, is not sent to:
// the other node may not have heard of it yet.
func (n *Node) startDelegated(ctx context.Context, q *request, send *peerpb.DelegatedSend) {
	ctx, cancel := context.WithCancelCause(ctx)
	one := &exchange{ctx: ctx, cancel: cancel, startAt: n.now()}
	one.send = scatter.Send{ID: int(send.GetId())}
	one.send.Replica = replica.Replica{
		ID: send.GetReplica(), Born: send.GetBorn(), Service: send.GetService(), Address: send.GetAddress(),
		DataCentre: n.settings.Load().DataCentre,
	}
	var unwanted bool
	n.beliefs.note(func(book *replica.Table, _ core.Time) { unwanted = book.KnownUnusable(one.send.Replica) })
	if unwanted {
		one.verdict, one.err = scatter.Unreached, delegatedError("the replica is leaving, evacuated or has started again")
		cancel(nil)
		q.ended <- []*exchange{one}
		return
	}
	n.beliefs.note(func(book *replica.Table, now core.Time) { book.Sent(one.send.Replica.Incarnation(), now) })
	go q.direct(one)
}

// replies sends what has ended back to the entry.
type replies struct {
	inbound *peer.Inbound
	sender  *topk.ExcerptBuilder
	// pauseAge tells how long ago a pause of a replica ended.
	pauseAge func(life replica.Incarnation) (time.Duration, bool)
	// apart is set when each part is to have its own records.
	apart   bool
	pending []*exchange
	// told is set once there was a reply.
	told bool
}

// run collects ends until all are there. The first reply waits a while for most of the
// parts; later ones are stragglers and go soon.
func (r *replies) run(ctx context.Context, q *request, first time.Duration, left int) {
	timer := time.NewTimer(first)
	defer timer.Stop()
	waiting := true
	for left > 0 {
		select {
		case ends := <-q.ended:
			left -= len(ends)
			r.pending = append(r.pending, ends...)
			if left > 0 && !waiting {
				timer.Reset(flushPause)
				waiting = true
			}
		case <-timer.C:
			waiting = false
			r.flush(false)
		case <-ctx.Done():
			return
		}
	}
	r.flush(true)
}

// flush replies what has ended, and once that nothing has ended yet. Without that one a node that sends
// to one slow replica looks silent itself, and its entry turns to the replicas themselves, at the cost of a request between data
// centres for each part.
func (r *replies) flush(last bool) {
	if len(r.pending) == 0 && (r.told || last) {
		return
	}
	reply := &peerpb.DelegateReply{Apart: r.apart}
	var parts [][]byte
	for _, one := range r.pending {
		part := &peerpb.DelegatedPart{Id: uint32(one.send.ID), Verdict: uint32(one.verdict), TookUs: uint64(one.took.Microseconds()), PauseEndedMs: r.pauseEnded(one), Broken: one.broken}
		switch {
		case one.verdict == scatter.Succeeded:
			part.Status, part.Stamp = uint32(one.response.Status), platform.Stamp(one.response.Header)
			if r.apart {
				part.Records = r.sender.Top(one.response.Body)
			} else {
				parts = append(parts, one.response.Body)
			}
		case one.err != nil:
			part.Cause = one.err.Error()
		default:
			part.Status, part.Cause = uint32(one.response.Status), http.StatusText(one.response.Status)
		}
		reply.Parts = append(reply.Parts, part)
	}
	excerpt := r.sender.Build(parts)
	reply.Records, reply.Cut = excerpt.Records, excerpt.Truncated
	r.pending = nil
	r.told = true
	r.inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_DelegateReply{DelegateReply: reply}}, last)
}

// pauseEnded is what is told of the pauses of a replica. Nodes next to it see them more often than
// each of those that send through them.
func (r *replies) pauseEnded(one *exchange) uint32 {
	age, known := r.pauseAge(one.send.Replica.Incarnation())
	if !known || age > maxPauseAge {
		return 0
	}
	return uint32(age.Milliseconds()) + 1
}

// maxPauseAge bounds the ages of pauses that are told: older ones say nothing of the next.
const maxPauseAge = time.Minute
