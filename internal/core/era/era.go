// Package era puts the revisions of a service that may come back from a copy of itself into one order.
//
// Such a service gives its revisions out again, for other contents, so that they order what was written in
// one era only. A place holds the era above the revision: places rise with time, whatever revisions
// do, and everything that compares, keeps and passes on revisions can do so with places.
package era

import "fmt"

const (
	// shift is where the era begins in a place: below it there is room for revisions that are times in
	// microseconds.
	shift = 52
	// keptBit is set in the place of what stays over a restore: it comes after what the service shows
	// and before what is written next.
	keptBit  = 1
	keptBits = 1
	// Max is the greatest era, MostRevision the greatest revision, that a place holds. One beyond would
	// look like another era.
	Max         = 1<<(64-shift) - 1
	MaxRevision = 1<<(shift-keptBits) - 1
)

// Place is the place of a revision in an era. A service that tells no era, 0, has its revisions for places.
func Place(era, revision uint64) uint64 {
	if era == 0 {
		return revision
	}
	return era<<shift | revision<<keptBits
}

// Of is the era of a place.
func Of(place uint64) uint64 { return place >> shift }

// Revision is the service's own revision at a place.
func Revision(place uint64) uint64 {
	if Of(place) == 0 {
		return place
	}
	return place & (1<<shift - 1) >> keptBits
}

// CarriedOver is the place of what stays although the service shows something older at a place.
func CarriedOver(place uint64) uint64 { return place | keptBit }

// String describes a place for people.
func String(place uint64) string {
	if Of(place) == 0 {
		return fmt.Sprint(place)
	}
	return fmt.Sprintf("%d of era %d", Revision(place), Of(place))
}
