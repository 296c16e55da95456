package config

import (
	"fmt"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/era"
)

// Refusal is a refused text with the reason.
type Refusal struct {
	Mark   Mark
	Reason string
}

// Refused returns the refusal of a text above the one in force. Only relays read an invalid text;
// they pass the refusal on, so that every node reports it.
func (m *Machine) Refused() (Refusal, bool) {
	return m.refused, m.refusedIsNewer()
}

// PeerRefused records that a peer has refused a text.
func (m *Machine) PeerRefused(now core.Time, refusal Refusal) []Action {
	if refusal.Mark.Revision <= max(m.refused.Mark.Revision, m.current.Mark.Revision) {
		return nil
	}
	return m.Offer(now, &Reading{Mark: refusal.Mark, Source: FromPeerRefusal, Fault: refusal.Reason})
}

// Tick updates everything that depends only on time.
func (m *Machine) Tick(now core.Time) []Action {
	m.begin(now)
	if m.Age(now) > StaleAfter && (!m.staleReported || now-m.staleReportedAt >= staleReportInterval) {
		m.staleReported, m.staleReportedAt = true, now
		m.emit(Report{ProblemStale, fmt.Sprintf("revision %s was last confirmed %s ago and stays in force", era.String(m.current.Mark.Revision), m.Age(now).Round(time.Second))})
	}
	return m.finish()
}

func (m *Machine) reportOlder() {
	m.olderReported = true
	m.emit(Report{ProblemOlder, fmt.Sprintf("the service offers revision %s, revision %s stays in force", era.String(m.serviceRevision), era.String(m.current.Mark.Revision))})
}

// clearOlder ends the problem that the service offers an older revision.
func (m *Machine) clearOlder() {
	if m.olderReported {
		m.olderReported = false
		m.emit(Clear{ProblemOlder})
	}
}

func (m *Machine) reportConflict() { m.reportConflictWith(m.offered.Mark) }

func (m *Machine) reportConflictWith(other Mark) {
	m.conflictReported = true
	m.emit(Report{ProblemConflict, fmt.Sprintf("revision %s has texts with digests %016x and %016x; publish a higher revision", era.String(other.Revision), m.current.Mark.Digest, other.Digest)})
}
