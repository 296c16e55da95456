package config

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

const (
	// relayGroupSize is how many nodes of a data centre take turns as relays.
	relayGroupSize = 8
	// activeRelays is how many of them watch the service at a time.
	activeRelays = 2
	// relayKey is the rendezvous key of the relays. It is hashed like a bundle's key but belongs to
	// no bundle.
	relayKey core.BundleID = 0xC0F16
	// startPeersPerDataCentre is how many peers of each data centre a starting node asks.
	startPeersPerDataCentre = 2
	// maxDirectReadsPerSecond bounds the service reads of the whole fleet when every node reads
	// directly: a quarter of what the service allows.
	maxDirectReadsPerSecond = 500
	// assumedFleetSize is the fleet size assumed before any view is known.
	assumedFleetSize  = 1000
	readIntervalFloor = 250 * time.Millisecond
)

// Relays returns the nodes of a data centre that watch the service while the revision is in force.
// Two of a group of eight take turns by revision: a relay reads each new text in full, and 4,000
// texts of a megabyte a day are 48 KB/s, which exceeds one node's budget of control traffic.
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
		if node.DataCentre != dataCentre || len(group) == relayGroupSize {
			break
		}
		group = append(group, node)
	}
	return group
}

// PollTargets returns the nodes that a node polls for newer revisions, and whether it is a relay
// itself. A node polls the relays of its data centre. A relay also polls one relay of each other
// data centre, so that a data centre without access to the service gets updates from the others. A
// node whose data centre has no listed node polls the relays of the first data centre that has
// some.
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

// StartPeers returns the peers that a starting node asks: two of each data centre, in rendezvous
// order of the asking node, which spreads the load of restarts.
func StartPeers(view *route.View, self core.NodeID) []route.Node {
	var peers []route.Node
	counts := map[string]int{}
	for _, node := range view.Order(startKey(self), "") {
		if node.ID == self || counts[node.DataCentre] == startPeersPerDataCentre {
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

// MinReadInterval is the least time between two service reads of one node, so that a fleet whose
// nodes cannot reach their peers stays within maxDirectReadsPerSecond.
func MinReadInterval(nodes int) time.Duration {
	if nodes == 0 {
		nodes = assumedFleetSize
	}
	return max(readIntervalFloor, time.Duration(nodes)*time.Second/maxDirectReadsPerSecond)
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
