package config

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Timing of the machine.
const (
	// StartWait is how long a starting node waits for the service and for peers that do not answer
	// before it serves with the answers it has.
	StartWait = 2 * time.Second
	// StaleAfter is the time without confirmation after which the configuration is reported stale.
	// It stays in force.
	StaleAfter = 60 * time.Second
	// staleReportInterval is how often the age in that report is updated.
	staleReportInterval = time.Second
	// fetchTimeout is how long a peer may take to deliver a text.
	fetchTimeout = 3 * time.Second
)

// Machine decides which reading is in force at one node. Its state chart is config.yaml. The
// revision in force never goes down.
type Machine struct {
	state chart.State
	now   core.Time
	// offered is the reading being compared.
	offered *Reading
	// current is the reading in force or, while gathering, the best so far.
	current *Reading
	// refused is the refused text with the highest revision, refusedPeer the latest text that a
	// peer has in force and this node refused.
	refused     Refusal
	refusedPeer Mark
	// serviceRevision is the last revision that the service returned, 0 for none.
	serviceRevision  uint64
	olderReported    bool
	staleReported    bool
	staleReportedAt  core.Time
	conflictReported bool
	confirmedAt      core.Time
	gather           gather
	fetch            fetch
	// seen holds recently offered texts with the service's own revisions.
	seen    []seenText
	actions []Action
}

// fetch is a pending request for a peer's text.
type fetch struct {
	peer core.NodeID
	at   core.Time
}

// New returns the machine of a starting node.
func New(now core.Time) *Machine {
	return &Machine{now: now, confirmedAt: now, current: &Reading{}, gather: newGather(now)}
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

// State returns the name of the state chart's current state.
func (m *Machine) State() string { return lifeCycle.Name(m.state) }

// WatchAfter is the revision above which to watch the service: the last one that it returned, even
// when that is older or was refused. A watch above the one in force would return the older text at
// once, again and again.
func (m *Machine) WatchAfter() uint64 {
	if m.olderReported || m.refusedIsNewer() {
		return m.serviceRevision
	}
	return max(m.serviceRevision, m.current.Mark.Revision)
}

// PollAfter is the text above which to poll a relay. A relay running a newer version of this
// program may have a text in force that this node refuses. A poll above the text in force here
// would return the refused text at once, again and again.
func (m *Machine) PollAfter() Mark {
	if m.refusedPeer.Supersedes(m.InForce()) {
		return m.refusedPeer
	}
	return m.InForce()
}

// Age is the time since the configuration was last confirmed.
func (m *Machine) Age(now core.Time) time.Duration { return now - m.confirmedAt }

// Offer handles a reading.
func (m *Machine) Offer(now core.Time, reading *Reading) []Action {
	m.begin(now)
	if reading.Source == FromService {
		m.serviceRevision = reading.Mark.Revision
		m.gather.serviceState = answered
		m.markConfirmed()
	}
	m.offered = reading
	if m.restored(reading) {
		m.carryOver(reading)
	}
	m.fire(m.compareReading(reading))
	m.recordSeen(reading)
	return m.finish()
}

// Confirm records that the followed relays have nothing newer. Relays are confirmed only by the
// service, other nodes by their relays: if relays confirmed one another, an outage of the service
// would go undetected.
func (m *Machine) Confirm(now core.Time) []Action {
	m.begin(now)
	m.markConfirmed()
	// Only nodes that read the service report which revision it offers.
	m.clearOlder()
	return m.finish()
}

// ServiceAnswered records that the service has nothing above WatchAfter.
func (m *Machine) ServiceAnswered(now core.Time) []Action {
	m.begin(now)
	m.gather.serviceState = answered
	m.markConfirmed()
	return m.finish()
}

// ServiceFailed records that the service could not be read.
func (m *Machine) ServiceFailed(now core.Time) []Action {
	m.begin(now)
	m.gather.serviceState = failed
	return m.finish()
}

func (m *Machine) begin(now core.Time) {
	m.now = now
	m.actions = nil
}

// finish ends gathering when its conditions are met and returns the actions.
func (m *Machine) finish() []Action {
	if m.Gathering() {
		m.fetchHighest()
		if m.gatheringDone() {
			m.fire(eventGathered)
		}
	}
	actions := m.actions
	m.actions, m.offered = nil, nil
	return actions
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) markConfirmed() {
	m.confirmedAt = m.now
	if m.staleReported {
		m.staleReported = false
		m.emit(Clear{ProblemStale})
	}
}

func (m *Machine) endFetch() { m.fetch = fetch{} }
