package replica

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// SetEvacuated sets whether the operators have evacuated a data centre, so that its replicas get no
// requests, and reports whether that changed. Requests in flight there continue.
func (t *Table) SetEvacuated(dataCentre string, evacuate bool, now core.Time) (changed bool) {
	_, evacuated := t.evacuated[dataCentre]
	if evacuate {
		t.evacuated[dataCentre] = 0
		return !evacuated
	}
	if !evacuated {
		return false
	}
	delete(t.evacuated, dataCentre)
	t.returnedAt[dataCentre] = now
	return true
}

// isEvacuated reports whether a data centre is evacuated.
func (t *Table) isEvacuated(dataCentre string) bool {
	_, evacuated := t.evacuated[dataCentre]
	return evacuated
}

// LapseEvacuation records that the evacuation of a data centre is no longer listed, possibly because the
// registry lost it: it stays in force until ExpireEvacuations.
func (t *Table) LapseEvacuation(dataCentre string, now core.Time) {
	if lapsedAt, evacuated := t.evacuated[dataCentre]; evacuated && lapsedAt == 0 {
		t.evacuated[dataCentre] = max(now, 1)
	}
}

// ExpireEvacuations ends the evacuations that lapsed at least the given time ago and returns their data centres.
func (t *Table) ExpireEvacuations(after time.Duration, now core.Time) []string {
	var ended []string
	for dataCentre, lapsedAt := range t.evacuated {
		if lapsedAt > 0 && now-lapsedAt >= after {
			ended = append(ended, dataCentre)
		}
	}
	for _, dataCentre := range ended {
		t.SetEvacuated(dataCentre, false, now)
	}
	return ended
}

// Evacuated lists the evacuated data centres.
func (t *Table) Evacuated() []string {
	names := make([]string, 0, len(t.evacuated))
	for name := range t.evacuated {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// inRegions reports whether a replica is in one of the regions; an empty list allows all.
func (t *Table) inRegions(s *state, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, t.regions[s.DataCentre])
}

// CountUsable counts the replicas of a service that may get requests.
func (t *Table) CountUsable(service string) int {
	count := 0
	for _, known := range t.byService[service] {
		if t.usable(known) {
			count++
		}
	}
	return count
}

// usable reports whether a replica may get requests.
func (t *Table) usable(s *state) bool {
	return !s.Draining && !s.misdirected && s.suspectedAt == 0 && !t.isEvacuated(s.DataCentre)
}

// IsUsable reports whether an incarnation is listed and may get requests.
func (t *Table) IsUsable(incarnation Incarnation) bool {
	known := t.find(incarnation)
	return known != nil && t.usable(known)
}

// KnownUnusable reports whether a replica that another node chose is known here to be unusable: it is
// draining, has restarted since, or its data centre is evacuated. A replica that is not known here may be
// new and is not reported.
func (t *Table) KnownUnusable(chosen Replica) bool {
	known := t.byID[chosen.ID]
	switch {
	case t.isEvacuated(chosen.DataCentre):
		return true
	case known == nil || known.Born < chosen.Born:
		return false
	default:
		return !t.IsUsable(chosen.Incarnation())
	}
}
