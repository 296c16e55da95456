package load

import (
	"math/rand/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// MixEntry is one customer asking one service, with its weight in the mix.
type MixEntry struct {
	Customer core.Customer
	Service  string
	Weight   float64
	// Class names the customers that are reported together; empty is the
	// customer's own name.
	Class string
}

func (s MixEntry) class() string {
	if s.Class == "" {
		return string(s.Customer)
	}
	return s.Class
}

// mix draws shares by weight.
type mix struct {
	shares []MixEntry
	sum    float64
	source *rand.Rand
}

func newMix(shares []MixEntry, source *rand.Rand) *mix {
	m := &mix{shares: shares, source: source}
	for _, share := range shares {
		m.sum += share.Weight
	}
	return m
}

func (m *mix) draw() MixEntry {
	left := m.source.Float64() * m.sum
	for _, share := range m.shares {
		left -= share.Weight
		if left < 0 {
			return share
		}
	}
	return m.shares[len(m.shares)-1]
}
