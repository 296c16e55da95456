package once

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	submitTimeout = 2 * time.Second
	homeNode      = core.NodeID("vm-1")
)

var clockAdvances = []time.Duration{3 * time.Second, 3 * time.Minute, 10 * time.Minute}

// simulation holds one key with its caller, entries, home, owner and upstream. Each
// message between them is held until a move delivers or loses it.
type simulation struct {
	now             core.Time
	key             Key
	request         Submitted
	home            *Ledger
	successor       *Ledger
	homeListed      bool
	restarts        int
	submissions     map[WaiterID]*simulatedSubmission
	pendingRequests []WaiterID
	sends           []Send
	replies         []SendEnded
	// senderIncarnation maps a send to the incarnation of the home that made it.
	senderIncarnation map[SendID]int
	nextWaiter        WaiterID
	attempts          int
	maxAttempts       int
	advances          int
	faults            int
	// runs counts the runs of the upstream. The code under test cannot see it.
	runs          int
	reported      map[string]bool
	last          Reply
	callerSettled bool
	violation     string
}

type simulatedSubmission struct {
	Submission
	// home is the incarnation that received the request and has not replied; 0 if there
	// is none.
	home  int
	ended bool
}

func newSimulation(maxAttempts int) *simulation {
	sim := &simulation{homeListed: true, submissions: map[WaiterID]*simulatedSubmission{}, senderIncarnation: map[SendID]int{}, reported: map[string]bool{}, maxAttempts: maxAttempts}
	issuer := sim.newHome()
	key, err := ParseKey(issuer.Prefix(0) + ".invoice-1")
	if err != nil {
		panic(err)
	}
	sim.key = key
	sim.request = Submitted{Key: key, Customer: "ham house", Service: "invoices", Payload: []byte("12")}
	sim.successor = NewLedger(NewIssuer("vm-2", 7, []byte("other")), DefaultLimits())
	return sim
}

func (sim *simulation) newHome() *Issuer {
	issuer := NewIssuer(homeNode, uint64(sim.restarts+1), []byte{byte(sim.restarts)})
	sim.home = NewLedger(issuer, DefaultLimits())
	return issuer
}

// move is one possible next event. A rare move prevents many of the others.
type move struct {
	name string
	do   func()
	rare bool
}

func (sim *simulation) moves() []move {
	var list []move
	add := func(name string, do func()) { list = append(list, move{name: name, do: do}) }
	if sim.attempts < sim.maxAttempts && !sim.callerSettled {
		add("caller submits", sim.callerSubmits)
	}
	for i, waiter := range sim.pendingRequests {
		add(fmt.Sprint("deliver request ", waiter), func() { sim.deliverRequest(i) })
		if !sim.submissions[waiter].ended {
			add(fmt.Sprint("request not written ", waiter), func() { sim.loseRequest(i, core.NotRun) })
			add(fmt.Sprint("link lost, request late ", waiter), func() { sim.loseRequest(i, core.Unknown) })
		}
	}
	for i, send := range sim.sends {
		for _, end := range []string{"done", "ran, reply lost", "did not run, reply lost", "overloaded", "not owner", "paused"} {
			add(fmt.Sprint("owner: ", end, " ", send.Send), func() { sim.deliverSend(i, end) })
		}
		add(fmt.Sprint("send not written ", send.Send), func() { sim.loseSend(i, core.NotRun) })
		add(fmt.Sprint("link lost, send late ", send.Send), func() { sim.loseSend(i, core.Unknown) })
	}
	for i, reply := range sim.replies {
		add(fmt.Sprint("deliver reply ", reply.Send), func() { sim.deliverReply(i, reply) })
		add(fmt.Sprint("lose reply ", reply.Send), func() {
			sim.faults++
			sim.deliverReply(i, SendEnded{Key: reply.Key, Send: reply.Send, Reason: core.ReasonPeerLost})
		})
	}
	frequent := len(list)
	if sim.advances < len(clockAdvances) {
		add("time passes", sim.advanceClock)
	}
	if sim.restarts < 1 && sim.homeListed {
		add("home restarts", sim.restartHome)
	}
	if sim.homeListed {
		add("home stops as planned", sim.stopHome)
	}
	for i := frequent; i < len(list); i++ {
		list[i].rare = true
	}
	return list
}

