package replica

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
)

// SetColdBounds sets the bounds on the request rate of cold replicas, by service.
func (t *Table) SetColdBounds(bounds map[string]coldstart.Bound) { t.coldBounds = bounds }

// SetSenders sets the nodes that receive requests and so share the rate bound of cold replicas, and the
// id of this node.
func (t *Table) SetSenders(self core.NodeID, senders []core.NodeID) {
	t.self, t.senders = self, senders
}

// SetColdUntil records until when a replica is cold according to its own report.
func (t *Table) SetColdUntil(incarnation Incarnation, until core.Time) {
	if known := t.find(incarnation); known != nil {
		known.coldUntil = until
	}
}

// coldBound returns the rate bound that applies to a replica now, false if it is warm or its service has none.
//
// After the end of an evacuation the data centre's replicas count as cold, whatever they last reported: they
// have been idle, and the report that they are cold arrives a heartbeat after the first requests.
func (t *Table) coldBound(s *state, now core.Time) (coldstart.Bound, bool) {
	bound := t.coldBounds[s.Service]
	if bound.PerSecond <= 0 {
		return bound, false
	}
	returned, evacuatedOnce := t.returnedAt[s.DataCentre]
	return bound, now < s.coldUntil || evacuatedOnce && now-returned < bound.Lasts
}

// hasColdCapacity reports whether a replica is warm or, if cold, has capacity for one more request of this node now.
func (t *Table) hasColdCapacity(s *state, now core.Time) bool {
	bound, cold := t.coldBound(s, now)
	return !cold || s.cold.HasCapacity(coldstart.Share(bound, s.ID, t.self, t.senders), now)
}

// countCold counts a request to a cold replica. It counts when the replica is chosen, not when the request is
// sent, so that concurrent choices do not all use the same capacity; a choice that is not sent leaves capacity
// unused.
func (t *Table) countCold(s *state, now core.Time) {
	if _, cold := t.coldBound(s, now); cold {
		s.cold.Record(now)
	}
}
