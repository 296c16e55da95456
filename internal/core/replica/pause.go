package replica

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// minPauseRatio is the least delay of an answer that is taken for a pause, as a multiple of the replica's typical
// latency. Replicas that are slow but not paused take up to four times as long as usual.
const minPauseRatio = 5

// recordPause records a pause if an answer took much longer than this replica's usually do. The pause ended
// about one answer time before the answer.
func (t *Table) recordPause(s *state, took, typical time.Duration, now core.Time) {
	own := time.Duration(float64(typical) * s.slownessNow(now))
	if paused := took - own; paused >= minPauseRatio*own {
		t.Pauses.Observe(&s.pauses, now-own, paused)
	}
}

// expectsPause reports whether a request of typical latency sent now would probably meet a pause.
func (t *Table) expectsPause(s *state, typical time.Duration, now core.Time) bool {
	return t.Pauses.ExpectsPause(&s.pauses, typical, now)
}

// PauseAge returns how long ago the last known pause of a replica ended, false if none is known.
func (t *Table) PauseAge(incarnation Incarnation, now core.Time) (time.Duration, bool) {
	if known := t.find(incarnation); known != nil {
		return known.pauses.Age(now)
	}
	return 0, false
}

// ReceivePause records the age of a pause that another node observed.
func (t *Table) ReceivePause(incarnation Incarnation, age time.Duration, now core.Time) {
	if known := t.find(incarnation); known != nil {
		t.Pauses.ObserveRemote(&known.pauses, age, now)
	}
}
