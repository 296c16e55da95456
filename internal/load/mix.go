package load

import (
	"math/rand/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// MixEntry is one customer querying one service, with its weight in the mix.
type MixEntry struct {
	Customer core.Customer
	Service  string
	Weight   float64
	// Class names the customers that are reported together; empty is the
	// customer's own name.
	Class string
}

func (e MixEntry) class() string {
	if e.Class == "" {
		return string(e.Customer)
	}
	return e.Class
}

// mix draws entries at random in proportion to their weights.
type mix struct {
	entries []MixEntry
	sum     float64
	source  *rand.Rand
}

func newMix(entries []MixEntry, source *rand.Rand) *mix {
	m := &mix{entries: entries, source: source}
	for _, entry := range entries {
		m.sum += entry.Weight
	}
	return m
}

func (m *mix) draw() MixEntry {
	remaining := m.source.Float64() * m.sum
	for _, entry := range m.entries {
		remaining -= entry.Weight
		if remaining < 0 {
			return entry
		}
	}
	return m.entries[len(m.entries)-1]
}
