package edge

import (
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
)

// step is one decision on a request, kept until its end.
type step struct {
	AtMs    int64
	Event   string
	Replica string
	Service string
	Cause   string
	Status  int
	TookMs  int64
	// Via is the node that sent on this one's behalf.
	Via string
	// ExpectMs is how long an answer would probably have taken.
	ExpectMs int64
	// Why is the reason for a send that was not made.
	Why string
}

// maxTrail bounds the steps kept of one request, maxMissing the missing parts told beside
// them. Together they are less than what the log writes of one story.
const (
	maxTrail   = 64
	maxMissing = 20
)

func (q *request) note(s step) {
	if len(q.trail) < maxTrail {
		q.noteLast(s)
	}
}

// noteLast notes a step that the story must not lack.
func (q *request) noteLast(s step) {
	s.AtMs = (q.node.now() - q.arrived).Milliseconds()
	q.trail = append(q.trail, s)
}

// tell writes the request's story, when it ended other than well, or counts it.
func (q *request) tell(outcome string, status int, result scatter.Result) {
	took := q.node.now() - q.arrived
	q.node.metrics.request(q.route, outcome, took)
	if result.Rejected {
		q.node.metrics.rejectedEarly()
	}
	late := q.route.TargetLatency > 0 && took > q.route.TargetLatency
	if outcome == outcomeWhole && !late {
		q.node.log.Calm()
		return
	}
	var lines []decisionlog.Line
	for _, s := range q.trail {
		lines = append(lines, decisionlog.Line{Event: s.Event, Fields: decisionlog.Fields{
			"request": q.id, "at_ms": s.AtMs, "replica": s.Replica, "service": s.Service, "cause": s.Cause, "status": s.Status, "took_ms": s.TookMs, "via": s.Via, "why": s.Why, "expect_ms": s.ExpectMs,
		}})
	}
	fields := decisionlog.Fields{
		"request": q.id, "route": q.route.Name, "config_version": q.config.Version, "outcome": outcome, "status": status,
		"took_ms": took.Milliseconds(), "aim_ms": q.route.TargetLatency.Milliseconds(), "sends": len(q.sends),
		"parts": result.Received, "of": len(q.services), "may_have_run": result.MayHaveRun, "budget_spent": result.BudgetSpent, "no_replica": result.NoReplica, "rejected_early": result.Rejected, "retry_after_ms": result.RetryAfter.Milliseconds(),
		"waits_ms": (q.plan.Deadline - q.arrived).Milliseconds(), "may_repeat": q.route.Idempotent,
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
	q.node.log.Story(append(lines, decisionlog.Line{Event: "request_ended", Fields: fields}))
}
