package edge

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

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
	slots int
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
		at = &replicaPlaces{to: to, slots: p.slots(to.Incarnation()), waiters: map[uint64]chan placement.Settled{}}
		at.queue = placement.NewQueue(p.part(at))
		p.queues[to.Incarnation()] = at
	}
	return at
}

// part returns this node's part of the places at a replica.
func (p *places) part(at *replicaPlaces) int {
	to := at.to
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
	return placement.Part(to.ID, at.slots, senders)
}

// setEntries sets the nodes that send to replicas, among which the places are divided.
func (p *places) setEntries(entries []route.Node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.entries = entries
	now := p.now()
	for _, at := range p.queues {
		at.deliver(at.queue.SetPart(p.part(at), now))
	}
}

// expire ends the waits whose time has passed, takes up slots that were not known before, and forgets the replicas that get no
// further requests.
func (p *places) expire(wanted func(incarnation replica.Incarnation) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	for incarnation, at := range p.queues {
		at.deliver(at.queue.Tick(now))
		if slots := p.slots(incarnation); slots != at.slots && slots > 0 {
			at.slots = slots
			at.deliver(at.queue.SetPart(p.part(at), now))
		}
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
func (h *heldPlace) release(outcome placement.PlaceEnd) {
	if h.places == nil || h.released.Swap(true) {
		return
	}
	h.places.mutex.Lock()
	defer h.places.mutex.Unlock()
	h.at.deliver(h.at.queue.Release(h.place, outcome, h.places.now()))
}

// maxListedRooms bounds the replicas whose places the dump lists.
const maxListedRooms = 16

// room describes the places at one replica for operators.
type room struct {
	Replica string `json:"replica"`
	Service string `json:"service"`
	placement.State
	PausedMs int64 `json:"paused_ms"`
	HoldUs   int64 `json:"hold_us"`
}

// busiest lists the replicas with the most requests that wait for or use this node's places.
func (p *places) busiest() []room {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	rooms := []room{}
	for _, at := range p.queues {
		state := at.queue.State(now)
		if state.InUse+state.Waiting > 0 || state.Paused > 0 {
			rooms = append(rooms, room{Replica: at.to.ID, Service: at.to.Service, State: state, PausedMs: state.Paused.Milliseconds(), HoldUs: state.Hold.Microseconds()})
		}
	}
	slices.SortFunc(rooms, func(a, b room) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.InUse, a.InUse), cmp.Compare(a.Replica, b.Replica))
	})
	return rooms[:min(len(rooms), maxListedRooms)]
}
