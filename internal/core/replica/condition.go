package replica

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/condition"
)

const (
	// slowRatio is the latency, relative to the typical one, from which an answer counts as slow.
	slowRatio = 2
	// minSlowTime is how long all requests must have been slow before others are told: pauses are shorter.
	minSlowTime = 600 * time.Millisecond
)

// setTypical records the typical latency of the requests that the replica gets.
func (s *state) setTypical(typical time.Duration) {
	if s.inFlight == 0 {
		s.typical = typical
		return
	}
	s.typical = max(s.typical, typical)
}

// recordPace records since when all answers have been slow.
func (s *state) recordPace(took, typical time.Duration, now core.Time) {
	switch {
	case took < slowRatio*typical:
		s.slowSince = 0
	case s.slowSince == 0:
		s.slowSince = max(now-took, 1)
	}
}

// own returns what the node itself knows of the replica.
func (s *state) own(now core.Time) condition.Own {
	return condition.Own{
		Condition: condition.Condition{Slowness: s.slownessNow(now), Refused: s.refusalsNow(now), Failed: s.failuresNow(now), Unreachable: s.unreached(unreachedTTL, now)},
		At:        s.observedAt, AnsweredAt: s.answeredAt,
	}
}

// believed returns what the node believes of the replica by its own knowledge and that of others.
func (s *state) believed(now core.Time) condition.Condition {
	return s.word.Merge(s.own(now), now)
}

// Observations appends the node's own observations of the last seconds, as far as others may be told.
func (t *Table) Observations(to []condition.Observation[Incarnation], now core.Time) []condition.Observation[Incarnation] {
	for _, known := range t.byID {
		o := known.observation(now)
		if o.At == 0 || now-o.At >= condition.TTL {
			continue
		}
		if o.Slowness >= slowRatio && !t.hasFaster(known, o.Slowness, now) {
			o.Slowness = 1
		}
		to = append(to, o)
	}
	return to
}

// hasFaster reports whether the service has a much faster replica. If all are slow, as under overload, to know it alters
// no choice.
func (t *Table) hasFaster(s *state, slowness float64, now core.Time) bool {
	for _, other := range t.byService[s.Service] {
		if other != s && t.usable(other) && other.slownessNow(now) < slowness/slowRatio {
			return true
		}
	}
	return false
}

// observation returns what others may be told of the replica. Slowness is told only if it has lasted longer than a pause.
// Requests that have been in flight for long without an answer show it before they end.
func (s *state) observation(now core.Time) condition.Observation[Incarnation] {
	own := s.own(now)
	observed := condition.Observation[Incarnation]{Replica: s.Incarnation(), Condition: own.Condition, At: own.At}
	slowFor := time.Duration(0)
	if s.slowSince > 0 {
		slowFor = s.answeredAt - s.slowSince
	}
	if waiting := now - s.noAnswerSince; s.inFlight > 0 && s.typical > 0 && waiting >= slowRatio*s.typical {
		slowFor = max(slowFor, waiting)
		observed.Slowness = max(observed.Slowness, min(float64(waiting)/float64(s.typical), maxSlowness))
		observed.At = now
	}
	if slowFor < minSlowTime {
		observed.Slowness = min(observed.Slowness, 1)
	}
	return observed
}

// Receive records what another node has told of an incarnation, and reports whether it is the first notable word on it.
func (t *Table) Receive(from core.NodeID, incarnation Incarnation, told condition.Condition, at, now core.Time) (first bool) {
	known := t.find(incarnation)
	if known == nil {
		return false
	}
	before := len(known.word.Sources(now))
	known.word.Take(from, told, at)
	return before == 0 && len(known.word.Sources(now)) > 0
}

// ExpireWord drops what other nodes told too long ago.
func (t *Table) ExpireWord(now core.Time) {
	for _, known := range t.byID {
		if !known.word.IsEmpty() {
			known.word.Expire(now)
		}
	}
}

// Believed describes a replica that the node believes to be in an unusual condition.
type Believed struct {
	Replica, Service string
	condition.Condition
	// Sources are the other nodes by whose word; empty if the node knows it only itself.
	Sources []core.NodeID
}

// Unusual lists the replicas that the node believes to be in a notable condition, or that others say are in one.
func (t *Table) Unusual(now core.Time) []Believed {
	var list []Believed
	for id, known := range t.byID {
		believed, sources := known.believed(now), known.word.Sources(now)
		if believed.Notable() || len(sources) > 0 {
			list = append(list, Believed{Replica: id, Service: known.Service, Condition: believed, Sources: sources})
		}
	}
	return list
}
