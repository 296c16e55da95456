package edge

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/internal/traffic"
)

// errAnswered cancels the sends in flight when a request has been answered.
var errAnswered = errors.New("the request was answered without this send")

// request is a caller's request while the node processes it.
type request struct {
	node   *Node
	route  *policy.Route
	config *policy.Config
	id     string
	// remote is the address and port that the request came from; empty for another node's request.
	remote   string
	template replicaconn.Request
	services []string
	plan     scatter.Plan
	arrived  core.Time
	// sends are the exchanges by their id, without those that had no place and were followed by another; ended receives those that have ended.
	sends []*exchange
	ended chan []*exchange
	// done is closed once nothing receives from ended any more.
	done chan struct{}
	// callerLeft is set if the caller disconnected.
	callerLeft atomic.Bool
	// held is what the request holds of the node's memory, stream its caller's connection; both are nil for another
	// node's request.
	held   *heldRequest
	stream *callerStream
	// standing is the standing of the whole request on arrival, knownEnded the number of replicas that were then known
	// to have ended under it; answered is set once a replica has answered it.
	standing   quarantine.Standing
	knownEnded int
	answered   atomic.Bool
	// claim is what the request asks for places with. Waited is as of its arrival.
	claim placement.Claim
	// quarantineNames returns the names of the request in the quarantine, computed on first use.
	quarantineNames func() quarantine.Names
	steps           []step
}

// exchange is a send and its result.
type exchange struct {
	send    scatter.Send
	ctx     context.Context
	cancel  context.CancelCauseFunc
	startAt core.Time
	// group is set if a helper makes the send.
	group *group
	// batch is set if the part was merged with others.
	batch    *batch
	response *replicaconn.Response
	err      error
	verdict  scatter.Verdict
	// broken is set if the replica closed the connection instead of answering.
	broken bool
	// permit decides whether the request is sent by this node.
	permit replicaconn.Permit
	// place is the send's place at the replica, waited the time spent waiting for it.
	place  heldPlace
	waited time.Duration
	// latency is that of the replica, without the transit through a helper and the wait for a place: a wait would be learned
	// as slowness of the replica, and counted again with the requests in flight there.
	latency time.Duration
	// pauseEnded is how long ago a pause of the replica ended, as reported by a helper; 0 means none is
	// known.
	pauseEnded time.Duration
	handled    bool
	// overdueNoted is set once a step was added for an overdue replica.
	overdueNoted bool
}

