package replica

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// SetEvacuated notes whether the operators want the replicas of a data centre to get nothing, and
// reports whether that is news. What is in work there goes on: it was sent before.
func (b *Table) SetEvacuated(dataCentre string, wanted bool, now core.Time) (changed bool) {
	_, evacuated := b.evacuated[dataCentre]
	if wanted {
		b.evacuated[dataCentre] = 0
		return !evacuated
	}
	if !evacuated {
		return false
	}
	delete(b.evacuated, dataCentre)
	b.returned[dataCentre] = now
	return true
}

// empties reports whether a data centre's replicas are to get nothing.
func (b *Table) empties(dataCentre string) bool {
	_, evacuated := b.evacuated[dataCentre]
	return evacuated
}

// LapseEvacuation notes that the wish for a data centre is no longer listed, for a reason that may be the
// registry's own: it binds until ExpireEvacuations.
func (b *Table) LapseEvacuation(dataCentre string, now core.Time) {
	if lapsedAt, evacuated := b.evacuated[dataCentre]; evacuated && lapsedAt == 0 {
		b.evacuated[dataCentre] = max(now, 1)
	}
}

// ExpireEvacuations ends the wishes that lapsed longer than the given time ago and returns their data centres.
func (b *Table) ExpireEvacuations(after time.Duration, now core.Time) []string {
	var ended []string
	for dataCentre, lapsedAt := range b.evacuated {
		if lapsedAt > 0 && now-lapsedAt >= after {
			ended = append(ended, dataCentre)
		}
	}
	for _, dataCentre := range ended {
		b.SetEvacuated(dataCentre, false, now)
	}
	return ended
}

// Evacuated lists the data centres whose replicas get nothing.
func (b *Table) Evacuated() []string {
	names := make([]string, 0, len(b.evacuated))
	for name := range b.evacuated {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// within reports whether a replica is in one of the regions.
func (b *Table) within(s *state, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, b.regions[s.DataCentre])
}

// CountUsable counts the replicas of a service that may get requests.
func (b *Table) CountUsable(service string) int {
	count := 0
	for _, known := range b.byService[service] {
		if b.usable(known) {
			count++
		}
	}
	return count
}

// usable reports whether a replica may get requests.
func (b *Table) usable(s *state) bool {
	return !s.Draining && !s.misdirected && s.doubtedAt == 0 && !b.empties(s.DataCentre)
}

// IsUsable reports whether an incarnation is one that may get requests.
func (b *Table) IsUsable(life Incarnation) bool {
	known := b.of(life)
	return known != nil && b.usable(known)
}

// KnownUnusable reports whether a replica that another node chose is known here to get nothing: it
// leaves, has started again since, or its data centre is evacuated. One that is not known here
// may be new.
func (b *Table) KnownUnusable(chosen Replica) bool {
	known := b.byID[chosen.ID]
	switch {
	case b.empties(chosen.DataCentre):
		return true
	case known == nil || known.Born < chosen.Born:
		return false
	default:
		return !b.IsUsable(chosen.Incarnation())
	}
}
