package config

import (
	"fmt"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Times of the machine.
const (
	// StartWait is how long a starting node waits for the service and for
	// peers that do not answer, before it serves from those that did.
	StartWait = 2 * time.Second
	// StaleAfter is the time without confirmation after which the
	// configuration is reported stale. It stays in force.
	StaleAfter = 60 * time.Second
	// staleEvery is how often the age in that report is renewed.
	staleEvery = time.Second
	// fetchWait is how long a peer may take to deliver a text.
	fetchWait = 3 * time.Second
)

// Machine decides which reading is in force at one node. Its life cycle is the
// chart config.yaml. The revision in force never goes down.
type Machine struct {
	state chart.State
	now   core.Time
	// offered is the reading being judged.
	offered *Reading
	// current is the reading in force or, while gathering, the best so far.
	current *Reading
	// refused marks the highest revision that was refused, refusedPeer the
	// latest text that a peer has in force and this node refused.
	refused     Refusal
	refusedPeer Mark
	// serviceSeen is the revision that the service showed last, 0 for none.
	serviceSeen uint64
	olderNoted  bool
	staleNoted  bool
	staleAt     core.Time
	conflict    bool
	confirmed   core.Time
	gather      gather
	fetch       fetch
	actions     []Action
}

// fetch is the text that was asked of a peer and has not come yet.
type fetch struct {
	peer core.NodeID
	at   core.Time
}

// life is bound in init, since its actions ask it for the present state.
var life *chart.Machine[*Machine]

var stateGathering chart.State

var validNewer, invalidNewer, same, older, conflictWon, conflictLost, gathered chart.Event

func init() {
	life = chart.Must(chart.Source("config"), chart.Bindings[*Machine]{
		Guards: map[string]func(*Machine) bool{"refused_is_newer": (*Machine).refusedIsNewer},
		Actions: map[string]func(*Machine){
			"keep":            (*Machine).keep,
			"adopt":           (*Machine).adopt,
			"refuse":          (*Machine).refuse,
			"clear_refused":   func(m *Machine) { m.emit(Clear{ProblemRefused}) },
			"confirm":         (*Machine).confirm,
			"note_older":      (*Machine).noteOlder,
			"report_conflict": (*Machine).reportConflict,
		},
	})
	stateGathering = life.State("gathering")
	validNewer = life.Event("valid_newer")
	invalidNewer = life.Event("invalid_newer")
	same = life.Event("same")
	older = life.Event("older")
	conflictWon = life.Event("conflict_won")
	conflictLost = life.Event("conflict_lost")
	gathered = life.Event("gathered")
}

// New makes the machine of a starting node.
func New(now core.Time) *Machine {
	return &Machine{now: now, confirmed: now, current: &Reading{}, gather: newGather(now)}
}

// InForce returns the mark of the text in force, or the zero Mark.
func (m *Machine) InForce() Mark {
	if m.Gathering() {
		return Mark{}
	}
	return m.current.Mark
}

// Gathering reports whether nothing is in force yet.
func (m *Machine) Gathering() bool { return m.state == stateGathering }

// State names the chart's present state.
func (m *Machine) State() string { return life.Name(m.state) }

// WatchAfter is the revision above which the service is to be watched: the one
// that it showed last, also when that is older or was refused. Watching above
// the one in force instead would return an older text at once, again and again.
func (m *Machine) WatchAfter() uint64 {
	if m.olderNoted || m.refusedIsNewer() {
		return m.serviceSeen
	}
	return max(m.serviceSeen, m.current.Mark.Revision)
}

// PollAfter is the text above which a relay is to be polled. A relay of a newer
// program may have in force what this node refuses: polled above the text in
// force here, it would deliver the refused one at once, again and again.
func (m *Machine) PollAfter() Mark {
	if m.refusedPeer.Above(m.InForce()) {
		return m.refusedPeer
	}
	return m.InForce()
}

// Age is the time since the configuration was last confirmed.
func (m *Machine) Age(now core.Time) time.Duration { return now - m.confirmed }

// Offer judges a reading.
func (m *Machine) Offer(now core.Time, reading *Reading) []Action {
	m.begin(now)
	if reading.Source == FromService {
		m.serviceSeen = reading.Mark.Revision
		m.gather.service = answered
		m.heard()
	}
	m.offered = reading
	m.fire(m.judge(reading))
	return m.finish()
}

// judge compares a reading with the current one.
func (m *Machine) judge(reading *Reading) chart.Event {
	valid := reading.Catalog != nil
	mark, current := reading.Mark, m.current.Mark
	switch {
	case mark == current || mark.Revision == 0 && current.Revision == 0:
		return same
	case mark.Revision < current.Revision:
		return older
	case mark.Revision > current.Revision && valid:
		return validNewer
	case mark.Revision > current.Revision:
		return invalidNewer
	case valid && mark.Above(current):
		return conflictWon
	default:
		return conflictLost
	}
}

// Refusal is a text that was refused, and why.
type Refusal struct {
	Mark   Mark
	Reason string
}

// Refused returns what was refused above the text in force. Only relays read
// an invalid text; they pass the refusal on, so that every node reports it.
func (m *Machine) Refused() (Refusal, bool) {
	return m.refused, m.refusedIsNewer()
}

// HearRefusal records that a peer has refused a text.
func (m *Machine) HearRefusal(now core.Time, refusal Refusal) []Action {
	if refusal.Mark.Revision <= max(m.refused.Mark.Revision, m.current.Mark.Revision) {
		return nil
	}
	return m.Offer(now, &Reading{Mark: refusal.Mark, Source: FromReport, Fault: refusal.Reason})
}

// Confirm records that whoever this node follows has nothing newer. Relays are
// confirmed by the service only, the other nodes by their relays: if relays
// confirmed one another, a service that is down would go unseen.
func (m *Machine) Confirm(now core.Time) []Action {
	m.begin(now)
	m.heard()
	// What the service offers is for those to say who read it.
	m.clearOlder()
	return m.finish()
}

// ServiceAnswered records that the service has nothing above WatchAfter.
func (m *Machine) ServiceAnswered(now core.Time) []Action {
	m.begin(now)
	m.gather.service = answered
	m.heard()
	return m.finish()
}

// ServiceFailed records that the service could not be read.
func (m *Machine) ServiceFailed(now core.Time) []Action {
	m.begin(now)
	m.gather.service = failed
	return m.finish()
}

// Tick renews what depends on time alone.
func (m *Machine) Tick(now core.Time) []Action {
	m.begin(now)
	if m.Age(now) > StaleAfter && (!m.staleNoted || now-m.staleAt >= staleEvery) {
		m.staleNoted, m.staleAt = true, now
		m.emit(Report{ProblemStale, fmt.Sprintf("revision %d was last confirmed %s ago and stays in force", m.current.Mark.Revision, m.Age(now).Round(time.Second))})
	}
	return m.finish()
}

func (m *Machine) begin(now core.Time) {
	m.now = now
	m.actions = nil
}

// finish ends gathering when enough is known and returns the actions.
func (m *Machine) finish() []Action {
	if m.Gathering() {
		m.fetchBest()
		if m.enough() {
			m.fire(gathered)
		}
	}
	actions := m.actions
	m.actions, m.offered = nil, nil
	return actions
}

func (m *Machine) fire(event chart.Event) { m.state = life.Fire(m.state, event, m) }

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) heard() {
	m.confirmed = m.now
	if m.staleNoted {
		m.staleNoted = false
		m.emit(Clear{ProblemStale})
	}
}

