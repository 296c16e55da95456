package confwatch

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// requestTimeout is the time limit of a request that the peer answers at once.
const requestTimeout = 2 * time.Second

// requestKind is the kind of a request to a peer.
type requestKind uint8

const (
	// requestMark requests the revision and digest in force.
	requestMark requestKind = iota
	// requestText requests the text at once, as a difference when possible.
	requestText
	// requestWholeText requests the whole text at once.
	requestWholeText
	// requestPoll requests a reply once there is a newer text.
	requestPoll
)

// peerRequest is a request to a peer in flight.
type peerRequest struct {
	id        uint64
	kind      requestKind
	node      route.Node
	have      config.Mark
	at        core.Time
	canceller peer.Canceller
}

// send sends a request. The reply arrives as an event.
func (w *Watcher) send(kind requestKind, node route.Node) { w.sendWithWait(kind, node, 0) }

// sendWithWait sends a request that the peer may hold for up to wait.
func (w *Watcher) sendWithWait(kind requestKind, node route.Node, wait time.Duration) {
	w.lastRequestID++
	sent := &peerRequest{id: w.lastRequestID, kind: kind, node: node, have: w.machine.InForce(), at: w.Now()}
	request := &peerpb.ConfigRequest{MarkOnly: kind == requestMark}
	if kind == requestPoll {
		sent.have = w.machine.PollAfter()
		request.WaitMs = uint64(wait.Milliseconds())
	}
	if kind != requestWholeText {
		request.HaveRevision, request.HaveDigest = sent.have.Revision, sent.have.Digest
	}
	if refusal, ok := w.machine.Refused(); ok {
		request.RefusedRevision = refusal.Mark.Revision
	}
	w.openRequests[sent.id] = sent
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: request}}
	id := sent.id
	sent.canceller = w.Peers.Send(peer.Target{Node: node.ID, Address: node.PeerAddress}, envelope, func(reply *peerpb.Envelope, _ *peer.LinkError) {
		w.events.TryPut(peerReply{id: id, reply: reply.GetConfigReply()})
	})
}

func (w *Watcher) requestOpen(kind requestKind, node core.NodeID) bool {
	for _, open := range w.openRequests {
		if open.kind == kind && open.node.ID == node {
			return true
		}
	}
	return false
}

func (w *Watcher) cancelRequest(kind requestKind, node core.NodeID) {
	for id, open := range w.openRequests {
		if open.kind == kind && open.node.ID == node {
			delete(w.openRequests, id)
			open.canceller.Cancel()
		}
	}
}

// expireRequests cancels requests without a reply within requestTimeout, except polls, which the follower cancels.
func (w *Watcher) expireRequests(now core.Time) {
	for id, open := range w.openRequests {
		if open.kind == requestPoll || now-open.at < requestTimeout {
			continue
		}
		delete(w.openRequests, id)
		open.canceller.Cancel()
		w.act(w.machine.PeerFailed(now, open.node.ID))
	}
}

// fetch requests the text of a peer.
func (w *Watcher) fetch(id core.NodeID) []config.Action {
	node, ok := w.Belief.View().Node(id)
	if !ok {
		return w.machine.PeerFailed(w.Now(), id)
	}
	w.send(requestText, node)
	return nil
}

// peerReply is the end of a request; reply is nil when the peer was not reached or
// refused the request.
type peerReply struct {
	id    uint64
	reply *peerpb.ConfigReply
}

func (a peerReply) apply(w *Watcher) {
	answered := w.openRequests[a.id]
	if answered == nil {
		return
	}
	delete(w.openRequests, a.id)
	now := w.Now()
	if answered.kind == requestPoll {
		w.pollEnded(answered, a.reply)
		return
	}
	if a.reply == nil {
		w.act(w.machine.PeerFailed(now, answered.node.ID))
		return
	}
	w.handleReply(answered, a.reply)
}

// pollEnded handles the end of a poll. A poll with an unusable text counts as failed,
// so that it is not repeated at once.
func (w *Watcher) pollEnded(poll *peerRequest, reply *peerpb.ConfigReply) {
	now := w.Now()
	ok := reply != nil
	if ok {
		if !w.follower.ReadsService() {
			w.act(w.machine.Confirm(now))
		}
		ok = w.handleReply(poll, reply)
	}
	w.follow(w.follower.PollEnded(now, poll.node.ID, ok))
}

func replyMark(reply *peerpb.ConfigReply) config.Mark {
	return config.Mark{Revision: reply.GetRevision(), Digest: reply.GetDigest()}
}

// handleReply offers the text of a reply to the state machine, or only its mark when
// the text is of no use here, such as a difference from a text that is no longer in
// force. It returns false when a text does not match its digest; the whole text is
// then requested in place of a difference.
func (w *Watcher) handleReply(answered *peerRequest, reply *peerpb.ConfigReply) bool {
	mark := replyMark(reply)
	whole := len(reply.GetText()) > 0
	w.receiveRefusal(reply)
	if reply.GetUnchanged() || mark == w.machine.InForce() || !whole && answered.have != w.machine.InForce() {
		w.act(w.machine.PeerReported(w.Now(), answered.node.ID, mark))
		return true
	}
	text, err := w.replyText(reply)
	if err != nil || xxhash.Sum64(text) != mark.Digest {
		w.rejectText(answered, mark, whole)
		return false
	}
	counter := "config_differences_total"
	if whole {
		counter = "config_whole_texts_total"
	}
	observe.Counter(w.Metrics, counter).Inc(1)
	w.act(w.machine.Offer(w.Now(), parseReading(mark, text, config.FromPeer)))
	return true
}

func (w *Watcher) receiveRefusal(reply *peerpb.ConfigReply) {
	if reply.GetRefusedRevision() == 0 {
		return
	}
	mark := config.Mark{Revision: reply.GetRefusedRevision(), Digest: reply.GetRefusedDigest()}
	w.act(w.machine.PeerRefused(w.Now(), config.Refusal{Mark: mark, Reason: reply.GetRefusedReason()}))
}

func (w *Watcher) rejectText(answered *peerRequest, mark config.Mark, whole bool) {
	w.Log.WithFields(logrus.Fields{"event": "config_text_misfit", "peer": answered.node.ID, "revision": mark.Revision}).Warn("configuration text from a peer does not match its digest")
	observe.Counter(w.Metrics, "config_misfits_total").Inc(1)
	if !whole {
		w.send(requestWholeText, answered.node)
	}
}

// replyText returns the text in a reply, or the result of applying its edits to the text in force.
func (w *Watcher) replyText(reply *peerpb.ConfigReply) ([]byte, error) {
	if len(reply.GetText()) > 0 {
		return reply.GetText(), nil
	}
	inForce := w.Belief.Config()
	if inForce == nil {
		return nil, nil
	}
	lines, err := config.Apply(config.SplitLines(string(inForce.Text)), replyEdits(reply))
	return []byte(strings.Join(lines, "")), err
}

func replyEdits(reply *peerpb.ConfigReply) []config.Edit {
	edits := make([]config.Edit, 0, len(reply.GetEdits()))
	for _, edit := range reply.GetEdits() {
		edits = append(edits, config.Edit{From: int(edit.GetFrom()), Removed: int(edit.GetRemoved()), Lines: edit.GetLines()})
	}
	return edits
}
