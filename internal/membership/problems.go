package membership

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// pauseProblemTTL is how long a pause stays listed as a problem: long enough for
// one in the night to be seen in the morning.
const pauseProblemTTL = 12 * time.Hour

// setPaused gates work on this node after a pause, until its possibly stale state
// is confirmed.
func (m *Manager) setPaused(a member.SetPaused) {
	m.options.Belief.SetPaused(a.Paused)
	if !a.Paused {
		m.options.Log.WithField("event", "beliefs_confirmed").Info("view and configuration confirmed after a pause")
		return
	}
	m.pausedAt = m.options.Now()
	m.options.Problems.Report(observe.KindPaused, string(m.options.Self.ID), "the process was paused for "+a.Late.Round(time.Millisecond).String())
	m.options.Log.WithFields(logrus.Fields{"event": "process_paused", "late_ms": a.Late.Milliseconds()}).Warn("process was paused; work resumes once the view and the configuration are confirmed")
}

func (m *Manager) clearExpiredPause() {
	if m.pausedAt > 0 && m.options.Now()-m.pausedAt > pauseProblemTTL {
		m.pausedAt = 0
		m.options.Problems.Clear(observe.KindPaused, string(m.options.Self.ID))
	}
}

func (m *Manager) reportSplitView(a member.SplitView) {
	subject := string(m.options.Self.ID)
	if !a.Present {
		m.options.Problems.Clear(observe.KindSplitView, subject)
		return
	}
	m.options.Problems.Report(observe.KindSplitView, subject, splitViewDetail(a.Unreached))
}

// reportUnreached reports the listed nodes that no node reaches, and clears the problems of the others.
func (m *Manager) reportUnreached(a member.Unreached) {
	for _, node := range m.unreachable {
		if !slices.Contains(a.Nodes, node) {
			m.options.Problems.Clear(observe.KindPeerUnreachable, string(node))
		}
	}
	for _, node := range a.Nodes {
		if !slices.Contains(m.unreachable, node) {
			m.options.Problems.Report(observe.KindPeerUnreachable, string(node), "live in the VM list, but unreachable from this node and from others")
		}
	}
	m.unreachable = a.Nodes
}
