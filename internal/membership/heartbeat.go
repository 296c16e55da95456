package membership

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// heartbeatTimeout is when a heartbeat without a reply is cancelled. The state
// machine has counted it as failed by then.
const heartbeatTimeout = 2 * time.Second

// HandleHeartbeat queues a peer's heartbeat, or refuses it when the ring is full.
func (m *Manager) HandleHeartbeat(inbound *peer.Inbound) {
	heartbeat := inbound.Envelope.GetHeartbeat()
	message := Decode(heartbeat)
	if message.From.ID != inbound.From.Node {
		// A node may send heartbeats only under the id in its certificate.
		inbound.Reply(peer.NewRefusal(core.ReasonNotAsked), true)
		return
	}
	m.notifyReceived(message, heartbeat.GetQuarantine())
	replyID := m.storeInbound(inbound)
	if !m.events.TryPut(member.HeartbeatReceived{ReplyID: replyID, Message: message}) {
		m.takeInbound(replyID)
		inbound.Reply(peer.NewRefusal(core.ReasonOverloaded), true)
	}
}

// notifyReceived passes on the sender's configuration in force and its quarantine digest.
func (m *Manager) notifyReceived(message *member.Message, quarantine uint64) {
	if m.options.OnPeerConfig != nil {
		m.options.OnPeerConfig(message.From.ID, message.Revision, message.Digest)
	}
	if m.options.OnPeerQuarantine != nil {
		m.options.OnPeerQuarantine(message.From.ID, quarantine)
	}
}

// heartbeatEnvelope returns the envelope of a message, with this node's quarantine digest.
func (m *Manager) heartbeatEnvelope(message *member.Message) *peerpb.Envelope {
	heartbeat := Encode(message)
	if m.options.QuarantineDigest != nil {
		heartbeat.Quarantine = m.options.QuarantineDigest()
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: heartbeat}}
}

// storeInbound keeps a heartbeat until the state machine replies under the returned id.
func (m *Manager) storeInbound(inbound *peer.Inbound) member.ReplyID {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastReplyID++
	m.inbound[m.lastReplyID] = inbound
	return m.lastReplyID
}

func (m *Manager) takeInbound(replyID member.ReplyID) *peer.Inbound {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	inbound := m.inbound[replyID]
	delete(m.inbound, replyID)
	return inbound
}

// send sends a heartbeat to a node; the reply or failure becomes an event.
func (m *Manager) send(a member.Send) {
	envelope := m.heartbeatEnvelope(a.Message)
	target := peer.Target{Node: a.To.ID, Address: a.To.PeerAddress}
	canceller := m.options.Peers.Send(target, envelope, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		if failure != nil || reply.GetHeartbeat() == nil {
			m.events.TryPut(member.ProbeFailed{Probe: a.Probe})
			return
		}
		message := Decode(reply.GetHeartbeat())
		m.notifyReceived(message, reply.GetHeartbeat().GetQuarantine())
		m.events.TryPut(member.ReplyReceived{Probe: a.Probe, Message: message})
	})
	m.pending[a.Probe] = pendingProbe{canceller: canceller, at: m.options.Now()}
}

func (m *Manager) reply(a member.Reply) {
	inbound := m.takeInbound(a.ReplyID)
	if inbound != nil {
		inbound.Reply(m.heartbeatEnvelope(a.Message), true)
	}
}

// cancelExpired cancels heartbeats without a reply, which bounds their number on
// an unresponsive link.
func (m *Manager) cancelExpired() {
	now := m.options.Now()
	for probe, pending := range m.pending {
		if now-pending.at > heartbeatTimeout {
			pending.canceller.Cancel()
			delete(m.pending, probe)
		}
	}
}
