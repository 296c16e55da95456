package edge

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/internal/traffic"
	"github.com/pistachiopier/pistachiopier/platform"
)

// errAnswered ends the sends that are still running when a request is answered.
var errAnswered = errors.New("the request was answered without this send")

// request is one caller's request on its way through the node.
type request struct {
	node   *Node
	route  *policy.Route
	config *policy.Config
	id     string
	// remote is the address and port that the request came from; it is empty for another node's request.
	remote   string
	template replicaconn.Request
	services []string
	plan     scatter.Plan
	arrived  core.Time
	// sends are the exchanges by their id; ended brings their ends.
	sends []*exchange
	ended chan []*exchange
	// over is closed when nobody waits for the ends of sends any more.
	over chan struct{}
	// left is set when the caller went away.
	left atomic.Bool
	// standing is that of the request as a whole on arrival; answered is set once a replica has answered it.
	standing quarantine.Standing
	answered atomic.Bool
	// names returns the names of the request in the quarantine, computed on first use.
	names func() quarantine.Names
	trail []step
}

// exchange is one send and how it ended.
type exchange struct {
	send    scatter.Send
	ctx     context.Context
	cancel  context.CancelCauseFunc
	startAt core.Time
	// group is set when another node sends on this one's behalf.
	group *group
	// batch is set when the part came merged with others.
	batch    *batch
	response *replicaconn.Response
	err      error
	verdict  scatter.Verdict
	// broken is set when the replica ended the connection in place of an answer.
	broken bool
	// took is how long the replica took, without the way through another node.
	took time.Duration
	// pauseEnded is how long ago, by another node, a pause of the replica ended; 0 where it knows none.
	pauseEnded time.Duration
	over       bool
	// late is set once the replica was noted as late.
	late bool
}

// run carries out the machine's actions until it finishes or the caller leaves. The
// second result is false when the caller left.
func (q *request) run(ctx context.Context) (scatter.Result, bool) {
	machine := scatter.New(q.plan, q.node.beliefs.chooser(q.route))
	q.ended = make(chan []*exchange, len(q.services))
	q.over = make(chan struct{})
	defer close(q.over)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	result := q.perform(ctx, machine.Step(q.node.now(), scatter.Begin{}), timer)
	for result == nil {
		select {
		case ends := <-q.ended:
			result = q.takeEnds(ctx, machine, ends, timer)
		case <-timer.C:
			result = q.perform(ctx, machine.Step(q.node.now(), scatter.Tick{}), timer)
		case <-q.node.lastCall:
			result = q.perform(ctx, machine.Step(q.node.now(), scatter.GiveUp{}), timer)
		case <-ctx.Done():
			q.left.Store(true)
			q.withdraw(context.Cause(ctx))
			return scatter.Result{MayHaveRun: true}, false
		}
	}
	return *result, true
}

// takeEnds tells the machine of ends that came together. All are noted first: the
// machine may finish at the first of them.
func (q *request) takeEnds(ctx context.Context, machine *scatter.Machine, ends []*exchange, timer *time.Timer) *scatter.Result {
	for _, one := range ends {
		one.over = true
		q.noteEnd(one)
	}
	for _, one := range ends {
		result := q.perform(ctx, machine.Step(q.node.now(), scatter.SendEnded{Send: one.send.ID, Verdict: one.verdict, Broken: one.broken}), timer)
		if result != nil {
			return result
		}
	}
	return nil
}

func (q *request) withdraw(cause error) {
	for _, one := range q.sends {
		one.cancel(cause)
	}
}

// perform carries out actions and returns the result once there is one.
func (q *request) perform(ctx context.Context, actions []scatter.Action, timer *time.Timer) *scatter.Result {
	var started []*exchange
	for _, action := range actions {
		switch a := action.(type) {
		case scatter.Send:
			started = append(started, q.prepare(ctx, a))
		case scatter.CancelSend:
			q.sends[a.ID].cancel(errAnswered)
		case scatter.SendOverdue:
			q.late(a.Send)
		case scatter.Withheld:
			q.withheld(a)
		case scatter.ServiceTooLate:
			q.short(a)
		case scatter.Wake:
			timer.Reset(max(a.At-q.node.now(), 0))
		case scatter.Finish:
			return &a.Result
		}
	}
	q.dispatch(started)
	return nil
}

