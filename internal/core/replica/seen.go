package replica

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Sent notes that a request was sent to a replica.
func (b *Table) Sent(life Incarnation, now core.Time) {
	if known := b.of(life); known != nil {
		if known.outstanding == 0 {
			known.silentSince = now
		}
		known.outstanding++
	}
}

// Ended notes that a request to a replica came to its end, whatever that was.
func (b *Table) Ended(life Incarnation) {
	if known := b.of(life); known != nil {
		known.outstanding = max(known.outstanding-1, 0)
	}
}

// InFlight counts the requests that were sent and have not ended.
func (b *Table) InFlight() int {
	total := 0
	for _, known := range b.byID {
		total += known.outstanding
	}
	return total
}

// maxSlowness bounds what one answer teaches: after a stall of a second a replica
// is not to be shunned for half a minute.
const maxSlowness = 10

// Answered notes a whole answer. Usual is the route's usual answer time, 0 while
// it is not known.
func (b *Table) Answered(life Incarnation, took, usual time.Duration, now core.Time) {
	known := b.of(life)
	if known == nil {
		return
	}
	known.overdueAt = 0
	known.silentSince = now
	known.unreachedAt = 0
	known.failures = known.failuresNow(now) * (1 - learning)
	known.failuresAt = now
	known.refusals = known.refusalsNow(now) * (1 - learning)
	known.refusalsAt = now
	if usual <= 0 {
		return
	}
	b.notePause(known, took, usual, now)
	ratio := min(float64(took)/float64(usual), maxSlowness)
	known.slowness = known.slownessNow(now)*(1-learning) + ratio*learning
	known.slownessAt = now
}

// Failed notes a request that brought no whole answer. Outcomes count, health
// endpoints do not: those say "healthy" while requests fail, and the reverse.
func (b *Table) Failed(life Incarnation, now core.Time) {
	known := b.of(life)
	if known == nil {
		return
	}
	known.failures = known.failuresNow(now)*(1-learning) + learning
	known.failuresAt = now
}

// Unreached notes a replica that took no connection.
func (b *Table) Unreached(life Incarnation, now core.Time) {
	if known := b.of(life); known != nil {
		known.failures = 1
		known.unreachedAt = now
		known.failuresAt = now
	}
}

// Refused notes that a replica had no room for a request.
func (b *Table) Refused(life Incarnation, now core.Time) {
	if known := b.of(life); known != nil {
		known.refusedAt = now
		known.refusals = known.refusalsNow(now)*(1-learning) + learning
		known.refusalsAt = now
	}
}

// Misdirected notes that another replica answered at a replica's address. The replica is
// gone, whatever the registry still lists, until it is listed at another address.
func (b *Table) Misdirected(life Incarnation) {
	if known := b.of(life); known != nil {
		known.misdirected = true
	}
}

// Overdue notes that an answer takes longer than usual. Replicas pause for moments
// that are several times a usual answer; the requests that follow within the pause
// go elsewhere at once instead of each finding out by itself.
func (b *Table) Overdue(life Incarnation, now core.Time) {
	if known := b.of(life); known != nil && known.overdueAt == 0 || known != nil && !known.overdue(now) {
		known.overdueAt = now
	}
}

// Lapse notes that the registry no longer lists a replica, for a reason that may
// be the registry's own: it keeps getting requests until Expire.
func (b *Table) Lapse(id string, now core.Time) {
	if known := b.byID[id]; known != nil && known.lapsedAt == 0 {
		known.lapsedAt = max(now, 1)
	}
}

// PredatesRemoval reports whether a report is none that a replica which is no longer listed could have made since it
// left: a registry that came back from a copy lists replicas that are gone.
func (b *Table) PredatesRemoval(listed Replica) bool {
	last, gone := b.ended[listed.ID]
	return gone && listed.Born == last.born && listed.Sequence <= last.sequence
}

// Suspect keeps requests from a replica that may have left, until ExpireSuspicions or a newer report of it.
func (b *Table) Suspect(life Incarnation, now core.Time) {
	if known := b.of(life); known != nil {
		known.doubtedAt = max(now, 1)
	}
}

// ExpireSuspicions ends the doubts that began longer than the given time ago, and returns the replicas' ids: an entry
// that is still listed then is renewed by somebody.
func (b *Table) ExpireSuspicions(after time.Duration, now core.Time) []string {
	var trusted []string
	for id, known := range b.byID {
		if known.doubtedAt > 0 && now-known.doubtedAt >= after {
			known.doubtedAt = 0
			trusted = append(trusted, id)
		}
	}
	return trusted
}

// Expire removes the replicas that lapsed longer than the given time ago and
// returns their ids.
func (b *Table) Expire(after time.Duration, now core.Time) []string {
	var gone []string
	for id, known := range b.byID {
		if known.lapsedAt > 0 && now-known.lapsedAt >= after {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		b.Remove(id)
	}
	return gone
}
