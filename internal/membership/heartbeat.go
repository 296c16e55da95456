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
	heartbeat := inbound.Envelope.GetHeartbeat()
	message := Decode(heartbeat)
	if message.From.ID != inbound.From.Node {
		// Only the node that its certificate names speaks for itself.
		inbound.Reply(peer.Refused(core.ReasonNotAsked), true)
		return
	}
	d.heard(message, heartbeat.GetQuarantine())
	ticket := d.keep(inbound)
	if !d.events.TryPut(member.HeartbeatReceived{ReplyID: ticket, Message: message}) {
		d.take(ticket)
		inbound.Reply(peer.Refused(core.ReasonOverloaded), true)
	}
}

// heard passes on the configuration that the sender has in force, and what it knows of requests that are set aside.
func (d *Duty) heard(message *member.Message, quarantine uint64) {
	if d.options.Heard != nil {
		d.options.Heard(message.From.ID, message.Revision, message.Digest)
	}
	if d.options.HeardQuarantine != nil {
		d.options.HeardQuarantine(message.From.ID, quarantine)
	}
}

// heartbeat is a message as it travels.
func (d *Duty) heartbeat(message *member.Message) *peerpb.Envelope {
	heartbeat := Encode(message)
	if d.options.Quarantine != nil {
		heartbeat.Quarantine = d.options.Quarantine()
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: heartbeat}}
}

// keep holds a heartbeat until the machine answers it by its ticket.
func (d *Duty) keep(inbound *peer.Inbound) member.ReplyID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ticket++
	d.inbound[d.ticket] = inbound
	return d.ticket
}

func (d *Duty) take(ticket member.ReplyID) *peer.Inbound {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	inbound := d.inbound[ticket]
	delete(d.inbound, ticket)
	return inbound
}

// send asks a node; its reply or failure comes back as an event.
func (d *Duty) send(a member.Send) {
	envelope := d.heartbeat(a.Message)
	target := peer.Target{Node: a.To.ID, Address: a.To.PeerAddress}
	ticket := d.options.Peers.Ask(target, envelope, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		if failure != nil || reply.GetHeartbeat() == nil {
			d.events.TryPut(member.ProbeFailed{Probe: a.Probe})
			return
		}
		message := Decode(reply.GetHeartbeat())
		d.heard(message, reply.GetHeartbeat().GetQuarantine())
		d.events.TryPut(member.ReplyReceived{Probe: a.Probe, Message: message})
	})
	d.asked[a.Probe] = asked{ticket: ticket, at: d.options.Now()}
}

func (d *Duty) reply(a member.Reply) {
	inbound := d.take(a.ReplyID)
	if inbound != nil {
		inbound.Reply(d.heartbeat(a.Message), true)
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
