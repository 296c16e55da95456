package replica

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Sent records that a request was sent to a replica.
func (t *Table) Sent(incarnation Incarnation, now core.Time) {
	if known := t.find(incarnation); known != nil {
		if known.inFlight == 0 {
			known.noAnswerSince = now
		}
		known.inFlight++
	}
}

// Ended records that a request to a replica has ended, with any outcome.
func (t *Table) Ended(incarnation Incarnation) {
	if known := t.find(incarnation); known != nil {
		known.inFlight = max(known.inFlight-1, 0)
	}
}

// InFlight counts the requests that were sent and have not ended.
func (t *Table) InFlight() int {
	total := 0
	for _, known := range t.byID {
		total += known.inFlight
	}
	return total
}

// maxSlowness bounds the effect of one answer on the slowness estimate, so that a replica is not avoided for
// half a minute after a stall of one second.
const maxSlowness = 10

// Answered records a complete answer. The argument typical is the route's typical latency, 0 while it is unknown.
func (t *Table) Answered(incarnation Incarnation, took, typical time.Duration, now core.Time) {
	known := t.find(incarnation)
	if known == nil {
		return
	}
	known.overdueAt = 0
	known.noAnswerSince = now
	known.unreachedAt = 0
	known.observedAt, known.answeredAt = now, now
	known.failures = known.failuresNow(now) * (1 - ewmaWeight)
	known.failuresAt = now
	known.refusals = known.refusalsNow(now) * (1 - ewmaWeight)
	known.refusalsAt = now
	if typical <= 0 {
		return
	}
	t.recordPause(known, took, typical, now)
	ratio := min(float64(took)/float64(typical), maxSlowness)
	weight := answerWeight(now - known.slownessAt)
	if typical >= minLongLatency && ratio < faultyRatio {
		weight = min(weight, longAnswerWeight)
	}
	known.slowness = known.slownessNow(now)*(1-weight) + ratio*weight
	known.slownessAt = now
	known.recordPace(took, typical, now)
}

// answerWeight returns the weight of an answer in the moving average of slowness by the time since the one before: the
// longer that is, the less the former average tells of the present.
func answerWeight(gap time.Duration) float64 {
	return min(max(1-decay(gap, averageHalfLife), ewmaWeight), maxEwmaWeight)
}

// Failed records a request without a complete answer. Replicas are judged by the outcomes of requests, not by
// their health endpoints, which may report "healthy" while requests fail, and the reverse.
func (t *Table) Failed(incarnation Incarnation, now core.Time) {
	known := t.find(incarnation)
	if known == nil {
		return
	}
	known.failures = known.failuresNow(now)*(1-ewmaWeight) + ewmaWeight
	known.failuresAt = now
	known.observedAt = now
}

// Unreached records that a replica accepted no connection.
func (t *Table) Unreached(incarnation Incarnation, now core.Time) {
	if known := t.find(incarnation); known != nil {
		known.failures = 1
		known.observedAt = now
		known.unreachedAt = now
		known.failuresAt = now
	}
}

// Refused records that a replica had no capacity for a request.
func (t *Table) Refused(incarnation Incarnation, now core.Time) {
	if known := t.find(incarnation); known != nil {
		known.refusedAt = now
		known.refusals = known.refusalsNow(now)*(1-ewmaWeight) + ewmaWeight
		known.refusalsAt = now
		known.observedAt = now
	}
}

// NoPlace records that this node, or one near the replica, had no place for a request there, with the number of requests that
// went first. The replica itself has refused nothing.
func (t *Table) NoPlace(incarnation Incarnation, ahead int, now core.Time) {
	if known := t.find(incarnation); known != nil {
		known.ahead, known.noPlaceAt = ahead, max(now, 1)
	}
}

// Misdirected records that another replica answered at a replica's address. The replica gets no requests, even if
// the registry still lists it, until it is listed at another address.
func (t *Table) Misdirected(incarnation Incarnation) {
	if known := t.find(incarnation); known != nil {
		known.misdirected = true
	}
}

// Overdue records that an answer takes longer than usual. Replicas pause for several times the typical latency;
// requests that follow within the pause go elsewhere immediately instead of each waiting for its own hedge.
func (t *Table) Overdue(incarnation Incarnation, now core.Time) {
	if known := t.find(incarnation); known != nil && known.overdueAt == 0 || known != nil && !known.overdue(now) {
		known.overdueAt = now
	}
}

// Lapse records that the registry no longer lists a replica, possibly because the registry lost the entry: the
// replica keeps getting requests until Expire.
func (t *Table) Lapse(id string, now core.Time) {
	if known := t.byID[id]; known != nil && known.lapsedAt == 0 {
		known.lapsedAt = max(now, 1)
	}
}

// PredatesRemoval reports whether a report is not newer than the last one before its replica was removed: a registry
// that was restored from a copy lists replicas that have since left.
func (t *Table) PredatesRemoval(listed Replica) bool {
	last, removed := t.removed[listed.ID]
	return removed && listed.Born == last.born && listed.Sequence <= last.sequence
}

// Suspect withholds requests from a replica that may have left, until ExpireSuspicions or a newer report of it.
func (t *Table) Suspect(incarnation Incarnation, now core.Time) {
	if known := t.find(incarnation); known != nil {
		known.suspectedAt = max(now, 1)
	}
}

// ExpireSuspicions ends the suspicions that began at least the given time ago and returns the replicas' ids: an entry
// that is still listed by then is being renewed by its replica.
func (t *Table) ExpireSuspicions(after time.Duration, now core.Time) []string {
	var cleared []string
	for id, known := range t.byID {
		if known.suspectedAt > 0 && now-known.suspectedAt >= after {
			known.suspectedAt = 0
			cleared = append(cleared, id)
		}
	}
	return cleared
}

// Expire removes the replicas that lapsed at least the given time ago and returns their ids.
func (t *Table) Expire(after time.Duration, now core.Time) []string {
	var expired []string
	for id, known := range t.byID {
		if known.lapsedAt > 0 && now-known.lapsedAt >= after {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		t.Remove(id)
	}
	return expired
}
