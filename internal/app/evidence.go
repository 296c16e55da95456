package app

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// linkNews takes the evidence of data traffic about the node behind a link.
func (n *Node) linkNews(news peer.LinkEvent) {
	switch news.State {
	case peer.LinkAnswering:
		n.problems.Clear(observe.KindSilentConnection, "peer "+string(news.Peer.Node))
		n.members.Answered(news.Peer.Node)
	case peer.LinkSilent:
		n.problems.Report(observe.KindSilentConnection, "peer "+string(news.Peer.Node), "the link to "+news.Peer.Address+" answered nothing and was replaced")
		n.members.Lost(news.Peer.Node)
	default:
		n.members.Lost(news.Peer.Node)
	}
}

// silentUpstream takes the evidence that a connection to a replica went silent,
// or that the replica answers again.
func (n *Node) silentUpstream(address string, silent bool) {
	subject := "upstream " + address
	if !silent {
		n.problems.Clear(observe.KindSilentConnection, subject)
		return
	}
	n.problems.Report(observe.KindSilentConnection, subject, "a request timed out on an open connection, which was closed")
}

// crossedQuiet is how long an address stays reported after its last crossed or
// cut reply. A whole reply does not end it: such replies come now and then.
const crossedQuiet = 30 * time.Minute

// droppedReply takes the evidence that a replica, or something on the way to it,
// mixes replies up or cuts them.
func (n *Node) droppedReply(address, why string) {
	n.problems.ReportFor(observe.KindCrossedReply, "upstream "+address, why, crossedQuiet)
}

// known lists the nodes of the view and of the VM list: also those that do not
// answer, which operators must not miss.
func (n *Node) known() []route.Node {
	view := n.belief.View()
	if !n.ready.Load() {
		return view.Nodes()
	}
	nodes := slices.Clone(view.Nodes())
	for _, listed := range n.members.Listed() {
		if _, routed := view.Node(listed.ID); !routed {
			nodes = append(nodes, listed)
		}
	}
	return nodes
}
