package app

import (
	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// receiveQuarantineDigest compares the quarantine digest of another node with this node's. It ignores
// unknown nodes and does nothing before this node is ready.
func (n *Node) receiveQuarantineDigest(from core.NodeID, digest uint64) {
	if known, ok := n.belief.View().Node(from); ok && n.ready.Load() {
		n.quarantine.CompareDigest(peer.Target{Node: known.ID, Address: known.PeerAddress}, digest)
	}
}

// SetAsideCount returns the number of request keys that are set aside. A request may have an exact and a broad key.
func (n *Node) SetAsideCount() int64 { return n.quarantine.Count(quarantine.SetAside) }

// standingEvents maps the new standing of a request to the name of its log event.
var standingEvents = map[quarantine.Standing]string{
	quarantine.Trusted: "request_cleared", quarantine.Suspect: "request_suspected", quarantine.SetAside: "request_set_aside",
}

// logStandingChange logs a change in the severity of a request and the node that reported it.
func (n *Node) logStandingChange(change quarantine.Change, from core.NodeID) {
	record := change.Record
	severity := record.Severity()
	if severity == change.Previous {
		return
	}
	entry := n.log.WithFields(logrus.Fields{
		"event": standingEvents[severity], "key": record.Key.String(), "what": record.Description, "former": change.Previous.String(),
		"replicas_ended": record.EndedCount(), "shards_set_aside": record.SetAsideShards(), "from": from,
	})
	if severity == quarantine.SetAside {
		entry.Warn("request set aside: replicas ended each time it ran")
		return
	}
	entry.Info("request standing changed")
}
