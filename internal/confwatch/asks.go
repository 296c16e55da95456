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

// askWait bounds an ask that is answered at once.
const askWait = 2 * time.Second

// askKind says what a peer is asked for.
type askKind uint8

const (
	// askMark asks for the revision and digest in force.
	askMark askKind = iota
	// askFetch asks for a text now, as a difference when possible.
	askFetch
	// askWhole asks for a text now and whole.
	askWhole
	// askPoll asks to be answered when there is a newer text.
	askPoll
)

// ask is an open request to a peer.
type ask struct {
	id     uint64
	kind   askKind
	node   route.Node
	have   config.Mark
	at     core.Time
	ticket peer.Ticket
}

// ask sends a request. Its answer comes as an event.
func (w *Watcher) ask(kind askKind, node route.Node) { w.askFor(kind, node, 0) }

// askFor sends a request that the peer may hold for the wait.
func (w *Watcher) askFor(kind askKind, node route.Node, wait time.Duration) {
	w.lastAsk++
	one := &ask{id: w.lastAsk, kind: kind, node: node, have: w.machine.InForce(), at: w.Now()}
	request := &peerpb.ConfigRequest{MarkOnly: kind == askMark}
	if kind == askPoll {
		one.have = w.machine.PollAfter()
		request.WaitMs = uint64(wait.Milliseconds())
	}
	if kind != askWhole {
		request.HaveRevision, request.HaveDigest = one.have.Revision, one.have.Digest
	}
	if refusal, ok := w.machine.Refused(); ok {
		request.RefusedRevision = refusal.Mark.Revision
	}
	w.asks[one.id] = one
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: request}}
	id := one.id
	one.ticket = w.Peers.Ask(peer.Target{Node: node.ID, Address: node.PeerAddress}, envelope, func(reply *peerpb.Envelope, _ *peer.LinkError) {
		w.events.TryPut(answer{ask: id, reply: reply.GetConfigReply()})
	})
}

func (w *Watcher) asking(kind askKind, node core.NodeID) bool {
	for _, one := range w.asks {
		if one.kind == kind && one.node.ID == node {
			return true
		}
	}
	return false
}

func (w *Watcher) cancelAsk(kind askKind, node core.NodeID) {
	for id, one := range w.asks {
		if one.kind == kind && one.node.ID == node {
			delete(w.asks, id)
			one.ticket.Cancel()
		}
	}
}

// expireAsks gives up asks whose peer is silent. Polls are the follower's.
func (w *Watcher) expireAsks(now core.Time) {
	for id, one := range w.asks {
		if one.kind == askPoll || now-one.at < askWait {
			continue
		}
		delete(w.asks, id)
		one.ticket.Cancel()
		w.act(w.machine.PeerFailed(now, one.node.ID))
	}
}

// fetch asks a peer for its text.
func (w *Watcher) fetch(id core.NodeID) []config.Action {
	node, ok := w.Belief.View().Node(id)
	if !ok {
		return w.machine.PeerFailed(w.Now(), id)
	}
	w.ask(askFetch, node)
	return nil
}

// answer is a peer's reply; reply is nil when the peer was not reached or
// refused.
type answer struct {
	ask   uint64
	reply *peerpb.ConfigReply
}

func (a answer) apply(w *Watcher) {
	one := w.asks[a.ask]
	if one == nil {
		return
	}
	delete(w.asks, a.ask)
	now := w.Now()
	if one.kind == askPoll {
		w.polled(one, a.reply)
		return
	}
	if a.reply == nil {
		w.act(w.machine.PeerFailed(now, one.node.ID))
		return
	}
	w.take(one, a.reply)
}

// polled takes the end of a poll. One whose text cannot be used counts as
// failed, so that it is not repeated at once.
func (w *Watcher) polled(one *ask, reply *peerpb.ConfigReply) {
	now := w.Now()
	ok := reply != nil
	if ok {
		if !w.follower.ReadsService() {
			w.act(w.machine.Confirm(now))
		}
		ok = w.take(one, reply)
	}
	w.follow(w.follower.PollEnded(now, one.node.ID, ok))
}

func markOf(reply *peerpb.ConfigReply) config.Mark {
	return config.Mark{Revision: reply.GetRevision(), Digest: reply.GetDigest()}
}

// take makes use of a reply: it offers its text to the machine, or only its
// mark when the text is none for this node, such as a difference from a text
// that is no longer in force here. It reports false when a text does not match
// its digest; the whole text is fetched in place of such a difference.
func (w *Watcher) take(one *ask, reply *peerpb.ConfigReply) bool {
	mark := markOf(reply)
	whole := len(reply.GetText()) > 0
	w.hearRefusal(reply)
	if reply.GetUnchanged() || mark == w.machine.InForce() || !whole && one.have != w.machine.InForce() {
		w.act(w.machine.PeerReported(w.Now(), one.node.ID, mark))
		return true
	}
	text, err := w.textOf(reply)
	if err != nil || xxhash.Sum64(text) != mark.Digest {
		w.misfit(one, mark, whole)
		return false
	}
	counter := "config_differences_total"
	if whole {
		counter = "config_whole_texts_total"
	}
	observe.Counter(w.Metrics, counter).Inc(1)
	w.act(w.machine.Offer(w.Now(), judge(mark, text, config.FromPeer)))
	return true
}

func (w *Watcher) hearRefusal(reply *peerpb.ConfigReply) {
	if reply.GetRefusedRevision() == 0 {
		return
	}
	mark := config.Mark{Revision: reply.GetRefusedRevision(), Digest: reply.GetRefusedDigest()}
	w.act(w.machine.PeerRefused(w.Now(), config.Refusal{Mark: mark, Reason: reply.GetRefusedReason()}))
}

func (w *Watcher) misfit(one *ask, mark config.Mark, whole bool) {
	w.Log.WithFields(logrus.Fields{"event": "config_text_misfit", "peer": one.node.ID, "revision": mark.Revision}).Warn("a peer's text does not match its digest")
	observe.Counter(w.Metrics, "config_misfits_total").Inc(1)
	if !whole {
		w.ask(askWhole, one.node)
	}
}

// textOf returns the text that a reply stands for.
func (w *Watcher) textOf(reply *peerpb.ConfigReply) ([]byte, error) {
	if len(reply.GetText()) > 0 {
		return reply.GetText(), nil
	}
	inForce := w.Belief.Config()
	if inForce == nil {
		return nil, nil
	}
	lines, err := config.Apply(config.SplitLines(string(inForce.Text)), editsOf(reply))
	return []byte(strings.Join(lines, "")), err
}

func editsOf(reply *peerpb.ConfigReply) []config.Edit {
	edits := make([]config.Edit, 0, len(reply.GetEdits()))
	for _, edit := range reply.GetEdits() {
		edits = append(edits, config.Edit{From: int(edit.GetFrom()), Removed: int(edit.GetRemoved()), Lines: edit.GetLines()})
	}
	return edits
}