func (sim *simulation) callerSubmits() {
	sim.attempts++
	sim.nextWaiter++
	submission := &simulatedSubmission{}
	sim.submissions[sim.nextWaiter] = submission
	sim.submitTo(sim.nextWaiter, submission.FirstHolder(sim.homeListed))
}

func (sim *simulation) submitTo(id WaiterID, holder Holder) {
	if holder == HolderHome {
		sim.pendingRequests = append(sim.pendingRequests, id)
		return
	}
	sim.stepSuccessor(id)
}

func (sim *simulation) stepSuccessor(id WaiterID) {
	submitted := sim.request
	submitted.Waiter = id
	for _, action := range sim.successor.Step(sim.now, submitted) {
		if answer, ok := action.(Answer); ok {
			sim.holderAnswered(id, HolderResult{Reply: &answer.Reply})
		}
	}
}

func (sim *simulation) holderAnswered(id WaiterID, result HolderResult) {
	submission := sim.submissions[id]
	if submission.ended {
		return
	}
	holder, _, reply := submission.NextHolder(result)
	if holder != HolderNone {
		sim.submitTo(id, holder)
		return
	}
	submission.ended = true
	sim.replyToCaller(reply)
}

// replyToCaller delivers a reply to the caller. A caller whose only attempt is reported
// as not run concludes that nothing ran, and makes no further attempt with this key.
func (sim *simulation) replyToCaller(reply Reply) {
	sim.last = reply
	outcome := reply.Outcome
	if outcome == core.Unknown && reply.ThisAttempt == core.NotRun && sim.attempts == 1 {
		outcome = core.NotRun
		sim.callerSettled = true
	}
	sim.reported[outcome.String()] = true
	if outcome == core.Unknown && sim.faults == 0 {
		sim.violation = "unknown was reported although nothing failed: " + reply.Message
	}
}

func (sim *simulation) deliverRequest(i int) {
	id := sim.pendingRequests[i]
	sim.pendingRequests = append(append([]WaiterID(nil), sim.pendingRequests[:i]...), sim.pendingRequests[i+1:]...)
	if !sim.homeListed {
		sim.holderAnswered(id, HolderResult{Outcome: core.NotRun})
		return
	}
	if !sim.submissions[id].ended {
		sim.submissions[id].home = sim.restarts + 1
	}
	submitted := sim.request
	submitted.Waiter = id
	submitted.Deadline = sim.now + submitTimeout
	sim.stepHome(submitted)
}

func (sim *simulation) loseRequest(i int, outcome core.Outcome) {
	sim.faults++
	id := sim.pendingRequests[i]
	if outcome == core.NotRun {
		sim.pendingRequests = append(append([]WaiterID(nil), sim.pendingRequests[:i]...), sim.pendingRequests[i+1:]...)
	}
	sim.holderAnswered(id, HolderResult{Outcome: outcome})
}

func (sim *simulation) stepHome(e Event) {
	for _, action := range append([]Action(nil), sim.home.Step(sim.now, e)...) {
		switch a := action.(type) {
		case Send:
			sim.sends = append(sim.sends, a)
			sim.senderIncarnation[a.Send] = sim.restarts + 1
		case Answer:
			sim.submissions[a.Waiter].home = 0
			sim.holderAnswered(a.Waiter, HolderResult{Reply: &a.Reply})
		}
	}
}

// deliverSend simulates the owner and the upstream. The owner has its own clock:
// "paused" means that the deadline has passed when it tries to send.
func (sim *simulation) deliverSend(i int, end string) {
	send := sim.takeSend(i)
	permit := NewPermit(submitTimeout)
	at := core.Time(0)
	if end == "paused" {
		at = submitTimeout
	}
	_, refusal := permit.Acquire(at, end != "not owner")
	if refusal != nil {
		sim.replies = append(sim.replies, SendEnded{Key: send.Key, Send: send.Send, Outcome: refusal.Outcome, Reason: refusal.Reason})
		return
	}
	result := SendEnded{Key: send.Key, Send: send.Send}
	switch end {
	case "done":
		sim.runs++
		result.Outcome = core.Done
	case "ran, reply lost":
		sim.runs++
		sim.faults++
	case "did not run, reply lost":
		sim.faults++
	case "overloaded":
		result.Outcome, result.Reason = core.NotRun, core.ReasonOverloaded
	}
	permit.ReleaseIfNotRun(result.Outcome)
	result.Outcome = permit.ReportableOutcome(result.Outcome)
	sim.replies = append(sim.replies, result)
}

