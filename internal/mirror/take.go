package mirror

import "github.com/pistachiopier/pistachiopier/internal/core"

// noteOutage notes at a reading whether the store was away for long before it.
func (f *Follower) noteOutage(read core.Time) {
	before := core.Time(f.confirmed.Load())
	if before > 0 && read-before > f.config.Outage {
		f.returnUntil = f.now() + f.config.Return
	}
}

// take takes up a delta that was the store's newest state at a time. It reports whether the copy is
// confirmed by it: a delta of an older era says nothing of the store as it is, nor does a whole reading
// of it that stands behind the copy.
func (f *Follower) take(source string, delta Delta, confirmed core.Time) bool {
	reached := f.copy.Reached()
	applied := f.copy.Apply(delta)
	if applied.OtherEra || delta.Whole && !applied.Replaced && delta.UpTo < reached.Revision {
		f.notTaken(source, delta, reached)
		return false
	}
	f.behind = false
	f.noteOutage(confirmed)
	newEra := applied.Replaced && delta.Era != applied.Former.Era
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
func (f *Follower) eraChanged(source string, applied Applied) {
	f.gapAt = 0
	f.returnUntil = f.now() + f.config.Return
	f.counts.eraChanges.Add(1)
	change := EraChange{Source: source, Former: applied.Former, Now: f.copy.Reached(), Stood: applied.Stood, Outranked: len(applied.Outranked)}
	for _, item := range applied.Changed {
		if item.Removed {
			change.Lost++
		} else {
			change.Differing++
		}
	}
	f.listener.EraChanged(change)
}

// notTaken tells the first of a series of readings that the copy did not take.
func (f *Follower) notTaken(source string, delta Delta, reached Reached) {
	f.counts.notTaken.Add(1)
	if !f.behind {
		f.behind = true
		f.listener.NotTaken(NotTaken{Source: source, Era: delta.Era, Revision: delta.UpTo, Reached: reached})
	}
}
