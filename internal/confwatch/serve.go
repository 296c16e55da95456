package confwatch

import (
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// maxParked bounds the polls held for other nodes.
const maxParked = 4096

// parked is a poll that waits for something new.
type parked struct {
	inbound *peer.Inbound
	have    config.Mark
	// refused is the highest refused revision that the asker knows of.
	refused uint64
	until   core.Time
}

// Handle takes a ConfigRequest. It does not block.
func (w *Watcher) Handle(inbound *peer.Inbound) {
	if w.ctx.Err() != nil {
		inbound.Reply(peer.Refused(core.ReasonDraining), true)
		return
	}
	if !w.events.TryPut(request{inbound}) {
		inbound.Reply(peer.Refused(core.ReasonOverloaded), true)
	}
}

// Hint says that a node has the marked text in force, as a heartbeat or a
// request shows. Digest 0 stands for "not known". It does not block.
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

// request is a ConfigRequest of another node.
type request struct{ inbound *peer.Inbound }

func (r request) apply(w *Watcher) {
	asked := r.inbound.Envelope.GetConfigRequest()
	have := config.Mark{Revision: asked.GetHaveRevision(), Digest: asked.GetHaveDigest()}
	if !asked.GetMarkOnly() && have.Revision != 0 && !w.machine.Gathering() {
		// Whoever asks may be ahead, or have another text under this revision.
		w.act(w.machine.PeerReported(w.Now(), r.inbound.From.Node, have))
	}
	current := w.machine.InForce()
	// A refusal below what the asker has in force is no news to it.
	refused := max(asked.GetRefusedRevision(), have.Revision)
	wait := min(time.Duration(asked.GetWaitMs())*time.Millisecond, config.PollWait)
	switch {
	case asked.GetMarkOnly():
		r.inbound.Reply(w.unchanged(), true)
	case current.Supersedes(have):
		r.inbound.Reply(envelope(w.history.replyTo(have, w.Belief.Config())), true)
	case w.knowsRefusalAbove(refused):
		r.inbound.Reply(w.unchanged(), true)
	case wait > 0 && len(w.parked) >= maxParked:
		r.inbound.Reply(peer.Refused(core.ReasonOverloaded), true)
	case wait > 0:
		w.parked = append(w.parked, &parked{r.inbound, have, refused, w.Now() + wait})
	default:
		r.inbound.Reply(w.unchanged(), true)
	}
}

// answerParked answers the polls that are behind what is now in force.
func (w *Watcher) answerParked() {
	current := w.machine.InForce()
	w.keepParked(func(p *parked) bool {
		if !current.Supersedes(p.have) {
			return true
		}
		p.inbound.Reply(envelope(w.history.replyTo(p.have, w.Belief.Config())), true)
		return false
	})
}

func (w *Watcher) expireParked(now core.Time) {
	w.keepParked(func(p *parked) bool {
		if p.inbound.Context.Err() != nil {
			return false
		}
		if now < p.until {
			return true
		}
		p.inbound.Reply(w.unchanged(), true)
		return false
	})
}

func (w *Watcher) refuseParked() {
	w.keepParked(func(p *parked) bool {
		p.inbound.Reply(peer.Refused(core.ReasonDraining), true)
		return false
	})
}

// keepParked drops the polls that keep answers false for.
func (w *Watcher) keepParked(keep func(*parked) bool) {
	kept := w.parked[:0]
	for _, one := range w.parked {
		if keep(one) {
			kept = append(kept, one)
		}
	}
	clear(w.parked[len(kept):])
	w.parked = kept
}

// answerRefusal answers the polls of those who do not know of a refusal.
func (w *Watcher) answerRefusal() {
	w.keepParked(func(p *parked) bool {
		if !w.knowsRefusalAbove(p.refused) {
			return true
		}
		p.inbound.Reply(w.unchanged(), true)
		return false
	})
}

func (w *Watcher) knowsRefusalAbove(revision uint64) bool {
	refusal, ok := w.machine.Refused()
	return ok && refusal.Mark.Revision > revision
}

// unchanged makes the reply without a text, with what was refused.
func (w *Watcher) unchanged() *peerpb.Envelope {
	mark := w.machine.InForce()
	reply := &peerpb.ConfigReply{Revision: mark.Revision, Digest: mark.Digest, Unchanged: true}
	if refusal, ok := w.machine.Refused(); ok {
		reply.RefusedRevision, reply.RefusedDigest = refusal.Mark.Revision, refusal.Mark.Digest
		reply.RefusedReason = shorten(refusal.Reason)
	}
	return envelope(reply)
}

// maxReasonBytes bounds the reason that is passed on: a text can have thousands
// of problems, and the first says where to look.
const maxReasonBytes = 512

func shorten(reason string) string {
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	return strings.ToValidUTF8(reason, "")
}

func envelope(reply *peerpb.ConfigReply) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{ConfigReply: reply}}
}
