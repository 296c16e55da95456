package edge

import (
	"context"
	"errors"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// errAnswered ends the sends that are still running when a request is answered.
var errAnswered = errors.New("the request was answered without this send")

// request is one caller's request on its way through the node.
type request struct {
	node     *Node
	route    *policy.Route
	config   *policy.Config
	id       string
	template replicaconn.Request
	services []string
	plan     scatter.Plan
	arrived  core.Time
	// sends are the exchanges by their id; ended brings their ends.
	sends []*exchange
	ended chan *exchange
	// over is closed when nobody waits for the ends of sends any more.
	over  chan struct{}
	trail []step
}

// exchange is one send and how it ended.
type exchange struct {
	send     scatter.Send
	cancel   context.CancelCauseFunc
	startAt  core.Time
	response *replicaconn.Response
	err      error
	verdict  scatter.Verdict
	over     bool
}

// run carries out the machine's actions until it finishes or the caller leaves. The
// second result is false when the caller left.
func (q *request) run(ctx context.Context) (scatter.Result, bool) {
	machine := scatter.New(q.plan, q.node.beliefs)
	q.ended = make(chan *exchange, len(q.services))
	q.over = make(chan struct{})
	defer close(q.over)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	result := q.perform(ctx, machine.Step(q.node.now(), scatter.Begin{}), timer)
	for result == nil {
		var event scatter.Event
		select {
		case one := <-q.ended:
			one.over = true
			q.noteEnd(one)
			event = scatter.Ended{Send: one.send.ID, Verdict: one.verdict}
		case <-timer.C:
			event = scatter.Tick{}
		case <-ctx.Done():
			q.withdraw(context.Cause(ctx))
			return scatter.Result{MayHaveRun: true}, false
		}
		result = q.perform(ctx, machine.Step(q.node.now(), event), timer)
	}
	return *result, true
}

func (q *request) withdraw(cause error) {
	for _, one := range q.sends {
		one.cancel(cause)
	}
}

// perform carries out actions and returns the result once there is one.
func (q *request) perform(ctx context.Context, actions []scatter.Action, timer *time.Timer) *scatter.Result {
	for _, action := range actions {
		switch a := action.(type) {
		case scatter.Send:
			q.send(ctx, a)
		case scatter.Withdraw:
			q.sends[a.ID].cancel(errAnswered)
		case scatter.Late:
			q.node.beliefs.note(func(book *replica.Book, now core.Time) { book.Overdue(a.ReplicaID, now) })
			q.note(step{Event: "replica_late", Replica: a.ReplicaID})
		case scatter.Wake:
			timer.Reset(max(a.At-q.node.now(), 0))
		case scatter.Finish:
			return &a.Result
		}
	}
	return nil
}

// send starts an exchange on a goroutine of its own. It may outlive the request for
// a moment when its answer is no longer wanted.
func (q *request) send(ctx context.Context, a scatter.Send) {
	// The exchange outlives the caller's context by choice: its end is still to
	// be learnt from, and its connection to be kept.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	one := &exchange{send: a, cancel: cancel, startAt: q.node.now()}
	q.sends = append(q.sends, one)
	q.node.beliefs.sent(a.Replica.ID)
	if a.Cause != scatter.First {
		q.node.metrics.extra(a.Cause)
		q.note(step{Event: "sent_again", Cause: string(a.Cause), Replica: a.Replica.ID, Service: a.Replica.Service})
	}
	go func() {
		defer cancel(nil)
		q.exchange(ctx, one)
		select {
		case q.ended <- one:
		case <-q.over:
		}
	}()
}

func (q *request) exchange(ctx context.Context, one *exchange) {
	left := q.plan.Deadline - q.node.now()
	ctx, cancel := context.WithTimeout(ctx, max(left, time.Millisecond))
	defer cancel()
	wire := q.template
	wire.Replica = one.send.Replica.ID
	wire.Address = one.send.Replica.Address
	wire.Late = func(response *replicaconn.Response) { q.lateAnswer(one, response) }
	wire.MaxConnections = q.node.connectionShare(q.config, one.send.Replica.Service)
	one.response, one.err = q.node.replicas.Do(ctx, &wire)
	one.verdict = q.judge(one)
	q.learn(one)
}

// judge tells what an exchange's end is worth.
func (q *request) judge(one *exchange) scatter.Verdict {
	var failed *replicaconn.Error
	switch {
	case errors.As(one.err, &failed) && !failed.Sent:
		return scatter.Unreached
	case one.err != nil:
		return scatter.Failed
	case platform.NotRun(one.response.Status, one.response.Header):
		return scatter.Refused
	case platform.Stamp(one.response.Header) == "":
		// Without the replica's signature it is not the replica's answer.
		return scatter.Failed
	case one.response.Status >= 500 || q.route.Gather != nil && !success(one.response.Status):
		return scatter.Failed
	default:
		return scatter.Whole
	}
}

func success(status int) bool { return status >= 200 && status < 300 }

// learn takes the end of an exchange into the node's beliefs. A send that was given
// up teaches nothing more than the lateness noted before.
func (q *request) learn(one *exchange) {
	id := one.send.Replica.ID
	took := q.node.now() - one.startAt
	b := q.node.beliefs
	b.note(func(book *replica.Book, _ core.Time) { book.Ended(id) })
	if errors.Is(one.err, errAnswered) || errors.Is(one.err, context.Canceled) {
		return
	}
	switch one.verdict {
	case scatter.Whole:
		b.answered(q.route, id, took)
	case scatter.Failed:
		b.note(func(book *replica.Book, now core.Time) { book.Failed(id, now) })
	case scatter.Refused:
		b.note(func(book *replica.Book, now core.Time) { book.Refused(id, now) })
	case scatter.Unreached:
		b.note(func(book *replica.Book, now core.Time) { book.Unreached(id, now) })
	}
}

// lateAnswer learns from an answer that came after another replica's. Without it a
// replica that paused for a moment would count as overdue long after its pause.
func (q *request) lateAnswer(one *exchange, response *replicaconn.Response) {
	if platform.Stamp(response.Header) == "" || response.Status >= 500 {
		return
	}
	q.node.beliefs.answeredLate(q.route, one.send.Replica.ID, q.node.now()-one.startAt)
}

// noteEnd keeps the ends that are no plain success for the request's story.
func (q *request) noteEnd(one *exchange) {
	if one.verdict == scatter.Whole || errors.Is(one.err, errAnswered) {
		return
	}
	s := step{Event: "send_failed", Replica: one.send.Replica.ID, Service: one.send.Replica.Service, TookMs: (q.node.now() - one.startAt).Milliseconds()}
	if one.err != nil {
		s.Cause = one.err.Error()
	} else {
		s.Status = one.response.Status
	}
	q.note(s)
}

// step is one decision on a request, kept until its end.
type step struct {
	AtMs    int64
	Event   string
	Replica string
	Service string
	Cause   string
	Status  int
	TookMs  int64
}

// maxTrail bounds the steps kept of one request.
const maxTrail = 64

func (q *request) note(s step) {
	if len(q.trail) >= maxTrail {
		return
	}
	s.AtMs = (q.node.now() - q.arrived).Milliseconds()
	q.trail = append(q.trail, s)
}

// tell writes the request's story, when it ended other than well, or counts it.
func (q *request) tell(outcome string, status int, result scatter.Result) {
	took := q.node.now() - q.arrived
	q.node.metrics.request(q.route, outcome, took)
	late := q.route.Aim > 0 && took > q.route.Aim
	if outcome == outcomeWhole && !late {
		q.node.log.Calm()
		return
	}
	for _, s := range q.trail {
		q.node.log.Decision(s.Event, decisionlog.Fields{"request": q.id, "at_ms": s.AtMs, "replica": s.Replica, "service": s.Service, "cause": s.Cause, "status": s.Status, "took_ms": s.TookMs})
	}
	fields := decisionlog.Fields{
		"request": q.id, "route": q.route.Name, "config_version": q.config.Version, "outcome": outcome, "status": status,
		"took_ms": took.Milliseconds(), "aim_ms": q.route.Aim.Milliseconds(), "sends": len(q.sends),
		"parts": result.Got, "of": len(q.services), "may_have_run": result.MayHaveRun, "budget_spent": result.BudgetSpent, "no_replica": result.NoReplica,
		"waits_ms": (q.plan.Deadline - q.arrived).Milliseconds(),
	}
	if age, known := q.node.follower.Age(); known {
		fields["beliefs_age_ms"] = age.Milliseconds()
	}
	q.node.log.Decision("request_ended", fields)
}
