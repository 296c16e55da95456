package edge

import (
	"context"
	"errors"
	"net/http"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// classify returns the verdict on the end of an exchange.
func (q *request) classify(exchange *exchange) scatter.Verdict {
	var failed *replicaconn.Error
	var noPlace *placement.NoPlace
	switch {
	case errors.As(exchange.err, &noPlace):
		return scatter.NoPlace
	case errors.As(exchange.err, &failed) && !failed.Sent:
		return scatter.Unreached
	case exchange.err != nil:
		return scatter.Failed
	case platform.Wire{}.NotRun(exchange.response.Status, exchange.response.Header):
		return scatter.Refused
	case platform.Stamp(exchange.response.Header) == "":
		// An answer without the replica's signature is not the replica's own.
		return scatter.Failed
	case notRunStatuses[exchange.response.Status]:
		// The status means "not run", but the replica has not proved it.
		return scatter.Failed
	case exchange.response.Status >= 500 || q.route.Gather != nil && !isSuccess(exchange.response.Status):
		return scatter.Failed
	default:
		return scatter.Succeeded
	}
}

// isBrokenByReplica reports whether the replica closed the connection instead of answering.
func isBrokenByReplica(err error) bool {
	var failed *replicaconn.Error
	return errors.As(err, &failed) && failed.Broken
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// recordEnd records the end of an exchange in the node's state. A cancelled send yields no information beyond
// the lateness recorded before.
func (q *request) recordEnd(exchange *exchange) {
	incarnation := exchange.send.Replica.Incarnation()
	state := q.node.state
	state.withReplicas(func(table *replica.Table, _ core.Time) { table.Ended(incarnation) })
	if errors.Is(exchange.err, errAnswered) || errors.Is(exchange.err, context.Canceled) || errors.Is(exchange.err, replicaconn.ErrRevoked) {
		return
	}
	q.node.metrics.countSend(exchange.send.Replica.Service, exchange.verdict, exchange.latency)
	switch exchange.verdict {
	case scatter.Succeeded:
		q.recordAnswered(exchange.send.Replica.Service)
		state.recordAnswer(q.route, incarnation, exchange.latency)
	case scatter.Failed:
		state.withReplicas(func(table *replica.Table, now core.Time) { table.Failed(incarnation, now) })
	case scatter.Refused:
		state.withReplicas(func(table *replica.Table, now core.Time) { table.Refused(incarnation, now) })
		if exchange.response != nil && exchange.response.Status == http.StatusMisdirectedRequest {
			state.withReplicas(func(table *replica.Table, _ core.Time) { table.Misdirected(incarnation) })
			q.node.replicas.ReplicaMisdirected(incarnation)
			q.node.log.Decision("replica_misdirected", decisionlog.Fields{"replica": incarnation.ID, "service": exchange.send.Replica.Service, "address": exchange.send.Replica.Address, "request": q.id})
		}
	case scatter.NoPlace:
		q.recordNoPlace(exchange)
	case scatter.Unreached:
		state.withReplicas(func(table *replica.Table, now core.Time) { table.Unreached(incarnation, now) })
	}
}

// recordDelegatedEnd records the end of a delegated send. After the end of the request, its answer counts as
// late.
func (q *request) recordDelegatedEnd(exchange *exchange) {
	if exchange.pauseEnded > 0 {
		q.node.state.withReplicas(func(table *replica.Table, now core.Time) {
			table.ReceivePause(exchange.send.Replica.Incarnation(), exchange.pauseEnded, now)
		})
	}
	select {
	case <-q.done:
		q.node.state.withReplicas(func(table *replica.Table, _ core.Time) { table.Ended(exchange.send.Replica.Incarnation()) })
		if exchange.verdict == scatter.Succeeded {
			q.node.state.recordLateAnswer(q.route, exchange.send.Replica.Incarnation(), exchange.latency)
		}
	default:
		q.recordEnd(exchange)
	}
}

// recordLateAnswer records an answer that arrived after another replica's. Without it, a replica that paused
// briefly would count as overdue long after the pause.
func (q *request) recordLateAnswer(exchange *exchange, response *replicaconn.Response) {
	if platform.Stamp(response.Header) == "" || response.Status >= 500 {
		return
	}
	q.recordAnswered(exchange.send.Replica.Service)
	q.node.state.recordLateAnswer(q.route, exchange.send.Replica.Incarnation(), q.node.now()-exchange.startAt-exchange.waited)
}

// addFailureStep adds a step for an exchange that did not succeed.
func (q *request) addFailureStep(exchange *exchange) {
	if exchange.verdict == scatter.Succeeded || errors.Is(exchange.err, errAnswered) {
		return
	}
	s := step{Event: "send_failed", Replica: exchange.send.Replica.ID, Service: exchange.send.Replica.Service, TookMs: (q.node.now() - exchange.startAt).Milliseconds()}
	switch {
	case exchange.verdict == scatter.NoPlace:
		s.addNoPlace(exchange.err)
	case exchange.err != nil:
		s.Cause = exchange.err.Error()
	default:
		s.Status = exchange.response.Status
	}
	q.addStep(s)
}
