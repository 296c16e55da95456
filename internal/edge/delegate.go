package edge

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/core/topk"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// A gathered request needs parts from replicas in several data centres. The sends to another data centre go
// in one message to a node there, which sends to the replicas near it and merges their records before they
// are returned: a part then costs its signature instead of a whole HTTP exchange between data centres. The
// entry node makes all decisions; the helper only carries out the sends. If no helper is available, the entry
// node sends to the replicas itself.

const (
	// maxDelegatedBytes is the longest request that is delegated, by its body and its header lines. A helper holds each line many
	// times over, and does not count it.
	maxDelegatedBytes = 4 << 10
	// helperAvoidTime is how long a helper that did not reply is not delegated to.
	helperAvoidTime = time.Second
	// lateReplyTime is how long replies are still processed after the request was answered.
	lateReplyTime = 250 * time.Millisecond
	// A helper may delay its first reply by the hedge delay divided by flushDivisor, to collect more parts.
	flushDivisor = 2
)

// group is the sends of one request that are delegated to one node.
type group struct {
	helper peer.Target
	// separate is set if each part is returned with its own records instead of merged ones.
	separate bool
	// priority is that of the request.
	priority int
	// replied is set once the helper has replied.
	replied   atomic.Bool
	canceller peer.Canceller

	mutex sync.Mutex
	// members are the sends that have not ended, by id.
	members map[uint32]*exchange
	// batches are the merged replies, in the order of their arrival.
	batches []*batch
}

// remove removes a send from the group and returns it, or nil if it has ended before.
func (g *group) remove(id uint32) *exchange {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	exchange := g.members[id]
	delete(g.members, id)
	return exchange
}

// removeAll removes and returns the sends that have not ended.
func (g *group) removeAll() []*exchange {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	remaining := slices.Collect(maps.Values(g.members))
	clear(g.members)
	return remaining
}

// handledBatches returns the leading batches whose ends the request has handled. The order matters: each
// batch omits the records that earlier ones outrank.
func (g *group) handledBatches() []*batch {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i, batch := range g.batches {
		if !batch.members[0].handled {
			return slices.Clone(g.batches[:i])
		}
	}
	return slices.Clone(g.batches)
}

// batch holds the records of parts that were merged. They count together or not at all.
type batch struct {
	excerpt topk.Excerpt
	members []*exchange
}

// helpers chooses helpers in turn and leaves out those that did not reply recently.
type helpers struct {
	mutex   sync.Mutex
	avoided map[core.NodeID]core.Time
	next    uint64
}

func (h *helpers) avoid(node core.NodeID, now core.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.avoided == nil {
		h.avoided = map[core.NodeID]core.Time{}
	}
	h.avoided[node] = now + helperAvoidTime
}

// choose returns the next node of a list that is not avoided.
func (h *helpers) choose(nodes []peer.Target, now core.Time) (peer.Target, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.next++
	for i := range nodes {
		target := nodes[(h.next+uint64(i))%uint64(len(nodes))]
		if now >= h.avoided[target.Node] {
			return target, true
		}
	}
	return peer.Target{}, false
}

// chooseHelper chooses a node of a data centre to delegate to.
func (n *Node) chooseHelper(dataCentre string) (peer.Target, bool) {
	var nodes []peer.Target
	for _, node := range n.currentEntries() {
		if node.DataCentre == dataCentre && node.ID != n.identity.Node {
			nodes = append(nodes, peer.Target{Node: node.ID, Address: node.PeerAddress})
		}
	}
	return n.helpers.choose(nodes, n.now())
}

// delegate hands the sends to other data centres to helpers there and returns the exchanges that remain to be
// sent directly.
//
// Hedges are delegated as well: several hedges of one query become due together, the helpers hold open
// connections to the replicas, and a part then costs a fifth of the bytes between data centres of an exchange
// over HTTP. Their parts are returned separately: of two merged replies that contain parts of the same shard,
// neither could be used. Retries occur one at a time and are sent directly.
func (q *request) delegate(started []*exchange) []*exchange {
	if q.route.Gather == nil || len(q.template.Body)+len(q.template.HeaderLines) > maxDelegatedBytes {
		return started
	}
	var direct []*exchange
	groups := map[groupKey][]*exchange{}
	for _, exchange := range started {
		if !exchange.send.Remote || exchange.send.Cause == scatter.Retry || exchange.send.ShardAlone {
			direct = append(direct, exchange)
			continue
		}
		key := groupKey{dataCentre: exchange.send.Replica.DataCentre, separate: exchange.send.Cause == scatter.Hedge, extra: exchange.send.Extra}
		groups[key] = append(groups[key], exchange)
	}
	for key, members := range groups {
		helper, ok := q.node.chooseHelper(key.dataCentre)
		if !ok {
			direct = append(direct, members...)
			continue
		}
		q.delegateTo(helper, members, key)
	}
	return direct
}

// groupKey identifies a group of a request: by data centre, by whether the parts are returned merged or
// separately, and by whether the sends wait for places.
type groupKey struct {
	dataCentre      string
	separate, extra bool
}

