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
	// Outranked are items that were not taken, since values of a higher rank are known.
	Outranked []Item
}

// EraChange is a copy's step into another era of the store.
type EraChange struct {
	Source      string
	Former, Now Reached
	// Lost counts the items that the new era lacks, Differing those that it has otherwise or the former
	// one had not, Stood those that are the same in both.
	Lost, Differing, Stood int
	// Outranked counts the items that stayed since the new era has an older value.
	Outranked int
}

// Listener takes what happens to a copy. Its calls come from one goroutine.
type Listener interface {
	// Changed is told each change.
	Changed(Change)
	// SourceFailed and SourceBack tell that the store, or a peer that was
	// followed, does not answer or answers again.
	SourceFailed(source string, cause error)
	SourceBack(source string, after time.Duration)
	// EraChanged tells that the store came back from a copy of itself, or tells its era for the
	// first time.
	EraChanged(EraChange)
	// EraUntold tells the first of a series of answers of the store that name no era, or none that
	// can be read, while one is known.
	EraUntold(known uint64)
	// NotTaken tells the first of a series of readings that the copy did not take.
	NotTaken(NotTaken)
}

// NotTaken is a reading that stands behind what the copy has reached.
type NotTaken struct {
	Source string
	// Era and Revision are those of the reading, Reached is the copy's place.
	Era, Revision uint64
	Reached       Reached
}