// late marks what keeps the request waiting: the replica, and the node that sends to
// it on this one's behalf when that has not been heard at all.
func (q *request) late(send int) {
	one := q.sends[send]
	q.node.beliefs.note(func(book *replica.Table, now core.Time) { book.Overdue(one.send.Replica.Incarnation(), now) })
	if !one.late {
		one.late = true
		q.note(step{Event: "replica_late", Replica: one.send.Replica.ID, Service: one.send.Replica.Service})
	}
	if one.group != nil && !one.group.heard.Load() {
		q.node.helpers.avoid(one.group.helper.Node, q.node.now())
	}
}

// short notes a service that an early rejection rests on.
func (q *request) short(a scatter.ServiceTooLate) {
	s := step{Event: "part_short", Service: q.services[a.Service], Replica: a.Replica.ID, ExpectMs: a.ExpectedLatency.Milliseconds(), Cause: "it is expected too late"}
	if a.Unreachable {
		s.Cause = "no connection a moment ago"
	}
	q.note(s)
}

// withheld notes once a service and reason that a further send is not made.
func (q *request) withheld(a scatter.Withheld) {
	for _, s := range q.trail {
		if s.Event == "send_withheld" && s.Service == q.services[a.Service] && s.Why == string(a.Why) {
			return
		}
	}
	q.node.metrics.withheld(a.Why)
	q.note(step{Event: "send_withheld", Service: q.services[a.Service], Cause: string(a.Cause), Why: string(a.Why)})
}

// prepare makes the exchange of a send. It may outlive the request for a moment when
// its answer is no longer wanted: its end is still to be learnt from, and its
// connection to be kept.
func (q *request) prepare(ctx context.Context, a scatter.Send) *exchange {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	one := &exchange{send: a, ctx: ctx, cancel: cancel, startAt: q.node.now()}
	q.sends = append(q.sends, one)
	if a.Cause != scatter.First {
		q.node.metrics.extra(a.Cause)
	}
	if a.Cause != scatter.First || q.route.Gather == nil {
		q.note(step{Event: "sent", Cause: string(a.Cause), Replica: a.Replica.ID, Service: a.Replica.Service})
	}
	return one
}

// dispatch sends the exchanges: those to another data centre together, through a node
// there, the others directly.
func (q *request) dispatch(started []*exchange) {
	q.node.beliefs.note(func(book *replica.Table, now core.Time) {
		for _, one := range started {
			book.Sent(one.send.Replica.Incarnation(), now)
		}
	})
	for _, one := range q.delegate(started) {
		go q.direct(one)
	}
}

// direct sends an exchange from this node.
func (q *request) direct(one *exchange) {
	defer one.cancel(nil)
	q.exchange(one.ctx, one)
	q.tellEnds([]*exchange{one})
}

// tellEnds hands ends to the request unless that is over.
func (q *request) tellEnds(ends []*exchange) {
	select {
	case q.ended <- ends:
	case <-q.over:
		for _, one := range ends {
			one.closeRest()
		}
	}
}

// closeRests gives up what was not read of long answers that came to this request. One that
// comes just as the request ends is given up by its own time limit.
func (q *request) closeRests() {
	for _, one := range q.sends {
		if one.over {
			one.closeRest()
		}
	}
}

func (one *exchange) closeRest() {
	if one.response != nil && one.response.Rest != nil {
		_ = one.response.Rest.Close()
	}
}