func (sim *simulation) takeSend(i int) Send {
	send := sim.sends[i]
	sim.sends = append(append([]Send(nil), sim.sends[:i]...), sim.sends[i+1:]...)
	return send
}

func (sim *simulation) loseSend(i int, outcome core.Outcome) {
	sim.faults++
	send := sim.sends[i]
	reason := core.ReasonPeerLost
	if outcome == core.NotRun {
		sim.takeSend(i)
		reason = core.ReasonPeerUnreached
	}
	sim.deliverToHome(SendEnded{Key: send.Key, Send: send.Send, Outcome: outcome, Reason: reason})
}

func (sim *simulation) deliverReply(i int, ended SendEnded) {
	sim.replies = append(append([]SendEnded(nil), sim.replies[:i]...), sim.replies[i+1:]...)
	sim.deliverToHome(ended)
}

// deliverToHome delivers the end of a send to the incarnation that made it, if that
// still runs.
func (sim *simulation) deliverToHome(ended SendEnded) {
	if !sim.homeListed || sim.senderIncarnation[ended.Send] != sim.restarts+1 {
		return
	}
	sim.stepHome(ended)
	// A rerouted request is sent after ReroutePause.
	sim.now += DefaultLimits().ReroutePause
	sim.stepHome(Woken{})
}

func (sim *simulation) advanceClock() {
	sim.faults++
	sim.now += clockAdvances[sim.advances]
	sim.advances++
	sim.stepHome(Woken{})
}

func (sim *simulation) restartHome() {
	sim.faults++
	sim.restarts++
	sim.newHome()
	sim.breakHomeLinks()
}

// stopHome hands over at once, even while a request runs. This is the worst case of a
// planned stop: its time limit has passed.
func (sim *simulation) stopHome() {
	sim.faults++
	sim.stepHome(Stopping{})
	sim.successor.Inherit(sim.now, sim.home.Records(sim.now))
	sim.homeListed = false
	sim.breakHomeLinks()
}

func (sim *simulation) breakHomeLinks() {
	for id := WaiterID(1); id <= sim.nextWaiter; id++ {
		if submission := sim.submissions[id]; submission.home != 0 {
			submission.home = 0
			sim.holderAnswered(id, HolderResult{Outcome: core.Unknown})
		}
	}
}

// check returns the violated invariant, or "".
func (sim *simulation) check() string {
	switch {
	case sim.violation != "":
		return sim.violation
	case sim.runs > 1:
		return fmt.Sprint("the upstream ran the key ", sim.runs, " times")
	case sim.reported["not_run"] && sim.runs != 0:
		return "not run was reported, but the request ran"
	case sim.reported["done"] && sim.runs != 1:
		return "done was reported, but the request did not run"
	case sim.reported["done"] && sim.reported["not_run"]:
		return "both done and not run were reported"
	}
	return ""
}

// fingerprint is equal for states with the same future.
func (sim *simulation) fingerprint() string {
	var parts []string
	for id := WaiterID(1); id <= sim.nextWaiter; id++ {
		submission := sim.submissions[id]
		parts = append(parts, fmt.Sprintf("%d:%d:%d:%t:%d:%t", id, submission.home, submission.homeAttempts, submission.mayHaveReachedHome, submission.lastHolder, submission.ended))
	}
	sort.Strings(parts)
	entry := "none"
	if known := sim.home.entries[sim.key.Text]; known != nil {
		entry = fmt.Sprint(known.state, known.send, known.reply.Outcome)
		if known.run != nil {
			entry += fmt.Sprint(*known.run)
		}
	}
	return strings.Join(parts, ",") + fmt.Sprint(sim.now, sim.pendingRequests, sim.sends, sim.replies, sim.senderIncarnation, sim.homeListed, sim.restarts, sim.attempts, sim.advances, sim.faults > 0, sim.runs, sim.reported, sim.callerSettled, entry, sim.successor.inherited.outcomes)
}
