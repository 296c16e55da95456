package config

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

const (
	// groupSize is how many nodes of a data centre take turns as relays.
	groupSize = 8
	// activeRelays is how many of them watch the service at a time.
	activeRelays = 2
	// relayKey is the rendezvous key of the relays; it belongs to no bundle's
	// name but is hashed as a bundle's would be.
	relayKey core.BundleID = 0xC0F16
	// startPeers is how many peers of each data centre a starting node asks.
	startPeers = 2
	// directReads bounds the service reads a second of the whole fleet when
	// every node reads directly: a quarter of what the service allows.
	directReads = 500
	// unknownFleet is the fleet size assumed before any view is known.
	unknownFleet = 1000
	leastGap     = 250 * time.Millisecond
)

// Relays returns the nodes of a data centre that watch the service while the
// revision is in force. Two of a group of eight take turns by the revision: a
// relay reads each new text whole, and 4,000 texts of a megabyte a day are
// 48 KB/s, more than one node's control traffic may be.
func Relays(view *route.View, dataCentre string, revision uint64) []route.Node {
	group := relayGroup(view, dataCentre)
	if len(group) <= activeRelays {
		return group
	}
	active := make([]route.Node, 0, activeRelays)
	first := int(revision * activeRelays % uint64(len(group)))
	for i := range activeRelays {
		active = append(active, group[(first+i)%len(group)])
	}
	return active
}

// relayGroup lists the first nodes of the data centre in rendezvous order.
func relayGroup(view *route.View, dataCentre string) []route.Node {
	var group []route.Node
	for _, node := range view.Order(relayKey, dataCentre) {
		if node.DataCentre != dataCentre || len(group) == groupSize {
			break
		}
		group = append(group, node)
	}
	return group
}

// PollTargets returns whom a node asks for newer revisions, and whether it is a
// relay itself. A node asks the relays of its data centre; a relay also asks
// one of each other data centre, so that a data centre cut off from the service
// learns from the others. A node whose data centre has no listed node follows
// the relays of the first data centre that has.
func PollTargets(view *route.View, self core.NodeID, dataCentre string, revision uint64) (targets []route.Node, relay bool) {
	for _, node := range Relays(view, dataCentre, revision) {
		if node.ID == self {
			relay = true
			continue
		}
		targets = append(targets, node)
	}
	if !relay && len(targets) > 0 {
		return targets, false
	}
	for _, other := range dataCentres(view) {
		if other == dataCentre {
			continue
		}
		relays := Relays(view, other, revision)
		if !relay {
			return relays, false
		}
		targets = append(targets, relays[0])
	}
	return targets, relay
}

// StartPeers returns the peers that a starting node asks: two of each data
// centre, in rendezvous order of the asking node, so that restarts spread.
func StartPeers(view *route.View, self core.NodeID) []route.Node {
	var peers []route.Node
	counts := map[string]int{}
	for _, node := range view.Order(startKey(self), "") {
		if node.ID == self || counts[node.DataCentre] == startPeers {
			continue
		}
		counts[node.DataCentre]++
		peers = append(peers, node)
	}
	return peers
}

func startKey(self core.NodeID) core.BundleID {
	return core.BundleID(xxhash.Sum64String(string(self)))
}

// MinReadInterval is the least time between two service reads of one node, so that a fleet
// that is cut off from its peers stays within directReads.
func MinReadInterval(nodes int) time.Duration {
	if nodes == 0 {
		nodes = unknownFleet
	}
	return max(leastGap, time.Duration(nodes)*time.Second/directReads)
}

// dataCentres lists the view's data centres in the order of their first nodes.
func dataCentres(view *route.View) []string {
	var list []string
	seen := map[string]bool{}
	for _, node := range view.Nodes() {
		if !seen[node.DataCentre] {
			seen[node.DataCentre] = true
			list = append(list, node.DataCentre)
		}
	}
	return list
}
