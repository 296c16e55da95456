// Package coldstart shares out among the nodes what a cold replica bears.
//
// A replica that has just started, or whose data centre returns, works slowly for some seconds and
// may state how many requests a second it bears meanwhile. Well above that it crashes. No node sees
// what the others send, so that each keeps to a part of its own: the parts of all nodes
// add up to half of the stated rate. The other half is for nodes whose views of each other differ: with
// two views of the fleet, each node sends at most twice its part.
package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Bound is what a service states of its cold replicas.
type Bound struct {
	// PerSecond is the number of requests a second that a cold replica bears from all nodes
	// together; 0 or less states none.
	PerSecond float64
	// Lasts is how long a replica is cold after it started.
	Lasts time.Duration
}

// used is the part of the stated rate that all nodes together use.
const used = 0.5

// Share is how many requests a node may send to a cold replica in any second: an equal part for each
// of the nodes that requests come to, and what does not divide goes to those that hash first for this
// replica. A node that is not among them gets none.
func Share(bound Bound, replica string, self core.NodeID, nodes []core.NodeID) int {
	if len(nodes) == 0 || !slices.Contains(nodes, self) {
		return 0
	}
	total := max(int(used*bound.PerSecond), 1)
	share, rest := total/len(nodes), total%len(nodes)
	if rank(replica, self, nodes) < rest {
		share++
	}
	return share
}

// rank is a node's place in the order of the nodes for a replica.
func rank(replica string, self core.NodeID, nodes []core.NodeID) int {
	place := func(node core.NodeID) uint64 { return xxhash.Sum64String(replica + " " + string(node)) }
	own := place(self)
	before := 0
	for _, node := range nodes {
		if cmp.Or(cmp.Compare(place(node), own), cmp.Compare(node, self)) < 0 {
			before++
		}
	}
	return before
}

// Window counts the requests of the last second.
type Window struct{ sent []core.Time }

// HasCapacity reports whether a share of the last second is not used up.
func (w *Window) HasCapacity(share int, now core.Time) bool {
	w.sent = slices.DeleteFunc(w.sent, func(at core.Time) bool { return now-at >= time.Second })
	return len(w.sent) < share
}

// Record counts a request. Where Free is asked first, it holds no more than a share of them.
func (w *Window) Record(now core.Time) { w.sent = append(w.sent, now) }
