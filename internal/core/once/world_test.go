package once

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	worldTimeout = 2 * time.Second
	homeNode     = core.NodeID("vm-1")
)

var worldSteps = []time.Duration{3 * time.Second, 3 * time.Minute, 10 * time.Minute}

// world is one key, its caller, entries, home, owner and upstream, with every
// message between them held back until a move delivers or loses it.
type world struct {
	now         core.Time
	key         Key
	request     Submitted
	home        *Ledger
	successor   *Ledger
	listed      bool
	restarts    int
	submissions map[WaiterID]*worldSubmission
	asks        []WaiterID
	sends       []Send
	replies     []SendEnded
	// sender tells the home's incarnation that a send or reply belongs to.
	sender   map[SendID]int
	nextAsk  WaiterID
	tries    int
	maxTries int
	advances int
	faults   int
	// runs counts the upstream's runs, which the system does not see.
	runs    int
	told    map[string]bool
	last    Reply
	settled bool
	broken  string
}

type worldSubmission struct {
	Submission
	// home is the incarnation that took the ask and has not answered; 0 none.
	home  int
	ended bool
}

func newWorld(maxTries int) *world {
	w := &world{listed: true, submissions: map[WaiterID]*worldSubmission{}, sender: map[SendID]int{}, told: map[string]bool{}, maxTries: maxTries}
	issuer := w.newHome()
	key, err := ParseKey(issuer.Prefix(0) + ".invoice-1")
	if err != nil {
		panic(err)
	}
	w.key = key
	w.request = Submitted{Key: key, Customer: "ham house", Service: "invoices", Payload: []byte("12")}
	w.successor = NewLedger(NewIssuer("vm-2", 7, []byte("other")), DefaultLimits())
	return w
}

func (w *world) newHome() *Issuer {
	issuer := NewIssuer(homeNode, uint64(w.restarts+1), []byte{byte(w.restarts)})
	w.home = NewLedger(issuer, DefaultLimits())
	return issuer
}

// move is one thing that may happen next. A rare one ends much of what may
// happen after it.
type move struct {
	name string
	do   func()
	rare bool
}

func (w *world) moves() []move {
	var list []move
	add := func(name string, do func()) { list = append(list, move{name: name, do: do}) }
	if w.tries < w.maxTries && !w.settled {
		add("caller tries", w.callerTries)
	}
	for i, ask := range w.asks {
		add(fmt.Sprint("deliver ask ", ask), func() { w.deliverAsk(i) })
		if !w.submissions[ask].ended {
			add(fmt.Sprint("ask not written ", ask), func() { w.loseAsk(i, core.NotRun) })
			add(fmt.Sprint("ask's link lost, ask late ", ask), func() { w.loseAsk(i, core.Unknown) })
		}
	}
	for i, send := range w.sends {
		for _, end := range []string{"done", "ran, reply lost", "did not run, reply lost", "overloaded", "not owner", "paused"} {
			add(fmt.Sprint("owner: ", end, " ", send.Send), func() { w.deliverSend(i, end) })
		}
		add(fmt.Sprint("send not written ", send.Send), func() { w.loseSend(i, core.NotRun) })
		add(fmt.Sprint("send's link lost, send late ", send.Send), func() { w.loseSend(i, core.Unknown) })
	}
	for i, reply := range w.replies {
		add(fmt.Sprint("deliver reply ", reply.Send), func() { w.deliverReply(i, reply) })
		add(fmt.Sprint("lose reply ", reply.Send), func() {
			w.faults++
			w.deliverReply(i, SendEnded{Key: reply.Key, Send: reply.Send, Reason: core.ReasonPeerLost})
		})
	}
	frequent := len(list)
	if w.advances < len(worldSteps) {
		add("time passes", w.advance)
	}
	if w.restarts < 1 && w.listed {
		add("home restarts", w.restart)
	}
	if w.listed {
		add("home stops as planned", w.stop)
	}
	for i := frequent; i < len(list); i++ {
		list[i].rare = true
	}
	return list
}

func (w *world) callerTries() {
	w.tries++
	w.nextAsk++
	submission := &worldSubmission{}
	w.submissions[w.nextAsk] = submission
	w.goTo(w.nextAsk, submission.FirstHolder(w.listed))
}

func (w *world) goTo(id WaiterID, holder Holder) {
	if holder == HolderHome {
		w.asks = append(w.asks, id)
		return
	}
	w.stepSuccessor(id)
}

func (w *world) stepSuccessor(id WaiterID) {
	asked := w.request
	asked.Waiter = id
	for _, action := range w.successor.Step(w.now, asked) {
		if answer, ok := action.(Answer); ok {
			w.next(id, HolderResult{Reply: &answer.Reply})
		}
	}
}

func (w *world) next(id WaiterID, answered HolderResult) {
	submission := w.submissions[id]
	if submission.ended {
		return
	}
	holder, _, reply := submission.NextHolder(answered)
	if holder != HolderNone {
		w.goTo(id, holder)
		return
	}
	submission.ended = true
	w.tell(reply)
}

// tell gives a reply to the caller. A caller whose only try is told "this try
// did not run" concludes that nothing ran, and tries no more with this key.
func (w *world) tell(reply Reply) {
	w.last = reply
	outcome := reply.Outcome
	if outcome == core.Unknown && reply.ThisAttempt == core.NotRun && w.tries == 1 {
		outcome = core.NotRun
		w.settled = true
	}
	w.told[outcome.String()] = true
	if outcome == core.Unknown && w.faults == 0 {
		w.broken = "unknown was told although nothing failed: " + reply.Message
	}
}

