// Package coldstart divides the request rate that a cold replica can handle among the nodes.
//
// A replica that has just started, or whose data centre has returned, is slow for some seconds, and
// its service may state the request rate that it can handle meanwhile. Well above that rate it
// crashes. A node does not know what the others send, so each keeps to its own share; the shares add
// up to half of the stated rate. The other half covers divergent views of the fleet: with two views,
// each node sends at most twice its share.
package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Bound is the limit that a service states for its cold replicas.
type Bound struct {
	// PerSecond is the number of requests per second that a cold replica can handle from all nodes
	// together; 0 or less means that none is stated.
	PerSecond float64
	// Lasts is how long a replica is cold after its start.
	Lasts time.Duration
}

// usedFraction is the fraction of the stated rate that all nodes together use.
const usedFraction = 0.5

// Share returns how many requests a node may send to a cold replica in any second. The total is
// divided equally among the nodes that receive requests from callers; the remainder goes to the nodes
// with the lowest hashes for this replica. Any other node gets 0.
func Share(bound Bound, replica string, self core.NodeID, nodes []core.NodeID) int {
	if len(nodes) == 0 || !slices.Contains(nodes, self) {
		return 0
	}
	total := max(int(usedFraction*bound.PerSecond), 1)
	share, remainder := total/len(nodes), total%len(nodes)
	if rank(replica, self, nodes) < remainder {
		share++
	}
	return share
}

// rank returns the index of a node in the hash order of the nodes for a replica.
func rank(replica string, self core.NodeID, nodes []core.NodeID) int {
	hash := func(node core.NodeID) uint64 { return xxhash.Sum64String(replica + " " + string(node)) }
	ownHash := hash(self)
	preceding := 0
	for _, node := range nodes {
		if cmp.Or(cmp.Compare(hash(node), ownHash), cmp.Compare(node, self)) < 0 {
			preceding++
		}
	}
	return preceding
}

// Window records the requests sent within the last second.
type Window struct{ sent []core.Time }

// HasCapacity reports whether fewer requests than the share were sent within the last second.
func (w *Window) HasCapacity(share int, now core.Time) bool {
	w.sent = slices.DeleteFunc(w.sent, func(at core.Time) bool { return now-at >= time.Second })
	return len(w.sent) < share
}

// Record records a request. If HasCapacity is checked before each call, the window never exceeds the
// share.
func (w *Window) Record(now core.Time) { w.sent = append(w.sent, now) }
