package mirror

import (
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// pauseThreshold is how much longer than its limit a wait must take for this process to count as paused
// meanwhile.
const pauseThreshold = 500 * time.Millisecond

// outages tracks what a node knows of outages of the store, after which entries of live replicas may be
// missing for a while.
//
// Only a node whose own calls to the store get no answer, while no other node reports a later answer, knows of an
// outage; it tells the nodes that follow it. A copy that was not confirmed for long does not show one: its sources may have
// been silent, or this process paused, while the store served others. If removals then counted as the effect of an outage,
// requests would be sent to replicas that left long ago.
type outages struct {
	// after is the time without a confirmation from which on entries may have expired, unanswered the time
	// without an answer to calls from which on the store counts as away, and recovery the time after an outage
	// within which entries may be written again.
	after, unanswered, recovery time.Duration

	mutex sync.Mutex
	// unansweredSince is the start of this node's first call without an answer since the store last answered any
	// node, as far as this one knows; 0 if there is none.
	unansweredSince core.Time
	// toldUntil is the end of the recovery period of which another node told, recoveryUntil that of the last outage
	// that this node's copy went through.
	toldUntil, recoveryUntil core.Time
}

// callFailed records that the store did not answer a call that began at the given time.
func (o *outages) callFailed(startedAt core.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.unansweredSince == 0 {
		o.unansweredSince = startedAt
	}
}

// processResumed records the end of a pause of this process: that the store did not answer meanwhile shows nothing.
func (o *outages) processResumed() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.unansweredSince = 0
}

// told records what another node knows: how much longer removals may be the effect of an outage.
func (o *outages) told(now core.Time, left time.Duration) {
	if left <= 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.toldUntil = max(o.toldUntil, now+left)
}

// readingConfirmed records a reading that the store confirmed at the time confirmed, of a copy that it had last
// confirmed at the time previous. The gap lasts until now: another node may pass on changes before it has recorded
// that they are confirmed.
func (o *outages) readingConfirmed(now, previous, confirmed core.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if previous > 0 && now-previous > o.after {
		o.recoveryUntil = max(o.recoveryUntil, o.toldUntil)
		if o.isStoreAway(now) {
			o.recoveryUntil = now + o.recovery
		}
	}
	if confirmed > o.unansweredSince {
		o.unansweredSince = 0
	}
}

// isStoreAway reports whether the store has not answered for so long that it counts as away; the mutex must be held.
func (o *outages) isStoreAway(now core.Time) bool {
	return o.unansweredSince > 0 && now-o.unansweredSince > o.unanswered
}

// storeRestored starts a recovery period for a store that was restored from a backup.
func (o *outages) storeRestored(now core.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.recoveryUntil = now + o.recovery
}

// recovering reports whether removals may be the effect of an outage.
func (o *outages) recovering(now core.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return now < o.recoveryUntil
}

// left returns how much longer removals may be the effect of an outage, as far as this node knows.
func (o *outages) left(now core.Time) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.isStoreAway(now) {
		return o.recovery
	}
	return max(o.recoveryUntil-now, o.toldUntil-now, 0)
}
