package replica

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Evacuate notes whether the operators want the replicas of a data centre to get nothing, and
// reports whether that is news. What is in work there goes on: it was sent before.
func (b *Book) Evacuate(dataCentre string, wanted bool, now core.Time) (changed bool) {
	if b.evacuated[dataCentre] == wanted {
		return false
	}
	if wanted {
		b.evacuated[dataCentre] = true
		return true
	}
	delete(b.evacuated, dataCentre)
	b.returned[dataCentre] = now
	return true
}

// Evacuated lists the data centres whose replicas get nothing.
func (b *Book) Evacuated() []string {
	names := make([]string, 0, len(b.evacuated))
	for name := range b.evacuated {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// within reports whether a replica is in one of the regions.
func (b *Book) within(s *state, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, b.regions[s.DataCentre])
}

// Usable counts the replicas of a service that may get requests.
func (b *Book) Usable(service string) int {
	count := 0
	for _, known := range b.byService[service] {
		if b.usable(known) {
			count++
		}
	}
	return count
}

// usable reports whether a replica may get requests.
func (b *Book) usable(s *state) bool {
	return !s.Draining && !s.misdirected && !b.evacuated[s.DataCentre]
}

// Wanted reports whether an incarnation is one that may get requests.
func (b *Book) Wanted(life Incarnation) bool {
	known := b.of(life)
	return known != nil && b.usable(known)
}

// Unwanted reports whether a replica that another node chose is known here to get nothing: it
// leaves, has started again since, or its data centre is evacuated. One that is not known here
// may be new.
func (b *Book) Unwanted(chosen Replica) bool {
	known := b.byID[chosen.ID]
	switch {
	case b.evacuated[chosen.DataCentre]:
		return true
	case known == nil || known.Born < chosen.Born:
		return false
	default:
		return !b.Wanted(chosen.Life())
	}
}
