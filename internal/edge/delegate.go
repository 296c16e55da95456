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

// A gathered request needs parts from replicas in several data centres. Sends to
// another one go together, in one message, to a node there, which asks the replicas
// next to it and merges their records before they travel: a part costs its signature
// in place of a whole exchange over HTTP. The entry keeps every decision; the other
// node only carries the sends out. Where no node can be had, the entry sends itself.

const (
	// maxDelegatedBody is the longest body that goes with delegated sends.
	maxDelegatedBody = 4 << 10
	// helperAvoid is how long a node that was not heard is not delegated to.
	helperAvoid = time.Second
	// delegateLinger is how long replies are still learnt from after the answer.
	delegateLinger = 250 * time.Millisecond
	// flushShare is the part of the hedge delay, one in so many, that a helper may
	// wait for more parts before its first reply.
	flushShare = 2
)

// group is the sends of one request that go through one node.
type group struct {
	helper peer.Target
	// apart is set when each part comes with its own records, and not merged.
	apart bool
	// heard is set once the helper has replied.
	heard  atomic.Bool
	ticket peer.Ticket

	mutex sync.Mutex
	// members are the sends that have not ended, by id.
	members map[uint32]*exchange
	// batches are the replies, in their order.
	batches []*batch
}

// end takes a send out of the group; nil is one that has ended before.
func (g *group) end(id uint32) *exchange {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	one := g.members[id]
	delete(g.members, id)
	return one
}

// endAll takes out the sends that have not ended.
func (g *group) endAll() []*exchange {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	left := slices.Collect(maps.Values(g.members))
	clear(g.members)
	return left
}

// received are the replies whose ends the request has taken, in their order: each leaves out
// what the former ones outdo.
func (g *group) received() []*batch {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i, one := range g.batches {
		if !one.members[0].over {
			return slices.Clone(g.batches[:i])
		}
	}
	return slices.Clone(g.batches)
}

// batch is the records of parts that came merged. They count together or not at all.
type batch struct {
	excerpt topk.Excerpt
	members []*exchange
}

// helpers remembers which nodes were not heard lately.
type helpers struct {
	mutex   sync.Mutex
	avoided map[core.NodeID]core.Time
	turn    uint64
}

func (h *helpers) avoid(node core.NodeID, now core.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.avoided == nil {
		h.avoided = map[core.NodeID]core.Time{}
	}
	h.avoided[node] = now + helperAvoid
}

// choose takes the nodes of a list in turn, leaving out those to avoid.
func (h *helpers) choose(nodes []peer.Target, now core.Time) (peer.Target, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.turn++
	for i := range nodes {
		one := nodes[(h.turn+uint64(i))%uint64(len(nodes))]
		if now >= h.avoided[one.Node] {
			return one, true
		}
	}
	return peer.Target{}, false
}

// helper chooses a node of a data centre to delegate to.
func (n *Node) helper(dataCentre string) (peer.Target, bool) {
	var nodes []peer.Target
	for _, one := range n.chosen() {
		if one.DataCentre == dataCentre && one.ID != n.identity.Node {
			nodes = append(nodes, peer.Target{Node: one.ID, Address: one.PeerAddress})
		}
	}
	return n.helpers.choose(nodes, n.now())
}

// delegate hands sends to other data centres to nodes there and returns the exchanges that are left.
//
// Hedges go the same way: several of one question become due together, the nodes next to the replicas
// hold open connections to them, and a part then costs a fifth of the bytes between data centres of an
// exchange over HTTP. Their parts come apart: of two merged replies that hold parts of one shard
// none could be used. Retries are single and go at once.
func (q *request) delegate(started []*exchange) []*exchange {
	if q.route.Gather == nil || len(q.template.Body) > maxDelegatedBody {
		return started
	}
	var direct []*exchange
	ways := map[way][]*exchange{}
	for _, one := range started {
		if !one.send.Remote || one.send.Cause == scatter.Retry || one.send.ShardAlone {
			direct = append(direct, one)
			continue
		}
		along := way{dataCentre: one.send.Replica.DataCentre, apart: one.send.Cause == scatter.Hedge}
		ways[along] = append(ways[along], one)
	}
	for along, members := range ways {
		helper, ok := q.node.helper(along.dataCentre)
		if !ok {
			direct = append(direct, members...)
			continue
		}
		q.ask(helper, members, along.apart)
	}
	return direct
}

// way is how sends go to a data centre: their parts come merged or apart.
type way struct {
	dataCentre string
	apart      bool
}

