package mirror

import "github.com/pistachiopier/pistachiopier/internal/core"

// Effects of a reading on the copy, and whether the copy then has the store's newest state.

// applyReading applies a delta that was the store's newest state at the time confirmed. It reports whether the
// copy has that state too. It does not after a delta of an older era, nor after a whole reading that is older
// than the copy.
func (f *Follower) applyReading(source string, delta Delta, confirmed core.Time) bool {
	position := f.copy.Position()
	applied := f.copy.Apply(delta)
	if applied.OtherEra || delta.Whole && !applied.Replaced && delta.UpTo < position.Revision {
		f.reportRejected(source, delta, position)
		return false
	}
	f.rejecting = false
	f.outages.readingConfirmed(f.now(), core.Time(f.confirmed.Load()), confirmed)
	newEra := applied.Replaced && delta.Era != applied.Previous.Era
	if newEra {
		f.eraChanged(source, applied)
	}
	lastConfirmed := core.Time(f.confirmed.Load())
	if newEra {
		// A confirmation of the previous era does not hold for this one.
		lastConfirmed = 0
	}
	f.confirmed.Store(int64(max(confirmed, lastConfirmed, 1)))
	f.counts.lagMs.Store((f.now() - confirmed).Milliseconds())
	if len(applied.Changed)+len(applied.Outranked) > 0 {
		f.listener.Changed(Change{Items: applied.Changed, Era: delta.Era, AfterOutage: f.outages.recovering(f.now()), NewEra: newEra, Outranked: applied.Outranked})
	}
	return true
}

// eraChanged reports that the copy moved to another era of the store. As after an outage, entries that were
// written after the copy from which the store was restored are written again.
func (f *Follower) eraChanged(source string, applied ApplyResult) {
	f.gapSince = 0
	f.outages.storeRestored(f.now())
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

// reportRejected counts a reading that left the copy unchanged, and reports the first one of a series.
func (f *Follower) reportRejected(source string, delta Delta, position Position) {
	f.counts.readingsRejected.Add(1)
	if !f.rejecting {
		f.rejecting = true
		f.listener.ReadingRejected(RejectedReading{Source: source, Era: delta.Era, Revision: delta.UpTo, Position: position})
	}
}
