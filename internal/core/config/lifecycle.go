package config

import (
	"fmt"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core/era"
)

// lifeCycle is the state chart from the start of a node to a configuration in force.
var lifeCycle = chart.Must(chart.Source("config"), chart.Bindings[*Machine]{
	Guards: map[string]func(*Machine) bool{"refused_is_newer": (*Machine).refusedIsNewer},
	Actions: map[string]func(*Machine){
		"keep":            (*Machine).keep,
		"adopt_kept":      (*Machine).adoptKept,
		"adopt":           (*Machine).adopt,
		"refuse":          (*Machine).refuse,
		"clear_refused":   func(m *Machine) { m.emit(Clear{ProblemRefused}) },
		"confirm":         (*Machine).confirm,
		"note_older":      (*Machine).noteOlder,
		"report_conflict": (*Machine).reportConflict,
	},
})

var (
	stateGathering = lifeCycle.State("gathering")

	eventValidNewer   = lifeCycle.Event("valid_newer")
	eventInvalidNewer = lifeCycle.Event("invalid_newer")
	eventSame         = lifeCycle.Event("same")
	eventOlder        = lifeCycle.Event("older")
	eventConflictWon  = lifeCycle.Event("conflict_won")
	eventConflictLost = lifeCycle.Event("conflict_lost")
	eventGathered     = lifeCycle.Event("gathered")
)

// compareReading compares a reading with the current one.
func (m *Machine) compareReading(reading *Reading) chart.Event {
	valid := reading.Catalog != nil
	mark, current := reading.Mark, m.current.Mark
	switch {
	case mark == current || mark.Revision == 0 && current.Revision == 0:
		return eventSame
	case mark.Revision < current.Revision:
		return eventOlder
	case mark.Revision > current.Revision && valid:
		return eventValidNewer
	case mark.Revision > current.Revision:
		return eventInvalidNewer
	case valid && mark.Supersedes(current):
		return eventConflictWon
	default:
		return eventConflictLost
	}
}

func (m *Machine) fire(event chart.Event) { m.state = lifeCycle.Fire(m.state, event, m) }

// refusedIsNewer reports whether a refused revision is above the one in force or about to be in
// force.
func (m *Machine) refusedIsNewer() bool {
	revision := m.current.Mark.Revision
	if m.offered != nil && m.offered.Catalog != nil {
		revision = max(revision, m.offered.Mark.Revision)
	}
	return m.refused.Mark.Revision > revision
}

// keep stores the best reading so far while other answers are awaited.
func (m *Machine) keep() {
	m.endFetch()
	m.current = m.offered
}

// adoptKept puts the reading kept while gathering in force.
func (m *Machine) adoptKept() {
	m.emit(Adopt{m.current})
	if m.serviceRevision != 0 && m.serviceRevision < m.current.Mark.Revision {
		m.reportOlder()
	}
}

// adopt puts the offered reading in force.
func (m *Machine) adopt() {
	m.endFetch()
	if m.conflictReported && m.offered.Mark.Revision > m.current.Mark.Revision {
		m.conflictReported = false
		m.emit(Clear{ProblemConflict})
	}
	m.current = m.offered
	m.clearOlder()
	m.emit(Adopt{m.current})
}

// refuse records an invalid text; the highest refused revision is reported.
func (m *Machine) refuse() {
	if m.offered.Source == FromPeer {
		m.endFetch()
		m.refusedPeer = m.offered.Mark
	}
	if m.offered.Mark.Revision < m.refused.Mark.Revision {
		return
	}
	m.refused = Refusal{m.offered.Mark, m.offered.Fault}
	m.emit(Report{ProblemRefused, fmt.Sprintf("revision %s is invalid, revision %s stays in force: %s", era.String(m.refused.Mark.Revision), era.String(m.current.Mark.Revision), m.offered.Fault)})
}

// confirm records that a source offers the text in force.
func (m *Machine) confirm() {
	if m.offered.Source == FromService {
		m.clearOlder()
	}
}

// noteOlder reports a service that offers an older revision. An older revision of a peer is no
// problem, since the peer will catch up.
func (m *Machine) noteOlder() {
	if m.offered.Source == FromService {
		m.reportOlder()
	}
}
