package replica

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// pauseTimes is how many of a replica's usual answer times an answer takes longer that waited through
// a pause. Slow moments of replicas that work are up to four times as long as usual.
const pauseTimes = 5

// notePause learns from an answer that took much longer than this replica's usually do: it stood still
// until about one answer time ago.
func (b *Table) notePause(s *state, took, usual time.Duration, now core.Time) {
	own := time.Duration(float64(usual) * s.slownessNow(now))
	if stood := took - own; stood >= pauseTimes*own {
		b.Pauses.Seen(&s.pauses, now-own, stood)
	}
}

// pausing reports whether a request that takes a usual time would probably meet a pause.
func (b *Table) pausing(s *state, usual time.Duration, now core.Time) bool {
	return b.Pauses.Pausing(&s.pauses, usual, now)
}

// PauseAge is how long ago a pause of a replica ended that was seen; false where none is known.
func (b *Table) PauseAge(life Incarnation, now core.Time) (time.Duration, bool) {
	if known := b.of(life); known != nil {
		return known.pauses.Age(now)
	}
	return 0, false
}

// ReceivePause takes the age of a pause that another node saw.
func (b *Table) ReceivePause(life Incarnation, age time.Duration, now core.Time) {
	if known := b.of(life); known != nil {
		b.Pauses.Heard(&known.pauses, age, now)
	}
}
