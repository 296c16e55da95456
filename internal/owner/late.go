package owner

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
)

// deadlineMargin is how long before its deadline a request may end and still count as past it: the caller withdraws
// slightly before the deadline.
const deadlineMargin = 50 * time.Millisecond

// pastDeadlineLogInterval is the minimum interval between two part_past_deadline lines of one shard. It limits the log
// volume under overload.
const pastDeadlineLogInterval = time.Second

// loggedAttempt is one attempt of a request in a part_past_deadline line.
type loggedAttempt struct {
	Replica   string      `json:"replica"`
	Kind      string      `json:"kind"`
	StartedMs int64       `json:"began_ms"`
	EndedMs   int64       `json:"ended_ms,omitempty"`
	Outcome   string      `json:"outcome,omitempty"`
	Reason    core.Reason `json:"reason,omitempty"`
}

var kindNames = [...]string{admit.KindFirst: "first", admit.KindRedispatch: "redispatch", admit.KindRetry: "retry", admit.KindHedge: "hedge"}

// logPastDeadline logs the attempts of a request that ends at its deadline without an answer, at most once per shard and
// pastDeadlineLogInterval. Times are offsets from the log line in milliseconds, zero or negative.
func (l *loop) logPastDeadline(s *shard, id admit.RequestID, hedge admit.HedgeState) {
	expired := s.requests[id]
	now := l.options.Now()
	if expired == nil || now+deadlineMargin < expired.deadline || s.pastDeadlineLoggedAt != 0 && now-s.pastDeadlineLoggedAt < pastDeadlineLogInterval {
		return
	}
	s.pastDeadlineLoggedAt = now
	var attempts []loggedAttempt
	for _, attemptID := range expired.attempts {
		t := s.attempts[attemptID]
		entry := loggedAttempt{Replica: t.address, Kind: kindNames[t.kind], StartedMs: (t.startedAt - now).Milliseconds()}
		if t.ended {
			entry.EndedMs, entry.Outcome, entry.Reason = (t.endedAt - now).Milliseconds(), t.result.Outcome.String(), t.result.Reason
		}
		attempts = append(attempts, entry)
	}
	l.options.Log.WithFields(logrus.Fields{
		"event": "part_past_deadline", "shard": s.ref.String(), "request": expired.work.call().RequestID, "role": s.role.String(),
		"hedge": hedge, "tries": attempts, "waiting": s.machine.Waiting(), "state": s.machine.State(now),
	}).Info("request reached its deadline without an answer from the shard")
}
