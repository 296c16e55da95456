package config

import (
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
	// seen are the texts that were offered lately, under the service's own revisions.
	seen    []seenText
	actions []Action
}

// fetch is the text that was asked of a peer and has not come yet.
type fetch struct {
	peer core.NodeID
	at   core.Time
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
func (m *Machine) State() string { return lifeCycle.Name(m.state) }

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
	if m.refusedPeer.Supersedes(m.InForce()) {
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
	if m.restored(reading) {
		m.keepOver(reading)
	}
	m.fire(m.judge(reading))
	m.noteSeen(reading)
	return m.finish()
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

func (m *Machine) begin(now core.Time) {
	m.now = now
	m.actions = nil
}

// finish ends gathering when enough is known and returns the actions.
func (m *Machine) finish() []Action {
	if m.Gathering() {
		m.fetchBest()
		if m.enough() {
			m.fire(eventGathered)
		}
	}
	actions := m.actions
	m.actions, m.offered = nil, nil
	return actions
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) heard() {
	m.confirmed = m.now
	if m.staleNoted {
		m.staleNoted = false
		m.emit(Clear{ProblemStale})
	}
}

func (m *Machine) endFetch() { m.fetch = fetch{} }
