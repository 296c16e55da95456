package once

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Permit is an owner's permission to send one submit upstream. It guards against a
// process that was paused between receiving the request and sending it, and against a
// second send of a request whose first send may have run. Each send checks the
// remaining time on the owner's own clock and the ownership again. Only a send that is
// proven not run returns the permit.
type Permit struct {
	deadline    core.Time
	outstanding bool
}

// NewPermit returns the permit of a request that must be sent before deadline, on the
// owner's clock.
func NewPermit(deadline core.Time) *Permit { return &Permit{deadline: deadline} }

// Refusal is the reason why a send is not allowed, with the resulting outcome of the
// request.
type Refusal struct {
	Outcome core.Outcome
	Reason  core.Reason
}

// Acquire acquires the permit to send now. It returns the remaining time, or a refusal.
func (p *Permit) Acquire(now core.Time, owns bool) (time.Duration, *Refusal) {
	switch {
	case p.outstanding:
		return 0, &Refusal{Outcome: core.Unknown, Reason: core.ReasonUpstreamFailed}
	case p.deadline <= now:
		return 0, &Refusal{Outcome: core.NotRun, Reason: core.ReasonDeadline}
	case !owns:
		return 0, &Refusal{Outcome: core.NotRun, Reason: core.ReasonNotOwner}
	}
	p.outstanding = true
	return p.deadline - now, nil
}

// ReleaseIfNotRun returns the permit when the send is proven not to have run.
func (p *Permit) ReleaseIfNotRun(outcome core.Outcome) {
	if outcome == core.NotRun {
		p.outstanding = false
	}
}

// ReportableOutcome returns the outcome that may be reported: "not run" becomes
// "unknown" while a send that may have run holds the permit.
func (p *Permit) ReportableOutcome(outcome core.Outcome) core.Outcome {
	if outcome == core.NotRun && p.outstanding {
		return core.Unknown
	}
	return outcome
}
