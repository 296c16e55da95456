package config

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core/era"
)

// maxSeen bounds the remembered texts: more than are published within the few seconds that a
// restored service loses.
const maxSeen = 64

// seenText identifies a text that was offered.
type seenText struct{ revision, digest uint64 }

// recordSeen remembers an offered text.
func (m *Machine) recordSeen(reading *Reading) {
	seen := seenText{era.Revision(reading.Mark.Revision), reading.Mark.Digest}
	if reading.Source == FromPeerRefusal || slices.Contains(m.seen, seen) {
		return
	}
	m.seen = append(m.seen, seen)
	if len(m.seen) > maxSeen {
		m.seen = m.seen[1:]
	}
}

// restored reports whether a reading of a newer era shows a text of the former era.
//
// Failure that this prevents: a service restored from a copy shows its text of some seconds
// earlier, in a new era, which sorts above everything in the former one. Adopting it as the newest
// would return callers to a text that was already replaced. Such a text is identified by its
// revision and digest: a newly published text differs in one of them.
func (m *Machine) restored(reading *Reading) bool {
	current := m.current.Mark
	if current.Revision == 0 || era.Of(reading.Mark.Revision) <= era.Of(current.Revision) || reading.Mark.Digest == current.Digest {
		return false
	}
	return slices.Contains(m.seen, seenText{era.Revision(reading.Mark.Revision), reading.Mark.Digest})
}

// carryOver moves the current text into the reading's era, directly above the text that the service
// shows, so that every node prefers it to that one, and the next published text to both.
func (m *Machine) carryOver(reading *Reading) {
	carried := *m.current
	carried.Mark.Revision = era.CarriedOver(reading.Mark.Revision)
	m.current = &carried
	if !m.Gathering() {
		m.emit(Adopt{m.current})
	}
}