func (w *world) deliverAsk(i int) {
	id := w.asks[i]
	w.asks = append(append([]WaiterID(nil), w.asks[:i]...), w.asks[i+1:]...)
	if !w.listed {
		w.next(id, HolderResult{Outcome: core.NotRun})
		return
	}
	if !w.submissions[id].ended {
		w.submissions[id].home = w.restarts + 1
	}
	asked := w.request
	asked.Waiter = id
	asked.Deadline = w.now + worldTimeout
	w.stepHome(asked)
}

func (w *world) loseAsk(i int, outcome core.Outcome) {
	w.faults++
	id := w.asks[i]
	if outcome == core.NotRun {
		w.asks = append(append([]WaiterID(nil), w.asks[:i]...), w.asks[i+1:]...)
	}
	w.next(id, HolderResult{Outcome: outcome})
}

func (w *world) stepHome(e Event) {
	for _, action := range append([]Action(nil), w.home.Step(w.now, e)...) {
		switch a := action.(type) {
		case Send:
			w.sends = append(w.sends, a)
			w.sender[a.Send] = w.restarts + 1
		case Answer:
			w.submissions[a.Waiter].home = 0
			w.next(a.Waiter, HolderResult{Reply: &a.Reply})
		}
	}
}

// deliverSend runs the owner and the upstream. The owner's clock is its own:
// "paused" means that its time left has run out when it comes to send.
func (w *world) deliverSend(i int, end string) {
	send := w.takeSend(i)
	permit := NewPermit(worldTimeout)
	at := core.Time(0)
	if end == "paused" {
		at = worldTimeout
	}
	_, refusal := permit.Acquire(at, end != "not owner")
	if refusal != nil {
		w.replies = append(w.replies, SendEnded{Key: send.Key, Send: send.Send, Outcome: refusal.Outcome, Reason: refusal.Reason})
		return
	}
	result := SendEnded{Key: send.Key, Send: send.Send}
	switch end {
	case "done":
		w.runs++
		result.Outcome = core.Done
	case "ran, reply lost":
		w.runs++
		w.faults++
	case "did not run, reply lost":
		w.faults++
	case "overloaded":
		result.Outcome, result.Reason = core.NotRun, core.ReasonOverloaded
	}
	permit.ReleaseIfNotRun(result.Outcome)
	result.Outcome = permit.ReportableOutcome(result.Outcome)
	w.replies = append(w.replies, result)
}

func (w *world) takeSend(i int) Send {
	send := w.sends[i]
	w.sends = append(append([]Send(nil), w.sends[:i]...), w.sends[i+1:]...)
	return send
}

func (w *world) loseSend(i int, outcome core.Outcome) {
	w.faults++
	send := w.sends[i]
	reason := core.ReasonPeerLost
	if outcome == core.NotRun {
		w.takeSend(i)
		reason = core.ReasonPeerUnreached
	}
	w.toHome(SendEnded{Key: send.Key, Send: send.Send, Outcome: outcome, Reason: reason})
}

func (w *world) deliverReply(i int, ended SendEnded) {
	w.replies = append(append([]SendEnded(nil), w.replies[:i]...), w.replies[i+1:]...)
	w.toHome(ended)
}

// toHome gives a send's end to the incarnation that made it, if it lives.
func (w *world) toHome(ended SendEnded) {
	if !w.listed || w.sender[ended.Send] != w.restarts+1 {
		return
	}
	w.stepHome(ended)
	// A re-routed request waits for its pause.
	w.now += DefaultLimits().ReroutePause
	w.stepHome(Woken{})
}

func (w *world) advance() {
	w.faults++
	w.now += worldSteps[w.advances]
	w.advances++
	w.stepHome(Woken{})
}

func (w *world) restart() {
	w.faults++
	w.restarts++
	w.newHome()
	w.breakSubmissions()
}

// stop hands over at once, also when a run has not ended: the worst case of a
// planned stop, whose time was used up.
func (w *world) stop() {
	w.faults++
	w.stepHome(Stopping{})
	w.successor.Inherit(w.now, w.home.Records(w.now))
	w.listed = false
	w.breakSubmissions()
}

func (w *world) breakSubmissions() {
	for id := WaiterID(1); id <= w.nextAsk; id++ {
		if submission := w.submissions[id]; submission.home != 0 {
			submission.home = 0
			w.next(id, HolderResult{Outcome: core.Unknown})
		}
	}
}

// check returns what must never be seen, or "".
func (w *world) check() string {
	switch {
	case w.broken != "":
		return w.broken
	case w.runs > 1:
		return fmt.Sprint("the upstream ran the key ", w.runs, " times")
	case w.told["not_run"] && w.runs != 0:
		return "not run was told, and it ran"
	case w.told["done"] && w.runs != 1:
		return "done was told, and it did not run"
	case w.told["done"] && w.told["not_run"]:
		return "both done and not run were told"
	}
	return ""
}

// fingerprint is equal for states that have the same future.
func (w *world) fingerprint() string {
	var parts []string
	for id := WaiterID(1); id <= w.nextAsk; id++ {
		submission := w.submissions[id]
		parts = append(parts, fmt.Sprintf("%d:%d:%d:%t:%d:%t", id, submission.home, submission.homeAsks, submission.reached, submission.asked, submission.ended))
	}
	sort.Strings(parts)
	entry := "none"
	if known := w.home.entries[w.key.Text]; known != nil {
		entry = fmt.Sprint(known.state, known.send, known.reply.Outcome)
		if known.run != nil {
			entry += fmt.Sprint(*known.run)
		}
	}
	return strings.Join(parts, ",") + fmt.Sprint(w.now, w.asks, w.sends, w.replies, w.sender, w.listed, w.restarts, w.tries, w.advances, w.faults > 0, w.runs, w.told, w.settled, entry, w.successor.inherited.kept)
}
