package edge

import (
	"github.com/pistachiopier/pistachiopier/internal/core/comeback"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
)

// step is one decision on a request, kept until the request ends.
type step struct {
	AtMs    int64
	Event   string
	Replica string
	Service string
	Cause   string
	Status  int
	TookMs  int64
	// Via is the helper that made the send.
	Via string
	// ExpectMs is the expected latency of an answer.
	ExpectMs int64
	// Short is what a send without a place lacked, Ahead the number of claims that went first, WaitedMs how long it waited.
	Short    string
	Ahead    int
	WaitedMs int64
	// Why is the reason for a send that was not made.
	Why string
	// Trial is set for the only send of a suspected request in flight, or the only one at its shard.
	Trial bool
}

// maxSteps bounds the steps kept of one request, maxMissingSteps those for missing parts, which come in
// addition. The sum is below the log's limit for one request.
const (
	maxSteps        = 64
	maxMissingSteps = 20
)

func (q *request) addStep(s step) {
	if len(q.steps) < maxSteps {
		q.appendStep(s)
	}
}

// appendStep adds a step regardless of maxSteps.
func (q *request) appendStep(s step) {
	s.AtMs = (q.node.now() - q.arrived).Milliseconds()
	q.steps = append(q.steps, s)
}

// recordOutcome counts a request, and logs its steps if it was not whole or was late.
func (q *request) recordOutcome(outcome string, status int, result scatter.Result) {
	took := q.node.now() - q.arrived
	q.node.metrics.countRequest(q.route, outcome, took)
	if len(q.sends) > 0 || result.Rejected {
		q.node.metrics.countAdmission(q.route.Priority, result.Admission)
	}
	late := q.route.TargetLatency > 0 && took > q.route.TargetLatency
	if outcome == outcomeWhole && !late {
		q.node.log.CountSuccess()
		return
	}
	var lines []decisionlog.Line
	for _, s := range q.steps {
		fields := decisionlog.Fields{
			"request": q.id, "at_ms": s.AtMs, "replica": s.Replica, "service": s.Service, "cause": s.Cause, "status": s.Status, "took_ms": s.TookMs, "via": s.Via, "why": s.Why, "expect_ms": s.ExpectMs, "short": s.Short, "ahead": s.Ahead, "waited_ms": s.WaitedMs,
		}
		if s.Trial {
			fields["trial"] = true
		}
		lines = append(lines, decisionlog.Line{Event: s.Event, Fields: fields})
	}
	fields := decisionlog.Fields{
		"request": q.id, "route": q.route.Name, "priority": q.route.Priority, "config_version": q.config.Version, "outcome": outcome, "status": status,
		"took_ms": took.Milliseconds(), "aim_ms": q.route.TargetLatency.Milliseconds(), "sends": len(q.sends),
		"parts": result.Received, "of": len(q.services), "may_have_run": result.MayHaveRun, "budget_spent": result.BudgetSpent, "no_replica": result.NoReplica, "rejected_early": result.Rejected, "retry_after_ms": result.Admission.RetryAfter.Milliseconds(),
		"waits_ms": (q.plan.Deadline - q.arrived).Milliseconds(), "may_repeat": q.route.Idempotent,
	}
	if caller := q.caller(); caller != "" {
		fields["caller"] = caller
	}
	if result.Rejected {
		fields["short"], fields["ahead"] = result.Admission.Short, result.Admission.Ahead
	}
	if result.Admission.Return != comeback.Unknown {
		fields["returned"] = result.Admission.Return.String()
	}
	if q.standing != quarantine.Trusted {
		fields["standing"], fields["known_ended"] = q.standing.String(), q.knownEnded
	}
	if q.plan.Admission.OverShare {
		fields["over_share"] = true
	}
	if len(q.services) == 1 {
		fields["service"] = q.services[0]
	}
	if q.plan.PartialAt > 0 {
		fields["partial_from_ms"] = (q.plan.PartialAt - q.arrived).Milliseconds()
	}
	if age, known := q.node.follower.Age(); known {
		fields["beliefs_age_ms"] = age.Milliseconds()
	}
	q.node.log.Decisions(append(lines, decisionlog.Line{Event: "request_ended", Fields: fields}))
}
