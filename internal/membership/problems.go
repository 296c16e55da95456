package membership

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// pauseShown is how long a pause stays among the problems: over a night.
const pauseShown = 12 * time.Hour

// setPaused keeps work from this node after a pause. What it believed may
// have been overtaken while it stood still.
func (d *Duty) setPaused(a member.SetPaused) {
	d.options.Belief.SetPaused(a.Paused)
	if !a.Paused {
		d.options.Log.WithField("event", "beliefs_confirmed").Info("beliefs confirmed after a pause")
		return
	}
	d.pausedAt = d.options.Now()
	d.options.Problems.Report(observe.KindPaused, string(d.options.Self.ID), "the process stood still for "+a.Late.Round(time.Millisecond).String())
	d.options.Log.WithFields(logrus.Fields{"event": "process_paused", "late_ms": a.Late.Milliseconds()}).Warn("the process stood still; beliefs are confirmed before work goes on")
}

func (d *Duty) clearOldPause() {
	if d.pausedAt > 0 && d.options.Now()-d.pausedAt > pauseShown {
		d.pausedAt = 0
		d.options.Problems.Clear(observe.KindPaused, string(d.options.Self.ID))
	}
}

func (d *Duty) split(a member.SplitView) {
	subject := string(d.options.Self.ID)
	if !a.Present {
		d.options.Problems.Clear(observe.KindSplitView, subject)
		return
	}
	d.options.Problems.Report(observe.KindSplitView, subject, splitDetail(a.Unreached))
}

// unreached reports the listed nodes that nobody reaches, and clears the others.
func (d *Duty) unreached(a member.Unreached) {
	for _, node := range d.lost {
		if !slices.Contains(a.Nodes, node) {
			d.options.Problems.Clear(observe.KindPeerUnreachable, string(node))
		}
	}
	for _, node := range a.Nodes {
		if !slices.Contains(d.lost, node) {
			d.options.Problems.Report(observe.KindPeerUnreachable, string(node), "the VM list shows it live, and neither this node nor others reach it")
		}
	}
	d.lost = a.Nodes
}