// delegateTo sends a group to a helper.
func (q *request) delegateTo(helper peer.Target, members []*exchange, key groupKey) {
	g := &group{helper: helper, separate: key.separate, priority: q.claim.Priority, members: map[uint32]*exchange{}}
	message := &peerpb.DelegateRequest{
		Method: q.template.Method, Target: q.template.Target, Host: q.template.Host, Body: q.template.Body,
		RequestId: q.id, TimeLeftUs: uint64(max(q.plan.Deadline-q.node.now(), 0).Microseconds()),
		FlushUs: uint64((q.plan.HedgeAfter / flushDivisor).Microseconds()), TopK: uint32(q.route.Gather.TopK),
		Parts: uint32(q.node.state.excerptParts(q.route)), Apart: key.separate, Extra: key.extra,
	}
	q.stateClaim(message)
	for name, values := range q.template.Header {
		for _, value := range values {
			message.Headers = append(message.Headers, &peerpb.HeaderField{Name: name, Value: value})
		}
	}
	for _, exchange := range members {
		exchange.group = g
		g.members[uint32(exchange.send.ID)] = exchange
		to := exchange.send.Replica
		message.Sends = append(message.Sends, &peerpb.DelegatedSend{Id: uint32(exchange.send.ID), Service: to.Service, Replica: to.ID, Address: to.Address, Born: to.Born})
	}
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_DelegateRequest{DelegateRequest: message}}
	g.canceller = q.node.peerPool.Send(helper, envelope, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		q.handleHelperReply(g, reply, failure)
	})
	go q.closeGroup(g)
}

// closeGroup cancels the remaining sends of a group some time after the end of the request.
func (q *request) closeGroup(g *group) {
	<-q.done
	if !q.callerLeft.Load() {
		time.Sleep(lateReplyTime)
	}
	g.canceller.Cancel()
	q.releaseSends(g.removeAll())
}

// releaseSends no longer counts sends as in flight whose ends will not be reported.
func (q *request) releaseSends(sends []*exchange) {
	q.node.state.withReplicas(func(table *replica.Table, _ core.Time) {
		for _, exchange := range sends {
			table.Ended(exchange.send.Replica.Incarnation())
		}
	})
}

// handleHelperReply processes a reply. It runs on the link's goroutine, one reply at a time.
func (q *request) handleHelperReply(g *group, reply *peerpb.Envelope, failure *peer.LinkError) {
	parts := reply.GetDelegateReply()
	switch {
	case failure != nil && failure.Outcome != core.NotRun:
		q.node.helpers.avoid(g.helper.Node, q.node.now())
		ends := g.fail(failure)
		q.releaseSends(ends)
		q.deliverEnds(ends)
		return
	case failure != nil || parts == nil:
		// The helper sent nothing, so this node sends to the replicas itself.
		q.node.helpers.avoid(g.helper.Node, q.node.now())
		q.sendGroupDirect(g)
		return
	}
	g.replied.Store(true)
	ends := g.applyReply(parts)
	if len(ends) == 0 {
		return
	}
	for _, exchange := range ends {
		q.recordDelegatedEnd(exchange)
	}
	q.deliverEnds(ends)
}

// sendGroupDirect sends a group from this node unless the request has ended.
func (q *request) sendGroupDirect(g *group) {
	select {
	case <-q.done:
		return
	default:
	}
	for _, exchange := range g.removeAll() {
		go q.sendDirect(exchange)
	}
}

// fail ends the remaining sends of a group as failed: they may have run.
func (g *group) fail(cause error) []*exchange {
	ends := g.removeAll()
	for _, exchange := range ends {
		exchange.err, exchange.verdict = cause, scatter.Failed
	}
	return ends
}

// applyReply records the ends of sends that a reply reports and returns their exchanges.
func (g *group) applyReply(reply *peerpb.DelegateReply) []*exchange {
	merged := &batch{excerpt: topk.Excerpt{Records: reply.GetRecords(), Truncated: reply.GetCut()}}
	var ends []*exchange
	for _, part := range reply.GetParts() {
		exchange := g.remove(part.GetId())
		if exchange == nil {
			continue
		}
		exchange.verdict, exchange.broken = scatter.Verdict(part.GetVerdict()), part.GetBroken()
		exchange.latency = time.Duration(part.GetTookUs()) * time.Microsecond
		exchange.waited = time.Duration(part.GetWaitedUs()) * time.Microsecond
		exchange.pauseEnded = time.Duration(part.GetPauseEndedMs()) * time.Millisecond
		if part.GetStatus() != 0 {
			exchange.response = &replicaconn.Response{Status: int(part.GetStatus()), Header: http.Header{}}
		}
		switch {
		case part.GetNoPlace():
			exchange.verdict, exchange.err = scatter.NoPlace, noPlaceAtHelper(part, g.priority)
		case exchange.verdict != scatter.Succeeded || exchange.response == nil:
			if exchange.verdict == scatter.Succeeded {
				// A part without a status does not count as an answer.
				exchange.verdict = scatter.Failed
			}
			exchange.err = &replicaconn.Error{Step: "delegated send", Sent: exchange.verdict != scatter.Unreached, Cause: delegatedError(part.GetCause())}
		case g.separate && !reply.GetApart():
			// A helper of an older version merged the parts. Treated as parts without records, they would be
			// named in an answer that lacks their records.
			exchange.verdict, exchange.err = scatter.Failed, delegatedError("the helper merged parts that were requested separately")
		case g.separate:
			platform.SetStamp(exchange.response.Header, part.GetStamp())
			exchange.response.Body = part.GetRecords()
		default:
			platform.SetStamp(exchange.response.Header, part.GetStamp())
			exchange.batch = merged
			merged.members = append(merged.members, exchange)
		}
		ends = append(ends, exchange)
	}
	if len(merged.members) > 0 {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.batches = append(g.batches, merged)
	}
	return ends
}

// delegatedError is the cause that a helper reports for a failed send.
type delegatedError string

// Error implements error.
func (e delegatedError) Error() string { return string(e) }
