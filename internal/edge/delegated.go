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
	// maxDelegatedGroups bounds the groups that this node processes for other nodes. Further ones are
	// refused, and their entry nodes send to the replicas themselves.
	maxDelegatedGroups = 512
	// minFlushInterval is the minimum time between two replies to one group, so that parts that arrive within
	// it share a reply.
	minFlushInterval = 3 * time.Millisecond
)

// handleDelegate processes a group of sends for another node.
func (n *Node) handleDelegate(inbound *peer.Inbound) {
	if n.delegatedGroups.Add(1) > maxDelegatedGroups || n.refusesDelegated.Load() {
		n.delegatedGroups.Add(-1)
		inbound.Reply(peer.NewRefusal(core.ReasonOverloaded), true)
		return
	}
	go func() {
		defer n.delegatedGroups.Add(-1)
		n.serveDelegate(inbound)
	}()
}

// serveDelegate carries out the sends and replies as they end.
func (n *Node) serveDelegate(inbound *peer.Inbound) {
	message := inbound.Envelope.GetDelegateRequest()
	q := n.delegatedRequest(message)
	if q == nil {
		inbound.Reply(peer.NewRefusal(core.ReasonNotAsked), true)
		return
	}
	ctx, cancel := context.WithDeadline(inbound.Context, time.Now().Add(q.plan.Deadline-n.now()))
	defer cancel()
	q.ended = make(chan []*exchange, len(message.GetSends()))
	q.done = make(chan struct{})
	defer close(q.done)
	for _, send := range message.GetSends() {
		n.startDelegated(ctx, q, send)
	}
	replies := &delegateReplies{inbound: inbound, pauseAge: n.state.pauseAge, separate: message.GetApart(), excerpts: topk.NewExcerptBuilder(int(message.GetTopK()), int(message.GetParts()))}
	replies.run(ctx, q, time.Duration(message.GetFlushUs())*time.Microsecond, len(message.GetSends()))
}

// delegatedRequest returns the request that the sends belong to, or nil if this node has no such route.
func (n *Node) delegatedRequest(message *peerpb.DelegateRequest) *request {
	config := n.state.config.Load()
	if config == nil {
		return nil
	}
	route := config.Find(message.GetHost(), message.GetTarget())
	if route == nil || route.Gather == nil {
		return nil
	}
	q := &request{node: n, route: route, config: config, id: message.GetRequestId(), arrived: n.now()}
	q.plan.Deadline = n.now() + time.Duration(message.GetTimeLeftUs())*time.Microsecond
	q.claim = n.delegatedClaim(message, route)
	header := http.Header{}
	for _, field := range message.GetHeaders() {
		header[field.GetName()] = append(header[field.GetName()], field.GetValue())
	}
	q.template.Method, q.template.Target, q.template.Host = message.GetMethod(), message.GetTarget(), message.GetHost()
	q.template.Header, q.template.HeaderLines = header, n.replicas.RenderHeader(header)
	q.template.Body, q.template.ID = message.GetBody(), q.id
	q.quarantineNames = sync.OnceValue(func() quarantine.Names { return q.identity().Names() })
	return q
}

// startDelegated sends to one replica. A replica that this node knows to be leaving or evacuated, or whose id
// belongs to a later incarnation, gets no send: the entry node may not have received that update yet.
func (n *Node) startDelegated(ctx context.Context, q *request, send *peerpb.DelegatedSend) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{ctx: ctx, cancel: cancel, startAt: n.now()}
	e.send = scatter.Send{ID: int(send.GetId())}
	e.send.Replica = replica.Replica{
		ID: send.GetReplica(), Born: send.GetBorn(), Service: send.GetService(), Address: send.GetAddress(),
		DataCentre: n.settings.Load().DataCentre,
	}
	var unusable bool
	n.state.withReplicas(func(table *replica.Table, _ core.Time) { unusable = table.KnownUnusable(e.send.Replica) })
	if unusable {
		e.verdict, e.err = scatter.Unreached, delegatedError("the replica is leaving, evacuated or was replaced by a later incarnation")
		cancel(nil)
		q.ended <- []*exchange{e}
		return
	}
	n.state.withReplicas(func(table *replica.Table, now core.Time) { table.Sent(e.send.Replica.Incarnation(), now) })
	go q.sendDirect(e)
}

// delegateReplies reports ended sends to the entry node.
type delegateReplies struct {
	inbound  *peer.Inbound
	excerpts *topk.ExcerptBuilder
	// pauseAge returns the time since the last known pause of a replica ended.
	pauseAge func(incarnation replica.Incarnation) (time.Duration, bool)
	// separate is set if each part is returned with its own records.
	separate bool
	pending  []*exchange
	// replied is set once a reply was sent.
	replied bool
}

// run collects ends until all sends have ended. The first reply is delayed so that it holds most of the
// parts; later ones hold stragglers and are sent soon.
func (r *delegateReplies) run(ctx context.Context, q *request, firstWait time.Duration, remaining int) {
	timer := time.NewTimer(firstWait)
	defer timer.Stop()
	waiting := true
	for remaining > 0 {
		select {
		case ends := <-q.ended:
			remaining -= len(ends)
			r.pending = append(r.pending, ends...)
			if remaining > 0 && !waiting {
				timer.Reset(minFlushInterval)
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

// flush reports the ends since the last reply. The first reply is sent even if nothing has ended: without it,
// a helper whose only replica is slow would itself appear silent, and the entry node would send to the
// replicas directly, at the cost of one request between data centres for each part.
func (r *delegateReplies) flush(last bool) {
	if len(r.pending) == 0 && (r.replied || last) {
		return
	}
	reply := &peerpb.DelegateReply{Apart: r.separate}
	var parts [][]byte
	for _, exchange := range r.pending {
		part := &peerpb.DelegatedPart{Id: uint32(exchange.send.ID), Verdict: uint32(exchange.verdict), TookUs: uint64(exchange.latency.Microseconds()), PauseEndedMs: r.pauseEndedMs(exchange), Broken: exchange.broken}
		if exchange.waited >= minPlaceWait {
			part.WaitedUs = uint64(exchange.waited.Microseconds())
		}
		switch {
		case exchange.verdict == scatter.Succeeded:
			part.Status, part.Stamp = uint32(exchange.response.Status), platform.Stamp(exchange.response.Header)
			if r.separate {
				part.Records = r.excerpts.Top(exchange.response.Body)
			} else {
				parts = append(parts, exchange.response.Body)
			}
		case exchange.verdict == scatter.NoPlace:
			setNoPlace(part, exchange.err)
		case exchange.err != nil:
			part.Cause = exchange.err.Error()
		default:
			part.Status, part.Cause = uint32(exchange.response.Status), http.StatusText(exchange.response.Status)
		}
		reply.Parts = append(reply.Parts, part)
	}
	excerpt := r.excerpts.Build(parts)
	reply.Records, reply.Cut = excerpt.Records, excerpt.Truncated
	r.pending = nil
	r.replied = true
	r.inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_DelegateReply{DelegateReply: reply}}, last)
}

// pauseEndedMs returns the age of the replica's last pause in milliseconds plus one; 0 means none. Nodes near
// a replica see its pauses more often than the nodes that send through them.
func (r *delegateReplies) pauseEndedMs(exchange *exchange) uint32 {
	age, known := r.pauseAge(exchange.send.Replica.Incarnation())
	if !known || age > maxPauseAge {
		return 0
	}
	return uint32(age.Milliseconds()) + 1
}

// maxPauseAge bounds the ages of reported pauses: older ones do not help to predict the next.
const maxPauseAge = time.Minute