func (m *Machine) refusedIsNewer() bool {
	revision := m.current.Mark.Revision
	if m.offered != nil && m.offered.Catalog != nil {
		revision = max(revision, m.offered.Mark.Revision)
	}
	return m.refused.Mark.Revision > revision
}

// keep holds the best reading so far while others are awaited.
func (m *Machine) keep() {
	m.endFetch()
	m.current = m.offered
}

// adopt puts the offered reading in force, or the one kept while gathering.
func (m *Machine) adopt() {
	if m.Gathering() {
		m.emit(Adopt{m.current})
		if m.serviceSeen != 0 && m.serviceSeen < m.current.Mark.Revision {
			m.reportOlder()
		}
		return
	}
	m.endFetch()
	if m.conflict && m.offered.Mark.Revision > m.current.Mark.Revision {
		m.conflict = false
		m.emit(Clear{ProblemConflict})
	}
	m.current = m.offered
	m.clearOlder()
	m.emit(Adopt{m.current})
}

func (m *Machine) endFetch() { m.fetch = fetch{} }

func (m *Machine) refuse() {
	if m.offered.Source == FromPeer {
		m.endFetch()
		m.refusedPeer = m.offered.Mark
	}
	if m.offered.Mark.Revision < m.refused.Mark.Revision {
		return
	}
	m.refused = Refusal{m.offered.Mark, m.offered.Fault}
	m.emit(Report{ProblemRefused, fmt.Sprintf("revision %d is invalid, revision %d stays in force: %s", m.refused.Mark.Revision, m.current.Mark.Revision, m.offered.Fault)})
}

// confirm takes note that a source offers what is in force.
func (m *Machine) confirm() {
	if m.offered.Source == FromService {
		m.clearOlder()
	}
}

// noteOlder reports a service that has gone back. A peer that is behind is no
// problem: it is catching up.
func (m *Machine) noteOlder() {
	if m.offered.Source == FromService {
		m.reportOlder()
	}
}

func (m *Machine) reportOlder() {
	m.olderNoted = true
	m.emit(Report{ProblemOlder, fmt.Sprintf("the service offers revision %d, revision %d stays in force", m.serviceSeen, m.current.Mark.Revision)})
}

// clearOlder ends the problem that the service offers an older revision.
func (m *Machine) clearOlder() {
	if m.olderNoted {
		m.olderNoted = false
		m.emit(Clear{ProblemOlder})
	}
}

func (m *Machine) reportConflict() { m.noteConflict(m.offered.Mark) }

func (m *Machine) noteConflict(other Mark) {
	m.conflict = true
	m.emit(Report{ProblemConflict, fmt.Sprintf("revision %d has texts with digests %016x and %016x; publish a higher revision", other.Revision, m.current.Mark.Digest, other.Digest)})
}
