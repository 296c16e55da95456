package app

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// handleLinkUpdate reports to membership whether the traffic on a link shows its node as alive or lost,
// and reports a silent link as a problem.
func (n *Node) handleLinkUpdate(update peer.LinkEvent) {
	switch update.State {
	case peer.LinkAnswering:
		n.problems.Clear(observe.KindSilentConnection, "peer "+string(update.Peer.Node))
		n.members.RecordAnswer(update.Peer.Node)
	case peer.LinkSilent:
		n.problems.Report(observe.KindSilentConnection, "peer "+string(update.Peer.Node), "the link to "+update.Peer.Address+" did not respond and was replaced")
		n.members.RecordFailure(update.Peer.Node)
	default:
		n.members.RecordFailure(update.Peer.Node)
	}
}

// handleSilentUpstream reports a problem if a connection to a replica went silent, and
// clears it once the replica answers again.
func (n *Node) handleSilentUpstream(address string, silent bool) {
	subject := "upstream " + address
	if !silent {
		n.problems.Clear(observe.KindSilentConnection, subject)
		return
	}
	n.problems.Report(observe.KindSilentConnection, subject, "a request timed out on an open connection, which was closed")
}

// crossedReplyExpiry is how long an address stays reported after its last crossed or
// truncated reply. Intact replies do not clear the problem, since the faulty ones are
// intermittent.
const crossedReplyExpiry = 30 * time.Minute

// handleDroppedReply reports that a replica, or the network path to it, mixes up or
// truncates replies.
func (n *Node) handleDroppedReply(address, why string) {
	n.problems.ReportWithTTL(observe.KindCrossedReply, "upstream "+address, why, crossedReplyExpiry)
}

// knownNodes returns the nodes of the view and of the VM list. Operators need the nodes
// that do not answer too.
func (n *Node) knownNodes() []route.Node {
	view := n.belief.View()
	if !n.ready.Load() {
		return view.Nodes()
	}
	nodes := slices.Clone(view.Nodes())
	for _, listed := range n.members.ListedNodes() {
		if _, routed := view.Node(listed.ID); !routed {
			nodes = append(nodes, listed)
		}
	}
	return nodes
}