func (q *request) exchange(ctx context.Context, one *exchange) {
	left := q.plan.Deadline - q.node.now()
	ctx, cancel := context.WithTimeout(ctx, max(left, time.Millisecond))
	defer cancel()
	wire := q.template
	wire.Replica = one.send.Replica.Incarnation()
	wire.Address = one.send.Replica.Address
	wire.ByteCounter = q.node.traffic.Counter(traffic.Flow{Purpose: traffic.Replicas, DataCentre: one.send.Replica.DataCentre})
	wire.UserData = inWork{request: q, send: one}
	wire.OnLate = func(response *replicaconn.Response) { q.lateAnswer(one, response) }
	wire.MaxConnections = q.node.connectionShare(q.config, one.send.Replica)
	one.response, one.err = q.node.replicas.Do(ctx, &wire)
	one.verdict = q.judge(one)
	one.broken = brokenByReplica(one.err)
	q.noteTrial(one)
	one.took = q.node.now() - one.startAt
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
	case platform.Wire{}.NotRun(one.response.Status, one.response.Header):
		return scatter.Refused
	case platform.Stamp(one.response.Header) == "":
		// Without the replica's signature it is not the replica's answer.
		return scatter.Failed
	case promises[one.response.Status]:
		// The status promises "not run", which the replica has not proved.
		return scatter.Failed
	case one.response.Status >= 500 || q.route.Gather != nil && !success(one.response.Status):
		return scatter.Failed
	default:
		return scatter.Succeeded
	}
}

// brokenByReplica reports whether the replica ended the connection in place of an answer.
func brokenByReplica(err error) bool {
	var failed *replicaconn.Error
	return errors.As(err, &failed) && failed.Broken
}

func success(status int) bool { return status >= 200 && status < 300 }

// learn takes the end of an exchange into the node's beliefs. A send that was given
// up teaches nothing more than the lateness noted before.
func (q *request) learn(one *exchange) {
	life := one.send.Replica.Incarnation()
	b := q.node.beliefs
	b.note(func(book *replica.Table, _ core.Time) { book.Ended(life) })
	if errors.Is(one.err, errAnswered) || errors.Is(one.err, context.Canceled) {
		return
	}
	q.node.metrics.send(one.send.Replica.Service, one.verdict, one.took)
	switch one.verdict {
	case scatter.Succeeded:
		q.noteAnswered(one.send.Replica.Service)
		b.answered(q.route, life, one.took)
	case scatter.Failed:
		b.note(func(book *replica.Table, now core.Time) { book.Failed(life, now) })
	case scatter.Refused:
		b.note(func(book *replica.Table, now core.Time) { book.Refused(life, now) })
		if one.response != nil && one.response.Status == http.StatusMisdirectedRequest {
			b.note(func(book *replica.Table, _ core.Time) { book.Misdirected(life) })
			q.node.log.Decision("replica_misdirected", decisionlog.Fields{"replica": life.ID, "service": one.send.Replica.Service, "address": one.send.Replica.Address, "request": q.id})
		}
	case scatter.Unreached:
		b.note(func(book *replica.Table, now core.Time) { book.Unreached(life, now) })
	}
}

// learnDelegated takes the end of a delegated send into the beliefs. After the
// request's end the answer was waited for no more.
func (q *request) learnDelegated(one *exchange) {
	if one.pauseEnded > 0 {
		q.node.beliefs.note(func(book *replica.Table, now core.Time) {
			book.ReceivePause(one.send.Replica.Incarnation(), one.pauseEnded, now)
		})
	}
	select {
	case <-q.over:
		q.node.beliefs.note(func(book *replica.Table, _ core.Time) { book.Ended(one.send.Replica.Incarnation()) })
		if one.verdict == scatter.Succeeded {
			q.node.beliefs.answeredLate(q.route, one.send.Replica.Incarnation(), one.took)
		}
	default:
		q.learn(one)
	}
}

// lateAnswer learns from an answer that came after another replica's. Without it a
// replica that paused for a moment would count as overdue long after its pause.
func (q *request) lateAnswer(one *exchange, response *replicaconn.Response) {
	if platform.Stamp(response.Header) == "" || response.Status >= 500 {
		return
	}
	q.noteAnswered(one.send.Replica.Service)
	q.node.beliefs.answeredLate(q.route, one.send.Replica.Incarnation(), q.node.now()-one.startAt)
}

// noteEnd keeps the ends that are no plain success for the request's story.
func (q *request) noteEnd(one *exchange) {
	if one.verdict == scatter.Succeeded || errors.Is(one.err, errAnswered) {
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
