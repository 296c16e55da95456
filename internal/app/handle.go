package app

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// Handle implements peer.Handler: it passes a peer's request to the component that serves it.
func (n *Node) Handle(inbound *peer.Inbound) {
	if !n.ready.Load() {
		inbound.Reply(peer.NewRefusal(core.ReasonPeerUnreached), true)
		return
	}
	switch body := inbound.Envelope.GetBody().(type) {
	case *peerpb.Envelope_Heartbeat:
		n.members.HandleHeartbeat(inbound)
	case *peerpb.Envelope_ConfigRequest:
		n.config.Handle(inbound)
	case *peerpb.Envelope_BundleRequest:
		n.config.Hint(inbound.From.Node, body.BundleRequest.GetConfigRevision(), 0)
		n.owner.HandleBundle(inbound)
	case *peerpb.Envelope_SubmitRequest:
		if inbound.Envelope.GetSubmitRequest().GetToOwner() {
			n.owner.HandleSubmit(inbound)
			return
		}
		n.home.HandleSubmit(inbound)
	case *peerpb.Envelope_HandoverRequest:
		n.home.HandleHandover(inbound)
	case *peerpb.Envelope_QuarantineNews:
		n.quarantine.Handle(inbound)
	case *peerpb.Envelope_ProblemsRequest:
		n.collector.HandleRequest(inbound)
	default:
		// A peer of a newer version may send a body that is unknown to this node.
		inbound.Reply(peer.NewRefusal(core.ReasonNotAsked), true)
	}
}
