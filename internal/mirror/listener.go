package mirror

import "time"

// Change is the effect of a reading on the copy.
type Change struct {
	Items []Item
	// Era is the era of the items' revisions.
	Era uint64
	// AfterOutage is set when removals among the items may not mean that a
	// replica is gone.
	AfterOutage bool
	// NewEra is set when the store was restored from a copy of itself: items that it lacks may have been
	// lost and be written again, and items that it has may have been removed since.
	NewEra bool
	// Outranked are items that were not applied, since the copy has values of a higher rank.
	Outranked []Item
}

// EraChange is the move of a copy to another era of the store.
type EraChange struct {
	Source            string
	Previous, Current Position
	// Lost counts the items that only the previous era had, Differing those that are new or have another value in
	// the current one, and Unchanged those that are equal in both.
	Lost, Differing, Unchanged int
	// Outranked counts the items for which the copy kept the previous era's value, since the new one has a lower rank.
	Outranked int
}

// Listener receives the events of a copy. All calls come from one goroutine.
type Listener interface {
	// Changed is called for each change of the copy.
	Changed(Change)
	// SourceFailed is called when the store stops answering, and SourceRecovered when it
	// answers again.
	SourceFailed(source string, cause error)
	SourceRecovered(source string, after time.Duration)
	// EraChanged is called when the store was restored from a copy of itself, or announces an era for
	// the first time.
	EraChanged(EraChange)
	// EraMissing is called for the first of a series of store replies without a valid era, while an era is known.
	EraMissing(known uint64)
	// ReadingRejected is called for the first of a series of readings that left the copy unchanged.
	ReadingRejected(RejectedReading)
}

// RejectedReading is a reading that is older than the copy.
type RejectedReading struct {
	Source string
	// Era and Revision are those of the reading, Position is that of the copy.
	Era, Revision uint64
	Position      Position
}
