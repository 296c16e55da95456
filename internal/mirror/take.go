package mirror

import "github.com/pistachiopier/pistachiopier/internal/core"

// noteOutage notes whether the store was away for longer than Config.Outage before a reading.
func (f *Follower) noteOutage(read core.Time) {
	before := core.Time(f.confirmed.Load())
	if before > 0 && read-before > f.config.OutageAfter {
		f.returnUntil = f.now() + f.config.RecoveryPeriod
	}
}

// What does a reading change in the copy, and is the copy the store's newest state after it?

// take applies a delta that was the store's newest state at the time confirmed. It reports whether the copy is that state
// too: a delta of an older era says nothing of the present store, nor does a whole reading that is older
// than the copy.
func (f *Follower) take(source string, delta Delta, confirmed core.Time) bool {
	reached := f.copy.Position()
	applied := f.copy.Apply(delta)
	if applied.OtherEra || delta.Whole && !applied.Replaced && delta.UpTo < reached.Revision {
		f.notTaken(source, delta, reached)
		return false
	}
	f.behind = false
	f.noteOutage(confirmed)
	newEra := applied.Replaced && delta.Era != applied.Previous.Era
	if newEra {
		f.eraChanged(source, applied)
	}
	before := core.Time(f.confirmed.Load())
	if newEra {
		// What confirmed the former era says nothing of this one.
		before = 0
	}
	f.confirmed.Store(int64(max(confirmed, before, 1)))
	f.counts.lagMs.Store((f.now() - confirmed).Milliseconds())
	if len(applied.Changed)+len(applied.Outranked) > 0 {
		f.listener.Changed(Change{Items: applied.Changed, Era: delta.Era, AfterOutage: f.now() < f.returnUntil, NewEra: newEra, Outranked: applied.Outranked})
	}
	return true
}

// eraChanged notes that the copy went over to another era of the store. Entries that were written since
// the copy that the store came back from are written again, as after an outage.
func (f *Follower) eraChanged(source string, applied ApplyResult) {
	f.gapAt = 0
	f.returnUntil = f.now() + f.config.RecoveryPeriod
	f.counts.eraChanges.Add(1)
	change := EraChange{Source: source, Previous: applied.Previous, Current: f.copy.Position(), Unchanged: applied.Unchanged, Outranked: len(applied.Outranked)}
	for _, item := range applied.Changed {
		if item.Removed {
			change.Lost++
		} else {
			change.Differing++
		}
	}
	f.listener.EraChanged(change)
}

// notTaken counts a reading that left the copy unchanged, and reports the first one of a series.
func (f *Follower) notTaken(source string, delta Delta, reached Position) {
	f.counts.notTaken.Add(1)
	if !f.behind {
		f.behind = true
		f.listener.ReadingRejected(RejectedReading{Source: source, Era: delta.Era, Revision: delta.UpTo, Position: reached})
	}
}
