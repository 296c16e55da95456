package condition

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// maxSources bounds the nodes whose word on one replica is kept.
	maxSources = 8
	// evidenceHalfLife halves the weight of an observation against newer ones.
	evidenceHalfLife = time.Second
	// ownFreshFor is for how long a node goes by its own last outcome alone; after that ownTrustHalfLife halves its trust.
	ownFreshFor      = time.Second
	ownTrustHalfLife = 500 * time.Millisecond
	// slownessHalfLife and shareHalfLife let what was told fade, so that the replica is tried again.
	slownessHalfLife = 3 * time.Second
	shareHalfLife    = 4 * time.Second
	// unreachableTTL is how long word that a replica is unreachable counts; minUnreachableSources nodes must say so, or
	// a node that is cut off could take replicas from all others.
	unreachableTTL        = time.Second
	minUnreachableSources = 2
)

// Word holds what other nodes have told of one incarnation of a replica. The zero value is empty.
type Word struct {
	reports []report
}

type report struct {
	Condition
	from core.NodeID
	at   core.Time
}

// Take records another node's observation, which replaces an older one of the same node.
func (w *Word) Take(from core.NodeID, c Condition, at core.Time) {
	oldest := -1
	for i := range w.reports {
		if w.reports[i].from == from {
			if at >= w.reports[i].at {
				w.reports[i] = report{Condition: c, from: from, at: at}
			}
			return
		}
		if oldest < 0 || w.reports[i].at < w.reports[oldest].at {
			oldest = i
		}
	}
	added := report{Condition: c, from: from, at: at}
	switch {
	case len(w.reports) < maxSources:
		w.reports = append(w.reports, added)
	case at > w.reports[oldest].at:
		w.reports[oldest] = added
	}
}

// Expire drops what no longer counts.
func (w *Word) Expire(now core.Time) {
	kept := w.reports[:0]
	for _, r := range w.reports {
		if now-r.at < TTL {
			kept = append(kept, r)
		}
	}
	if w.reports = kept; len(kept) == 0 {
		w.reports = nil
	}
}

// IsEmpty reports whether nothing was told.
func (w *Word) IsEmpty() bool { return len(w.reports) == 0 }

// Sources returns the nodes whose word counts and is notable.
func (w *Word) Sources(now core.Time) []core.NodeID {
	var sources []core.NodeID
	for _, r := range w.reports {
		if now-r.at < TTL && r.Notable() {
			sources = append(sources, r.from)
		}
	}
	return sources
}

// Own is a node's own knowledge of a replica at the present time.
type Own struct {
	Condition
	// At is the time of the newest outcome, AnsweredAt that of the newest answer; 0 is never.
	At, AnsweredAt core.Time
}

// Merge weighs what was told against the node's own knowledge. While the node has outcomes of its own, it goes by them;
// what others observed since then counts the more the older its own last outcome is. So a node with many requests is not
// led by others, and all nodes together do not turn to the same replica.
//
// A replica that loses one answer in five answers most requests of most nodes. Their word does not take back what this node
// has seen of failures, which fades by itself.
func (w *Word) Merge(own Own, now core.Time) Condition {
	if len(w.reports) == 0 {
		return own.Condition
	}
	told := Condition{}
	total, unreachableSources := 0.0, 0
	for _, r := range w.reports {
		age := now - r.at
		if age >= TTL || r.at <= own.At {
			continue
		}
		weight, faded := halved(age, evidenceHalfLife), r.faded(age)
		total += weight
		told.Slowness += weight * faded.Slowness
		told.Refused += weight * faded.Refused
		told.Failed += weight * faded.Failed
		if r.Unreachable && age < unreachableTTL && r.at > own.AnsweredAt {
			unreachableSources++
		}
	}
	if total == 0 {
		return own.Condition
	}
	trust := own.trust(now)
	return Condition{
		Slowness:    trust*own.Slowness + (1-trust)*told.Slowness/total,
		Refused:     trust*own.Refused + (1-trust)*told.Refused/total,
		Failed:      max(own.Failed, (1-trust)*told.Failed/total),
		Unreachable: own.Unreachable || unreachableSources >= minUnreachableSources,
	}
}

// trust returns how much the node's own knowledge counts against what it is told, 0 to 1.
func (o Own) trust(now core.Time) float64 {
	if o.At == 0 {
		return 0
	}
	return halved(now-o.At-ownFreshFor, ownTrustHalfLife)
}

// faded returns a told condition as it counts at an age.
func (c Condition) faded(age time.Duration) Condition {
	c.Slowness = 1 + (c.Slowness-1)*halved(age, slownessHalfLife)
	c.Refused *= halved(age, shareHalfLife)
	c.Failed *= halved(age, shareHalfLife)
	return c
}
