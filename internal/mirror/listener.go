package mirror

import "time"

// Change is what a reading brought.
type Change struct {
	Items []Item
	// Era is that of the items' revisions.
	Era uint64
	// AfterOutage is set when removals among the items may not mean that a
	// replica is gone.
	AfterOutage bool
	// NewEra is set when the store came back from a copy of itself: what it lacks may have been lost
	// and be written again, and what it has may have been removed since.
	NewEra bool
	// Outranked are items that the copy left unchanged, since it has values of a higher rank.
	Outranked []Item
}

// EraChange is a copy's step into another era of the store.
type EraChange struct {
	Source            string
	Previous, Current Position
	// Lost counts the items that only the former era had, Differing those with another value in the new one or
	// only there, Unchanged those that are equal in both.
	Lost, Differing, Unchanged int
	// Outranked counts the items of which the copy kept the former era's value, as the new one's has a lower rank.
	Outranked int
}

// Listener takes what happens to a copy. Its calls come from one goroutine.
type Listener interface {
	// Changed takes each change of the copy.
	Changed(Change)
	// SourceFailed and SourceBack tell that the store, or a peer that was
	// followed, does not answer or answers again.
	SourceFailed(source string, cause error)
	SourceRecovered(source string, after time.Duration)
	// EraChanged tells that the store came back from a copy of itself, or tells its era for the
	// first time.
	EraChanged(EraChange)
	// EraMissing reports the first of a series of answers of the store without a readable era, while one is known.
	EraMissing(known uint64)
	// ReadingRejected reports the first of a series of readings that left the copy unchanged.
	ReadingRejected(RejectedReading)
}

// RejectedReading is a reading that is older than the copy.
type RejectedReading struct {
	Source string
	// Era and Revision are those of the reading, Reached is the copy's place.
	Era, Revision uint64
	Position      Position
}
