package app

import (
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// linkNews takes the evidence of data traffic about the node behind a link.
func (n *Node) linkNews(news peer.LinkNews) {
	switch news.State {
	case peer.LinkAnswers:
		n.members.Answered(news.Peer.Node)
	case peer.LinkSilent:
		n.problems.Report(observe.KindSilentConnection, "peer "+string(news.Peer.Node), "the link to "+news.Peer.Address+" answered nothing and was replaced")
		n.members.Lost(news.Peer.Node)
	default:
		n.members.Lost(news.Peer.Node)
	}
}

// silentUpstream takes the evidence that a connection to a replica went silent.
func (n *Node) silentUpstream(address string) {
	n.problems.Report(observe.KindSilentConnection, "upstream "+address, "a request timed out on an open connection, which was closed")
}
