package config

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core/era"
)

// maxSeen bounds the texts that are known to be older ones: more than are published within the seconds that a
// service loses.
const maxSeen = 64

// seenText is a text as it was offered.
type seenText struct{ revision, digest uint64 }

// noteSeen remembers an offered text.
func (m *Machine) noteSeen(reading *Reading) {
	one := seenText{era.Revision(reading.Mark.Revision), reading.Mark.Digest}
	if reading.Source == FromPeerRefusal || slices.Contains(m.seen, one) {
		return
	}
	m.seen = append(m.seen, one)
	if len(m.seen) > maxSeen {
		m.seen = m.seen[1:]
	}
}

// restored reports whether a reading of a newer era shows a text of before.
//
// The failure: a service that came back from a copy shows the text of some seconds ago, in a new era, which
// comes after all that the former one had. Taken for the newest, it would send callers back to what
// they have seen replaced. It is known by its revision and digest: what is written anew differs in one.
func (m *Machine) restored(reading *Reading) bool {
	current := m.current.Mark
	if current.Revision == 0 || era.Of(reading.Mark.Revision) <= era.Of(current.Revision) || reading.Mark.Digest == current.Digest {
		return false
	}
	return slices.Contains(m.seen, seenText{era.Revision(reading.Mark.Revision), reading.Mark.Digest})
}

// keepOver takes the text at hand over into a reading's era, right behind what the service shows there, so that
// every node prefers it to that, and whatever is published next to both.
func (m *Machine) keepOver(reading *Reading) {
	kept := *m.current
	kept.Mark.Revision = era.CarriedOver(reading.Mark.Revision)
	m.current = &kept
	if !m.Gathering() {
		m.emit(Adopt{m.current})
	}
}
