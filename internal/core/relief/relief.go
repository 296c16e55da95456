// Package relief decides when an entry is overloaded itself, and how callers are shifted to entries with more room.
//
// Replicas may have room while the node in front of them has not: callers move from one data centre to the next within a
// day, and a small VM may stand beside large ones. The entry sees it first, by its own timers that fire late.
package relief

import (
	"math"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// latenessHalfLife is the half-life of the average lateness of the node's timers.
	latenessHalfLife = 500 * time.Millisecond
	// overloadedLateness is the average lateness from which a node with work is overloaded, relievedLateness the one
	// below which it has room again. Timers of a node with room fire within a few milliseconds.
	overloadedLateness = 25 * time.Millisecond
	relievedLateness   = 8 * time.Millisecond
	// overloadedPerCore and relievedPerCore are the requests in progress for each core that go with it. A late timer
	// without them has another cause, for example a VM that was paused.
	overloadedPerCore = 24
	relievedPerCore   = 12
	// minOverloaded is how long a node must be overloaded before it asks for relief, minRelieved the least time for which
	// it then does. Callers keep the list of entries for a second, some three times as long.
	minOverloaded = time.Second
	minRelieved   = 6 * time.Second
)

// Load is a node's load at one moment.
type Load struct {
	// Late is how much later than due a timer fired.
	Late time.Duration
	// InProgress is the number of requests in progress, the node's own and those for other nodes.
	InProgress int
	Cores      float64
}

// perCore returns the requests in progress for each core; a node whose cores are unknown counts as one core.
func (l Load) perCore() float64 {
	if l.Cores <= 0 {
		return float64(l.InProgress)
	}
	return float64(l.InProgress) / l.Cores
}

// maxLate bounds the effect of one late timer, so that a VM that was paused does not ask for relief for seconds after it.
const maxLate = 200 * time.Millisecond

// Monitor decides whether a node asks for relief. The zero value is a node with room.
type Monitor struct {
	lateness   time.Duration
	observedAt core.Time
	// overloadedSince is when the node became overloaded, relievedSince since when it asks for relief; 0 is not.
	overloadedSince, relievedSince core.Time
}

// Observe takes the node's load and returns whether it asks for relief.
func (m *Monitor) Observe(load Load, now core.Time) bool {
	keep := math.Exp2(-float64(now-m.observedAt) / float64(latenessHalfLife))
	m.lateness = time.Duration(keep*float64(m.lateness) + (1-keep)*float64(min(load.Late, maxLate)))
	m.observedAt = now
	overloaded := m.lateness >= overloadedLateness && load.perCore() >= overloadedPerCore
	hasRoom := m.lateness < relievedLateness || load.perCore() < relievedPerCore
	switch {
	case m.relievedSince > 0:
		if hasRoom && now-m.relievedSince >= minRelieved {
			m.relievedSince, m.overloadedSince = 0, 0
		}
	case !overloaded:
		m.overloadedSince = 0
	case m.overloadedSince == 0:
		m.overloadedSince = now
	case now-m.overloadedSince >= minOverloaded:
		m.relievedSince = now
	}
	return m.relievedSince > 0
}

// Lateness returns the average lateness of the node's timers.
func (m *Monitor) Lateness() time.Duration { return m.lateness }

// keptShare is the share of the answers in which an entry that asks for relief is still named. Left out of all, it would
// lose all its callers at once and get them back at once.
const keptShare = 0.5

// Entry is a node that callers may be sent to.
type Entry struct {
	Address string
	// Overloaded is set while it asks for relief.
	Overloaded bool
}

// Select returns the addresses for the callers of a data centre from the entries there and in its region. While entries of
// the data centre have room, those that ask for relief are named in some answers only; if none has, entries of the region
// that have room are named beside them. The random source returns 0 to 1.
func Select(near, region []Entry, random func() float64) []string {
	withRoom := count(near, false)
	var addresses []string
	for _, entry := range near {
		if !entry.Overloaded || withRoom == 0 || random() < keptShare {
			addresses = append(addresses, entry.Address)
		}
	}
	if withRoom > 0 || len(near) == 0 {
		return addresses
	}
	for _, entry := range region {
		if !entry.Overloaded {
			addresses = append(addresses, entry.Address)
		}
	}
	return addresses
}

// count counts the entries that ask for relief, or those that do not.
func count(entries []Entry, overloaded bool) int {
	found := 0
	for _, entry := range entries {
		if entry.Overloaded == overloaded {
			found++
		}
	}
	return found
}