// run carries out the machine's actions until it finishes or the caller disconnects. In the latter case it
// returns false.
func (q *request) run(ctx context.Context) (scatter.Result, bool) {
	machine := scatter.New(q.plan, q.node.state.chooser(q.route))
	q.ended = make(chan []*exchange, len(q.services))
	q.done = make(chan struct{})
	defer close(q.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	result := q.perform(ctx, machine.Step(q.node.now(), scatter.Begin{}), timer)
	for result == nil {
		select {
		case ends := <-q.ended:
			result = q.handleEnds(ctx, machine, ends, timer)
		case <-timer.C:
			result = q.perform(ctx, machine.Step(q.node.now(), scatter.Tick{}), timer)
		case <-q.node.stopExpiring:
			result = q.perform(ctx, machine.Step(q.node.now(), scatter.GiveUp{}), timer)
		case <-ctx.Done():
			q.callerLeft.Store(true)
			q.cancelSends(context.Cause(ctx))
			return scatter.Result{MayHaveRun: true}, false
		}
	}
	return *result, true
}

// handleEnds passes ends that arrived together to the machine. All are marked as handled first, because the
// machine may finish at the first of them.
func (q *request) handleEnds(ctx context.Context, machine *scatter.Machine, ends []*exchange, timer *time.Timer) *scatter.Result {
	for _, exchange := range ends {
		exchange.handled = true
		q.addFailureStep(exchange)
	}
	for _, exchange := range ends {
		result := q.perform(ctx, machine.Step(q.node.now(), scatter.SendEnded{Send: exchange.send.ID, Verdict: exchange.verdict, Broken: exchange.broken}), timer)
		if result != nil {
			return result
		}
	}
	return nil
}

func (q *request) cancelSends(cause error) {
	for _, exchange := range q.sends {
		exchange.cancel(cause)
	}
}

// perform carries out actions and returns the result if there is one.
func (q *request) perform(ctx context.Context, actions []scatter.Action, timer *time.Timer) *scatter.Result {
	var started []*exchange
	for _, action := range actions {
		switch a := action.(type) {
		case scatter.Send:
			started = append(started, q.newExchange(ctx, a))
		case scatter.CancelSend:
			q.sends[a.ID].revoke()
			q.sends[a.ID].cancel(errAnswered)
		case scatter.SendOverdue:
			q.markOverdue(a.Send)
		case scatter.Withheld:
			q.addWithheldStep(a)
		case scatter.ServiceTooLate:
			q.addTooLateStep(a)
		case scatter.Wake:
			timer.Reset(max(a.At-q.node.now(), 0))
		case scatter.Finish:
			q.revoke(&a.Result)
			return &a.Result
		}
	}
	q.dispatch(started)
	return nil
}

// revoke settles whether the sends that were in flight at the end may have run.
func (q *request) revoke(result *scatter.Result) {
	if !result.OnlyWithdrawn {
		return
	}
	result.MayHaveRun = slices.ContainsFunc(result.Withdrawn, func(id int) bool { return !q.sends[id].revoke() })
}

// revoke reports whether the exchange was not sent and never will be. A helper may have sent those of its group.
func (e *exchange) revoke() bool { return e.group == nil && e.permit.Revoke() }

// markOverdue marks a replica as overdue, and a helper that has not replied at all as one to avoid.
func (q *request) markOverdue(send int) {
	exchange := q.sends[send]
	q.node.state.withReplicas(func(table *replica.Table, now core.Time) { table.Overdue(exchange.send.Replica.Incarnation(), now) })
	if !exchange.overdueNoted {
		exchange.overdueNoted = true
		q.addStep(step{Event: "replica_late", Replica: exchange.send.Replica.ID, Service: exchange.send.Replica.Service})
	}
	if exchange.group != nil && !exchange.group.replied.Load() {
		q.node.helpers.avoid(exchange.group.helper.Node, q.node.now())
	}
}

// addTooLateStep adds a step for a service that caused an early rejection.
func (q *request) addTooLateStep(a scatter.ServiceTooLate) {
	s := step{Event: "part_short", Service: q.services[a.Service], Replica: a.Replica.ID, ExpectMs: a.ExpectedLatency.Milliseconds(), Cause: "it is expected too late"}
	if a.Unreachable {
		s.Cause = "no connection a moment ago"
	}
	q.addStep(s)
}

// addWithheldStep adds a step for a send that was not made, once for each service and reason.
func (q *request) addWithheldStep(a scatter.Withheld) {
	for _, s := range q.steps {
		if s.Event == "send_withheld" && s.Service == q.services[a.Service] && s.Why == string(a.Why) {
			return
		}
	}
	q.node.metrics.countWithheld(a.Why)
	q.addStep(step{Event: "send_withheld", Service: q.services[a.Service], Cause: string(a.Cause), Why: string(a.Why)})
}

// newExchange creates the exchange of a send. It may briefly outlive the request if its answer is no longer
// needed: its result is still recorded, and its connection is kept.
func (q *request) newExchange(ctx context.Context, a scatter.Send) *exchange {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	exchange := &exchange{send: a, ctx: ctx, cancel: cancel, startAt: q.node.now()}
	q.setSend(exchange)
	if a.Cause != scatter.First {
		q.node.metrics.countExtra(a.Cause)
	}
	if a.Cause != scatter.First || q.route.Gather == nil {
		q.addStep(step{Event: "sent", Cause: string(a.Cause), Replica: a.Replica.ID, Service: a.Replica.Service, Trial: a.Alone || a.ShardAlone})
	}
	return exchange
}

// setSend puts an exchange in the place of its id, which an exchange that had no place may have left.
func (q *request) setSend(e *exchange) {
	if e.send.ID < len(q.sends) {
		q.sends[e.send.ID] = e
		return
	}
	q.sends = append(q.sends, e)
}

// dispatch starts the exchanges: those to another data centre in groups through helpers, the others directly.
func (q *request) dispatch(started []*exchange) {
	q.node.state.withReplicas(func(table *replica.Table, now core.Time) {
		for _, exchange := range started {
			table.Sent(exchange.send.Replica.Incarnation(), now)
		}
	})
	for _, exchange := range q.delegate(started) {
		go q.sendDirect(exchange)
	}
}

// sendDirect makes a send from this node.
func (q *request) sendDirect(e *exchange) {
	defer e.cancel(nil)
	q.runExchange(e.ctx, e)
	q.deliverEnds([]*exchange{e})
}

// deliverEnds hands ended exchanges to the request, or releases their bodies if the request has ended.
func (q *request) deliverEnds(ends []*exchange) {
	select {
	case q.ended <- ends:
	case <-q.done:
		for _, exchange := range ends {
			exchange.closeUnreadBody()
		}
	}
}

// closeUnreadBodies closes the unread bodies of streamed answers to this request. A body that arrives just as
// the request ends is closed by its own time limit.
func (q *request) closeUnreadBodies() {
	for _, exchange := range q.sends {
		if exchange.handled {
			exchange.closeUnreadBody()
		}
	}
}

func (e *exchange) closeUnreadBody() {
	if e.response != nil && e.response.Rest != nil {
		_ = e.response.Rest.Close()
	}
}

func (q *request) runExchange(ctx context.Context, exchange *exchange) {
	remaining := q.plan.Deadline - q.node.now()
	ctx, cancel := context.WithTimeout(ctx, max(remaining, time.Millisecond))
	defer cancel()
	if q.acquirePlace(ctx, exchange) {
		q.send(ctx, exchange)
	}
	exchange.verdict = q.classify(exchange)
	exchange.releasePlace()
	exchange.broken = isBrokenByReplica(exchange.err)
	q.recordTrial(exchange)
	exchange.latency = q.node.now() - exchange.startAt - exchange.waited
	q.recordEnd(exchange)
}

// send sends the request to the replica of an exchange that has a place there.
func (q *request) send(ctx context.Context, exchange *exchange) {
	wire := q.template
	wire.Replica = exchange.send.Replica.Incarnation()
	wire.Address = exchange.send.Replica.Address
	wire.ByteCounter = q.node.traffic.Counter(traffic.Flow{Purpose: traffic.Replicas, DataCentre: exchange.send.Replica.DataCentre})
	wire.UserData = inFlightSend{request: q, send: exchange}
	wire.OnLate = func(response *replicaconn.Response) {
		exchange.releaseLate(response)
		q.recordLateAnswer(exchange, response)
	}
	wire.MaxConnections = q.node.maxConnections(q.config, exchange.send.Replica)
	wire.MaxBodyBytes = q.maxReplicaBodyBytes(exchange.send.Replica, wire.MaxConnections)
	wire.Permit = &exchange.permit
	exchange.response, exchange.err = q.node.replicas.DoBounded(ctx, &wire)
}
