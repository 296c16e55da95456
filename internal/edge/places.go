package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
)

// placeLingerTime is how long the exchange of a cancelled send may go on at its replica, and so keep its place.
const placeLingerTime = 250 * time.Millisecond

// waitMargin is how long before the request's deadline a claim is refused at the latest: what still waits at the deadline
// would count as what may have run.
const waitMargin = 15 * time.Millisecond

// places grants this node's places at the replicas. A send without a place waits here and not at the replica, where what
// waits can neither be reordered nor dropped.
type places struct {
	now func() core.Time
	// slots returns the number of requests that a replica runs concurrently.
	slots      func(incarnation replica.Incarnation) int
	self       core.NodeID
	dataCentre string

	mutex  sync.Mutex
	queues map[replica.Incarnation]*replicaPlaces
	// entries are the nodes that send to replicas.
	entries []route.Node
	lastID  uint64
}

// replicaPlaces are the places at one incarnation of a replica.
type replicaPlaces struct {
	to    replica.Replica
	queue *placement.Queue
	// waiters receive the end of the wait of each claim.
	waiters map[uint64]chan placement.Settled
}

// heldPlace is a place in use by a send.
type heldPlace struct {
	places   *places
	at       *replicaPlaces
	place    placement.Place
	released atomic.Bool
}

func newPlaces(self core.NodeID, dataCentre string, slots func(replica.Incarnation) int, now func() core.Time) *places {
	return &places{now: now, slots: slots, self: self, dataCentre: dataCentre, queues: map[replica.Incarnation]*replicaPlaces{}}
}

// acquire takes a place at a replica, or waits for one. The error is a placement.NoPlace: nothing was sent.
func (p *places) acquire(ctx context.Context, to replica.Replica, claim placement.Claim, held *heldPlace) error {
	p.mutex.Lock()
	now := p.now()
	at := p.find(to)
	p.lastID++
	id := p.lastID
	decision, place, settled := at.queue.Offer(id, claim, now)
	var wait chan placement.Settled
	if decision.Verdict == placement.Wait {
		wait = make(chan placement.Settled, 1)
		at.waiters[id] = wait
	}
	at.deliver(settled)
	p.mutex.Unlock()
	switch decision.Verdict {
	case placement.Send:
		held.places, held.at, held.place = p, at, place
		return nil
	case placement.Wait:
		return p.await(ctx, at, id, wait, claim, decision, held)
	default:
		return &placement.NoPlace{Decision: decision, Priority: claim.Priority}
	}
}

// await waits for the end of a claim's wait.
func (p *places) await(ctx context.Context, at *replicaPlaces, id uint64, wait <-chan placement.Settled, claim placement.Claim, decision placement.Decision, held *heldPlace) error {
	began := p.now()
	timer := time.NewTimer(max(decision.Until-began, 0))
	defer timer.Stop()
	for {
		select {
		case end := <-wait:
			if end.Decision.Verdict != placement.Send {
				return &placement.NoPlace{Decision: end.Decision, Priority: claim.Priority, Waited: p.now() - began}
			}
			held.places, held.at, held.place = p, at, end.Place
			return nil
		case <-timer.C:
			p.tick(at)
		case <-ctx.Done():
			if p.cancel(at, id) {
				return &placement.NoPlace{Decision: decision, Priority: claim.Priority, Waited: p.now() - began, Cause: context.Cause(ctx)}
			}
			// The wait has just ended; the result is in the channel.
			ctx = context.WithoutCancel(ctx)
		}
	}
}

// cancel removes a waiting claim, and reports whether it was still waiting.
func (p *places) cancel(at *replicaPlaces, id uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(at.waiters, id)
	return at.queue.Cancel(id)
}

func (p *places) tick(at *replicaPlaces) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at.deliver(at.queue.Tick(p.now()))
}

// deliver tells the waiters the ends of their waits.
func (r *replicaPlaces) deliver(settled []placement.Settled) {
	for _, end := range settled {
		if wait := r.waiters[end.ID]; wait != nil {
			delete(r.waiters, end.ID)
			wait <- end
		}
	}
}

// find returns the places at an incarnation.
func (p *places) find(to replica.Replica) *replicaPlaces {
	at := p.queues[to.Incarnation()]
	if at == nil {
		at = &replicaPlaces{to: to, waiters: map[uint64]chan placement.Settled{}}
		at.queue = placement.NewQueue(p.part(to))
		p.queues[to.Incarnation()] = at
	}
	return at
}

// part returns this node's part of the places at a replica.
func (p *places) part(to replica.Replica) int {
	senders := placement.Senders{Self: p.self}
	for _, node := range p.entries {
		if node.DataCentre == to.DataCentre {
			senders.Near = append(senders.Near, node.ID)
		} else {
			senders.Far++
		}
	}
	if len(p.entries) == 0 && to.DataCentre == p.dataCentre {
		senders.Near = append(senders.Near, p.self)
	}
	return placement.Part(to.ID, p.slots(to.Incarnation()), senders)
}

