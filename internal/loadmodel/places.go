package loadmodel

import (
	"fmt"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// places are a node's places at one replica, and the sends that wait for them by their ids.
type places struct {
	queue   *placement.Queue
	waiting map[uint64]*transfer
	lastID  uint64
}

// newPlaces returns the places of a node at a replica.
func newPlaces(s *simulation, self core.NodeID, u *upstream) *places {
	p := &places{waiting: map[uint64]*transfer{}}
	p.queue = placement.NewQueue(s.part(self, u))
	return p
}

// part returns a node's part of the places at a replica: all nodes of the model take part.
func (s *simulation) part(self core.NodeID, u *upstream) int {
	senders := placement.Senders{Self: self}
	for _, n := range s.nodes {
		switch {
		case n.ended:
		case n.dataCentre.Name == u.replica.DataCentre:
			senders.Near = append(senders.Near, n.id)
		default:
			senders.Far++
		}
	}
	return placement.Part(u.replica.ID, s.pattern.Slots, senders)
}

// divideAgain divides the places at all replicas anew, after a node has ended.
func (s *simulation) divideAgain() {
	for _, n := range s.nodes {
		for _, u := range s.upstreams {
			if !n.ended {
				n.places[u].deliver(n.places[u].queue.SetPart(s.part(n.id, u), s.clock.now))
			}
		}
	}
}

func nodeID(dataCentre string, i int) core.NodeID {
	return core.NodeID(fmt.Sprintf("%s-%d", dataCentre, i))
}

// claim returns what the send asks for a place with.
func (t *transfer) claim() placement.Claim {
	q, now := t.request, t.request.node.simulation.clock.now
	return placement.Claim{
		Priority: q.kind.Priority, Waited: q.plan.Admission.Waited + now - q.arrived, TargetAt: q.plan.TargetAt, Deadline: q.plan.Deadline,
		Extra: t.send.Extra, Last: t.send.Last,
	}
}

// acquirePlace takes a place at the replica, or waits for one at the node that sends.
func (t *transfer) acquirePlace() {
	s := t.request.node.simulation
	if s.options.without(Places) {
		t.acquireConnection()
		return
	}
	p := t.via.places[t.to]
	p.lastID++
	t.placeID = p.lastID
	decision, place, settled := p.queue.Offer(t.placeID, t.claim(), s.clock.now)
	if decision.Verdict == placement.Wait {
		p.waiting[t.placeID] = t
		s.clock.at(decision.Until, func() { p.deliver(p.queue.Tick(s.clock.now)) })
	}
	p.deliver(settled)
	switch decision.Verdict {
	case placement.Send:
		t.place, t.placed = place, true
		t.placedAt = s.clock.now
		t.acquireConnection()
	case placement.Elsewhere, placement.Reject:
		t.ahead = decision.Ahead
		// The machine that makes the send takes its end with a later event.
		s.clock.after(1, func() { t.end(scatter.NoPlace) })
	case placement.Wait:
	}
}

// deliver carries out the ends of waits.
func (p *places) deliver(settled []placement.Settled) {
	for _, end := range settled {
		t := p.waiting[end.ID]
		delete(p.waiting, end.ID)
		s := t.request.node.simulation
		if end.Decision.Verdict != placement.Send {
			t.ahead = end.Decision.Ahead
			s.clock.after(1, func() { t.end(scatter.NoPlace) })
			continue
		}
		t.place, t.placed = end.Place, true
		t.placedAt = s.clock.now
		s.clock.after(1, t.acquireConnection)
	}
}

// leavePlace ends a wait for a place, and reports whether the send was waiting.
func (t *transfer) leavePlace() bool {
	p := t.via.places[t.to]
	if p.waiting[t.placeID] != t {
		return false
	}
	delete(p.waiting, t.placeID)
	return p.queue.Cancel(t.placeID)
}

// releasePlace ends the use of the send's place.
func (t *transfer) releasePlace(verdict scatter.Verdict) {
	if !t.placed {
		return
	}
	t.placed = false
	outcome := placement.Unanswered
	switch verdict {
	case scatter.Succeeded:
		outcome = placement.Answered
	case scatter.Refused:
		outcome = placement.Refused
	case scatter.Failed, scatter.Unreached, scatter.NoPlace:
	}
	p := t.via.places[t.to]
	p.deliver(p.queue.Release(t.place, outcome, t.request.node.simulation.clock.now))
}
