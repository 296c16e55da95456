package extra

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Fractions of the bound that all nodes together use. The rest covers what nodes cannot know about
// each other: requests counted at slightly different times, and what the predecessor of a restarted
// node has already spent.
const (
	// RatioUsed is the fraction of the ratio that is used.
	RatioUsed = 0.85
	// entriesAllowance is the fraction of the allowance divided among the nodes that callers are sent to;
	// allNodesAllowance is divided among all nodes, because callers may keep old addresses.
	entriesAllowance  = 0.45
	allNodesAllowance = 0.15
	// firstWindowFraction is the fraction of its part that a node reaches by the end of its first window. It keeps the
	// total within the allowance when all nodes restart after their predecessors have spent their parts.
	firstWindowFraction = (1 - entriesAllowance - allNodesAllowance) / (entriesAllowance + allNodesAllowance)
	// initialFraction is the fraction of its part that a node has when it starts, so that the first failed request can
	// be retried.
	initialFraction = 0.15
)

// Fleet describes the nodes that share the allowance, as seen by one of them.
type Fleet struct {
	// Entries is the number of nodes that callers are sent to.
	Entries int
	// IsEntry reports whether this node is one of the entries.
	IsEntry bool
	// Nodes is the number of live nodes, including configured nodes that are not yet visible.
	Nodes int
}

// part returns the node's part of the allowance, as a fraction from 0 to 1.
func (f Fleet) part() float64 {
	part := allNodesAllowance / float64(max(f.Nodes, 1))
	if f.IsEntry {
		part += entriesAllowance / float64(max(f.Entries, 1))
	}
	return part
}

// AllowancePart computes a node's part of the allowance as the fleet changes. The zero value is ready
// for use by a node that starts at time 0. It is not safe for concurrent use.
//
// It prevents nodes from jointly exceeding the allowance when the fleet changes within one window: a remaining node
// must not reuse what a departed node has already spent, and a new node must not start with a whole part, or with that
// of the whole fleet before it sees other nodes. The part is therefore the minimum over the last window, and is reduced
// during the first window after a start. However often a node is replaced within a window, its successors together
// spend at most firstWindowFraction of one part, or initialFraction of it each.
type AllowancePart struct {
	// minima is a monotonic queue for the minimum over the window: both part and at increase.
	minima []partSample
}

// partSample is a part and the last time at which it was observed.
type partSample struct {
	part float64
	at   core.Time
}

// Update records the current fleet and returns how much of the allowance the node may use within a window. The time now
// is measured from the start of the node.
func (p *AllowancePart) Update(allowance float64, fleet Fleet, window time.Duration, now core.Time) float64 {
	part := fleet.part()
	for len(p.minima) > 0 && p.minima[len(p.minima)-1].part >= part {
		p.minima = p.minima[:len(p.minima)-1]
	}
	p.minima = append(p.minima, partSample{part: part, at: now})
	for p.minima[0].at <= now-window {
		p.minima = p.minima[1:]
	}
	limit := p.minima[0].part * allowance
	if now >= window {
		return limit
	}
	return limit * max(initialFraction, firstWindowFraction*float64(now)/float64(window))
}