// setEntries sets the nodes that send to replicas, among which the places are divided.
func (p *places) setEntries(entries []route.Node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.entries = entries
	now := p.now()
	for _, at := range p.queues {
		at.deliver(at.queue.SetPart(p.part(at.to), now))
	}
}

// expire ends the waits whose time has passed, and forgets the replicas that get no further requests.
func (p *places) expire(wanted func(incarnation replica.Incarnation) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	for incarnation, at := range p.queues {
		at.deliver(at.queue.Tick(now))
		if at.queue.IsIdle() && !wanted(incarnation) {
			delete(p.queues, incarnation)
		}
	}
}

// waiting counts the claims that wait for places.
func (p *places) waiting() (count int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, at := range p.queues {
		count += int64(len(at.waiters))
	}
	return count
}

// release ends the use of a place. Further calls do nothing.
func (h *heldPlace) release(outcome placement.Outcome) {
	if h.places == nil || h.released.Swap(true) {
		return
	}
	h.places.mutex.Lock()
	defer h.places.mutex.Unlock()
	h.at.deliver(h.at.queue.Release(h.place, outcome, h.places.now()))
}

// acquirePlace takes a place for a send, and reports whether it has one. If not, the send has ended.
func (q *request) acquirePlace(ctx context.Context, e *exchange) bool {
	began := q.node.now()
	e.err = q.node.places.acquire(ctx, e.send.Replica, q.claimOf(e), &e.place)
	e.waited = q.node.now() - began
	return e.err == nil
}

// claimOf returns the claim of a send.
func (q *request) claimOf(e *exchange) placement.Claim {
	claim := q.claim
	claim.Waited += q.node.now() - q.arrived
	claim.Extra = claim.Extra || e.send.Cause == scatter.Hedge
	claim.Last = e.send.Last
	return claim
}

// releasePlace ends the use of a send's place. The exchange of a cancelled send may still run at the replica for a while.
func (e *exchange) releasePlace() {
	var failed *replicaconn.Error
	cancelled := errors.As(e.err, &failed) && failed.Sent && e.ctx.Err() != nil
	switch {
	case cancelled:
		time.AfterFunc(placeLingerTime, func() { e.place.release(placement.Unanswered) })
	case e.verdict == scatter.Refused:
		e.place.release(placement.Refused)
	case e.err == nil:
		e.place.release(placement.Answered)
	default:
		e.place.release(placement.Unanswered)
	}
}

// delegatedClaim returns the claim of another node's request. A sender of an older version states no priority; the route's
// own one holds then.
func (n *Node) delegatedClaim(message *peerpb.DelegateRequest, route *policy.Route) placement.Claim {
	claim := placement.Claim{
		Priority: route.Priority, Waited: time.Duration(message.GetWaitedUs()) * time.Microsecond, OverShare: message.GetOverShare(), Extra: message.GetExtra(),
		Deadline: n.now() + time.Duration(message.GetTimeLeftUs())*time.Microsecond - waitMargin,
	}
	if message.GetPriority() > 0 {
		claim.Priority = placement.ClampPriority(int(min(message.GetPriority()-1, placement.Priorities)))
	}
	if message.GetTargetLeftUs() > 0 {
		claim.TargetAt = n.now() + time.Duration(message.GetTargetLeftUs()-1)*time.Microsecond
	}
	return claim
}

// stateClaim states the claim of the request in a message to a helper.
func (q *request) stateClaim(message *peerpb.DelegateRequest) {
	message.Priority = uint32(placement.ClampPriority(q.claim.Priority)) + 1
	message.WaitedUs = uint64(max(q.claim.Waited+q.node.now()-q.arrived, 0).Microseconds())
	message.OverShare = q.claim.OverShare
	message.Extra = message.GetApart()
	if q.claim.TargetAt > 0 {
		message.TargetLeftUs = uint64(max(q.claim.TargetAt-q.node.now(), 0).Microseconds()) + 1
	}
}

// setNoPlace reports a send without a place to the entry node. The verdict says the same to nodes of an older version.
func setNoPlace(part *peerpb.DelegatedPart, cause error) {
	part.Verdict, part.NoPlace, part.Cause = uint32(scatter.Unreached), true, cause.Error()
	var noPlace *placement.NoPlace
	if errors.As(cause, &noPlace) {
		part.Ahead = uint32(noPlace.Decision.Ahead)
	}
}

// noPlaceAtHelper returns the error of a send for which a helper had no place.
func noPlaceAtHelper(part *peerpb.DelegatedPart, priority int) error {
	return &placement.NoPlace{
		Decision: placement.Decision{Verdict: placement.Elsewhere, Short: placement.Slots, Ahead: int(part.GetAhead())},
		Priority: priority, Waited: time.Duration(part.GetWaitedUs()) * time.Microsecond,
	}
}

// newClaim returns the claim of a caller's request, without what differs between its sends.
func (q *request) newClaim() placement.Claim {
	claim := placement.Claim{Priority: q.route.Priority, Waited: q.plan.Elapsed, Deadline: q.plan.Deadline - waitMargin}
	if q.route.TargetLatency > 0 {
		claim.TargetAt = q.plan.TargetAt
	}
	return claim
}
