// Package era orders the revisions of a service that may be restored from a copy of itself.
//
// A restored service reuses revisions for other contents, so that revisions order texts within one
// era only. A place combines an era with a revision, the era in the high bits. Places rise with
// time even when revisions go back, and code that compares, stores and forwards revisions can use
// places.
package era

import "fmt"

const (
	// eraShift is the lowest bit of the era in a place. The bits below leave room for revisions
	// that are times in microseconds.
	eraShift = 52
	// carriedOverBit is set in the place of a text that is carried over a restore. It sorts after
	// the text that the service shows and before the next published one.
	carriedOverBit  = 1
	carriedOverBits = 1
	// Max is the greatest era, MaxRevision the greatest revision, that a place holds. A greater one
	// would look like another era.
	Max         = 1<<(64-eraShift) - 1
	MaxRevision = 1<<(eraShift-carriedOverBits) - 1
)

// Place returns the place of a revision in an era. Without an era, 0, the place is the revision.
func Place(era, revision uint64) uint64 {
	if era == 0 {
		return revision
	}
	return era<<eraShift | revision<<carriedOverBits
}

// Of returns the era of a place.
func Of(place uint64) uint64 { return place >> eraShift }

// Revision returns the service's own revision at a place.
func Revision(place uint64) uint64 {
	if Of(place) == 0 {
		return place
	}
	return place & (1<<eraShift - 1) >> carriedOverBits
}

// CarriedOver returns the place of a text that is carried over although the service shows an older
// text at a place.
func CarriedOver(place uint64) uint64 { return place | carriedOverBit }

// String formats a place for operators.
func String(place uint64) string {
	if Of(place) == 0 {
		return fmt.Sprint(place)
	}
	return fmt.Sprintf("%d of era %d", Revision(place), Of(place))
}
