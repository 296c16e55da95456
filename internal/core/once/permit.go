package once

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Permit is an owner's right to send one submit upstream. It guards against a
// process that was paused between taking the request and sending it, and against
// a second send of a request whose first may have run: at each send the time
// left is read anew on the owner's own clock, ownership is checked anew, and
// only a send that is proven not to have run gives the right back.
type Permit struct {
	deadline core.Time
	taken    bool
}

// NewPermit makes the permit of a request that must be sent before deadline, on
// the owner's clock.
func NewPermit(deadline core.Time) *Permit { return &Permit{deadline: deadline} }

// Refusal says why a send may not happen, with the outcome of the request.
type Refusal struct {
	Outcome core.Outcome
	Reason  core.Reason
}

// Acquire asks for the right to send now. It returns the time left, or a refusal.
func (p *Permit) Acquire(now core.Time, owns bool) (time.Duration, *Refusal) {
	switch {
	case p.taken:
		return 0, &Refusal{Outcome: core.Unknown, Reason: core.ReasonUpstreamFailed}
	case p.deadline <= now:
		return 0, &Refusal{Outcome: core.NotRun, Reason: core.ReasonDeadline}
	case !owns:
		return 0, &Refusal{Outcome: core.NotRun, Reason: core.ReasonNotOwner}
	}
	p.taken = true
	return p.deadline - now, nil
}

// ReleaseIfNotRun gives the right back when the send is proven not to have run.
func (p *Permit) ReleaseIfNotRun(outcome core.Outcome) {
	if outcome == core.NotRun {
		p.taken = false
	}
}

// ReportableOutcome is the outcome that may be told: "not run" only when no send is left that
// may have run.
func (p *Permit) ReportableOutcome(outcome core.Outcome) core.Outcome {
	if outcome == core.NotRun && p.taken {
		return core.Unknown
	}
	return outcome
}