// ask sends a group to a helper, whose parts are to come merged or apart.
func (q *request) ask(helper peer.Target, members []*exchange, apart bool) {
	g := &group{helper: helper, apart: apart, members: map[uint32]*exchange{}}
	message := &peerpb.DelegateRequest{
		Method: q.template.Method, Target: q.template.Target, Host: q.template.Host, Body: q.template.Body,
		RequestId: q.id, TimeLeftUs: uint64(max(q.plan.Deadline-q.node.now(), 0).Microseconds()),
		FlushUs: uint64((q.plan.HedgeAfter / flushShare).Microseconds()), TopK: uint32(q.route.Gather.TopK),
		Parts: uint32(q.node.beliefs.excerptParts(q.route)), Apart: apart,
	}
	for name, values := range q.template.Header {
		for _, value := range values {
			message.Headers = append(message.Headers, &peerpb.HeaderField{Name: name, Value: value})
		}
	}
	for _, one := range members {
		one.group = g
		g.members[uint32(one.send.ID)] = one
		to := one.send.Replica
		message.Sends = append(message.Sends, &peerpb.DelegatedSend{Id: uint32(one.send.ID), Service: to.Service, Replica: to.ID, Address: to.Address, Born: to.Born})
	}
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_DelegateRequest{DelegateRequest: message}}
	g.ticket = q.node.pool.Ask(helper, envelope, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		q.helperReplied(g, reply, failure)
	})
	go q.endGroup(g)
}

// endGroup withdraws what is left of a group some time after the request's end.
func (q *request) endGroup(g *group) {
	<-q.over
	if !q.left.Load() {
		time.Sleep(delegateLinger)
	}
	g.ticket.Cancel()
	q.forget(g.endAll())
}

// forget notes that sends no longer run whose ends nobody will tell.
func (q *request) forget(sends []*exchange) {
	q.node.beliefs.note(func(book *replica.Table, _ core.Time) {
		for _, one := range sends {
			book.Ended(one.send.Replica.Incarnation())
		}
	})
}

// helperReplied takes a reply; it runs on the link's goroutine, one reply at a time.
func (q *request) helperReplied(g *group, reply *peerpb.Envelope, failure *peer.LinkError) {
	parts := reply.GetDelegateReply()
	switch {
	case failure != nil && failure.Outcome != core.NotRun:
		q.node.helpers.avoid(g.helper.Node, q.node.now())
		ends := g.fail(failure)
		q.forget(ends)
		q.tellEnds(ends)
		return
	case failure != nil || parts == nil:
		// Nothing was sent on: this node does it itself.
		q.node.helpers.avoid(g.helper.Node, q.node.now())
		q.sendGroup(g)
		return
	}
	g.heard.Store(true)
	ends := g.take(parts)
	if len(ends) == 0 {
		return
	}
	for _, one := range ends {
		q.learnDelegated(one)
	}
	q.tellEnds(ends)
}

// sendGroup sends a group from this node, unless the request is over.
func (q *request) sendGroup(g *group) {
	select {
	case <-q.over:
		return
	default:
	}
	for _, one := range g.endAll() {
		go q.direct(one)
	}
}

// fail ends what is open of a group: it may have run.
func (g *group) fail(cause error) []*exchange {
	ends := g.endAll()
	for _, one := range ends {
		one.err, one.verdict = cause, scatter.Failed
	}
	return ends
}

// take reads the ends of sends out of a reply.
func (g *group) take(reply *peerpb.DelegateReply) []*exchange {
	merged := &batch{excerpt: topk.Excerpt{Records: reply.GetRecords(), Truncated: reply.GetCut()}}
	var ends []*exchange
	for _, part := range reply.GetParts() {
		one := g.end(part.GetId())
		if one == nil {
			continue
		}
		one.verdict, one.broken = scatter.Verdict(part.GetVerdict()), part.GetBroken()
		one.took = time.Duration(part.GetTookUs()) * time.Microsecond
		one.pauseEnded = time.Duration(part.GetPauseEndedMs()) * time.Millisecond
		if part.GetStatus() != 0 {
			one.response = &replicaconn.Response{Status: int(part.GetStatus()), Header: http.Header{}}
		}
		switch {
		case one.verdict != scatter.Succeeded || one.response == nil:
			if one.verdict == scatter.Succeeded {
				// A part without a status cannot be counted as one.
				one.verdict = scatter.Failed
			}
			one.err = &replicaconn.Error{Step: "delegated send", Sent: one.verdict != scatter.Unreached, Cause: delegatedError(part.GetCause())}
		case g.apart && !reply.GetApart():
			// A node of an older version merged them. Taken for parts without records, they
			// would be named in an answer that lacks what they hold.
			one.verdict, one.err = scatter.Failed, delegatedError("the node does not send parts apart")
		case g.apart:
			platform.SetStamp(one.response.Header, part.GetStamp())
			one.response.Body = part.GetRecords()
		default:
			platform.SetStamp(one.response.Header, part.GetStamp())
			one.batch = merged
			merged.members = append(merged.members, one)
		}
		ends = append(ends, one)
	}
	if len(merged.members) > 0 {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.batches = append(g.batches, merged)
	}
	return ends
}

// delegatedError is what another node says of a failed send.
type delegatedError string

// Error implements error.
func (e delegatedError) Error() string { return string(e) }
