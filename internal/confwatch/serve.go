package confwatch

import (
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// maxParked bounds the number of parked polls.
const maxParked = 4096

// parkedPoll is a poll held until there is an update or its wait ends.
type parkedPoll struct {
	inbound *peer.Inbound
	have    config.Mark
	// refused is the highest refused revision known to the sender.
	refused   uint64
	expiresAt core.Time
}

// Handle queues a ConfigRequest. It does not block.
func (w *Watcher) Handle(inbound *peer.Inbound) {
	if w.ctx.Err() != nil {
		inbound.Reply(peer.NewRefusal(core.ReasonDraining), true)
		return
	}
	if !w.events.TryPut(inboundRequest{inbound}) {
		inbound.Reply(peer.NewRefusal(core.ReasonOverloaded), true)
	}
}

// Hint records that a heartbeat or a request shows this text in force at a node.
// Digest 0 means unknown. It does not block.
func (w *Watcher) Hint(node core.NodeID, revision, digest uint64) {
	if inForce := w.Belief.Config(); inForce != nil && (revision > inForce.Revision || revision == inForce.Revision && digest > inForce.Digest) {
		w.events.TryPut(hint{node, config.Mark{Revision: revision, Digest: digest}})
	}
}

type hint struct {
	node core.NodeID
	mark config.Mark
}

func (h hint) apply(w *Watcher) {
	current := w.machine.InForce()
	if h.mark.Digest == 0 && h.mark.Revision <= current.Revision {
		return
	}
	w.act(w.machine.PeerReported(w.Now(), h.node, h.mark))
}

// inboundRequest is a ConfigRequest from another node.
type inboundRequest struct{ inbound *peer.Inbound }

func (r inboundRequest) apply(w *Watcher) {
	request := r.inbound.Envelope.GetConfigRequest()
	have := config.Mark{Revision: request.GetHaveRevision(), Digest: request.GetHaveDigest()}
	if !request.GetMarkOnly() && have.Revision != 0 && !w.machine.Gathering() {
		// The sender may be ahead, or have another text under this revision.
		w.act(w.machine.PeerReported(w.Now(), r.inbound.From.Node, have))
	}
	current := w.machine.InForce()
	// A refusal below the revision in force at the sender is irrelevant to it.
	refused := max(request.GetRefusedRevision(), have.Revision)
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, config.PollWait)
	switch {
	case request.GetMarkOnly():
		r.inbound.Reply(w.unchangedReply(), true)
	case current.Supersedes(have):
		r.inbound.Reply(envelope(w.history.replyTo(have, w.Belief.Config())), true)
	case w.hasRefusalAbove(refused):
		r.inbound.Reply(w.unchangedReply(), true)
	case wait > 0 && len(w.parked) >= maxParked:
		r.inbound.Reply(peer.NewRefusal(core.ReasonOverloaded), true)
	case wait > 0:
		w.parked = append(w.parked, &parkedPoll{r.inbound, have, refused, w.Now() + wait})
	default:
		r.inbound.Reply(w.unchangedReply(), true)
	}
}

// answerParked answers the parked polls that the text in force supersedes.
func (w *Watcher) answerParked() {
	current := w.machine.InForce()
	w.filterParked(func(p *parkedPoll) bool {
		if !current.Supersedes(p.have) {
			return true
		}
		p.inbound.Reply(envelope(w.history.replyTo(p.have, w.Belief.Config())), true)
		return false
	})
}

func (w *Watcher) expireParked(now core.Time) {
	w.filterParked(func(p *parkedPoll) bool {
		if p.inbound.Context.Err() != nil {
			return false
		}
		if now < p.expiresAt {
			return true
		}
		p.inbound.Reply(w.unchangedReply(), true)
		return false
	})
}

func (w *Watcher) refuseParked() {
	w.filterParked(func(p *parkedPoll) bool {
		p.inbound.Reply(peer.NewRefusal(core.ReasonDraining), true)
		return false
	})
}

// filterParked removes the parked polls for which keep returns false.
func (w *Watcher) filterParked(keep func(*parkedPoll) bool) {
	kept := w.parked[:0]
	for _, poll := range w.parked {
		if keep(poll) {
			kept = append(kept, poll)
		}
	}
	clear(w.parked[len(kept):])
	w.parked = kept
}

// announceRefusal answers the parked polls whose senders do not know the highest refused revision.
func (w *Watcher) announceRefusal() {
	w.filterParked(func(p *parkedPoll) bool {
		if !w.hasRefusalAbove(p.refused) {
			return true
		}
		p.inbound.Reply(w.unchangedReply(), true)
		return false
	})
}

func (w *Watcher) hasRefusalAbove(revision uint64) bool {
	refusal, ok := w.machine.Refused()
	return ok && refusal.Mark.Revision > revision
}

// unchangedReply returns the reply without a text, with the mark in force and the highest refused revision.
func (w *Watcher) unchangedReply() *peerpb.Envelope {
	mark := w.machine.InForce()
	reply := &peerpb.ConfigReply{Revision: mark.Revision, Digest: mark.Digest, Unchanged: true}
	if refusal, ok := w.machine.Refused(); ok {
		reply.RefusedRevision, reply.RefusedDigest = refusal.Mark.Revision, refusal.Mark.Digest
		reply.RefusedReason = truncateReason(refusal.Reason)
	}
	return envelope(reply)
}

// maxReasonBytes bounds the reason passed to peers: a text can have thousands of
// problems, and the first ones suffice to find the cause.
const maxReasonBytes = 512

func truncateReason(reason string) string {
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	return strings.ToValidUTF8(reason, "")
}

func envelope(reply *peerpb.ConfigReply) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{ConfigReply: reply}}
}
