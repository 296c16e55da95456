package replica

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
)

// SetColdBounds takes what cold replicas of each service bear.
func (b *Table) SetColdBounds(bounds map[string]coldstart.Bound) { b.coldBounds = bounds }

// SetSenders takes the nodes that requests come to, which share what cold replicas bear, and which
// of them this one is.
func (b *Table) SetSenders(self core.NodeID, senders []core.NodeID) {
	b.self, b.senders = self, senders
}

// SetColdUntil notes until when a replica is cold by its own report.
func (b *Table) SetColdUntil(life Incarnation, until core.Time) {
	if known := b.of(life); known != nil {
		known.coldUntil = until
	}
}

// coldBound finds the bound that holds for a replica now; false when it is warm or states none.
//
// The replicas of a data centre that is taken back after an evacuation count as cold although their
// reports may still be those of before: they have done nothing for a while, and the report that
// says so comes a heartbeat later than the requests.
func (b *Table) coldBound(s *state, now core.Time) (coldstart.Bound, bool) {
	bound := b.coldBounds[s.Service]
	if bound.PerSecond <= 0 {
		return bound, false
	}
	returned, evacuatedOnce := b.returned[s.DataCentre]
	return bound, now < s.coldUntil || evacuatedOnce && now-returned < bound.Lasts
}

// bears reports whether a replica is warm or bears one more request of this node now.
func (b *Table) bears(s *state, now core.Time) bool {
	bound, cold := b.coldBound(s, now)
	return !cold || s.cold.Free(coldstart.Share(bound, s.ID, b.self, b.senders), now)
}

// takeCold counts a request at a cold replica. It counts at the choice and not at the send, so that
// requests that choose at the same moment do not all take the same room; a choice that is not
// sent leaves the replica less than it bears.
func (b *Table) takeCold(s *state, now core.Time) {
	if _, cold := b.coldBound(s, now); cold {
		s.cold.Take(now)
	}
}
