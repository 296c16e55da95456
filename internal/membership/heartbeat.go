package membership

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// ticketLife is when a heartbeat without a reply is withdrawn. The machine has
// given it up by then.
const ticketLife = 2 * time.Second

// HandleHeartbeat takes a peer's heartbeat. A full ring refuses it.
func (d *Duty) HandleHeartbeat(inbound *peer.Inbound) {
	message := Decode(inbound.Envelope.GetHeartbeat())
	if message.From.ID != inbound.From.Node {
		// Only the node that its certificate names speaks for itself.
		inbound.Reply(peer.Refused(core.ReasonNotAsked), true)
		return
	}
	d.heard(message)
	ticket := d.keep(inbound)
	if !d.events.TryPut(member.Received{Ticket: ticket, Message: message}) {
		d.take(ticket)
		inbound.Reply(peer.Refused(core.ReasonOverloaded), true)
	}
}

// heard passes on the configuration that the sender has in force.
func (d *Duty) heard(message *member.Message) {
	if d.options.Heard != nil {
		d.options.Heard(message.From.ID, message.Revision, message.Digest)
	}
}

// keep holds a heartbeat until the machine answers it by its ticket.
func (d *Duty) keep(inbound *peer.Inbound) member.Ticket {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ticket++
	d.inbound[d.ticket] = inbound
	return d.ticket
}

func (d *Duty) take(ticket member.Ticket) *peer.Inbound {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	inbound := d.inbound[ticket]
	delete(d.inbound, ticket)
	return inbound
}

// send asks a node; its reply or failure comes back as an event.
func (d *Duty) send(a member.Send) {
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: Encode(a.Message)}}
	target := peer.Target{Node: a.To.ID, Address: a.To.PeerAddress}
	ticket := d.options.Peers.Ask(target, envelope, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		if failure != nil || reply.GetHeartbeat() == nil {
			d.events.TryPut(member.Failed{Probe: a.Probe})
			return
		}
		message := Decode(reply.GetHeartbeat())
		d.heard(message)
		d.events.TryPut(member.Replied{Probe: a.Probe, Message: message})
	})
	d.asked[a.Probe] = asked{ticket: ticket, at: d.options.Now()}
}

func (d *Duty) reply(a member.Reply) {
	inbound := d.take(a.Ticket)
	if inbound != nil {
		inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: Encode(a.Message)}}, true)
	}
}

// withdrawOld withdraws heartbeats that were given up, so that a silent link
// holds a bounded number of them.
func (d *Duty) withdrawOld() {
	now := d.options.Now()
	for probe, one := range d.asked {
		if now-one.at > ticketLife {
			one.ticket.Cancel()
			delete(d.asked, probe)
		}
	}
}
