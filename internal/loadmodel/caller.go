package loadmodel

import (
	"strconv"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/comeback"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// callerDelay is the one-way delay between a caller and a node.
const callerDelay = time.Millisecond

const (
	// retryWaitDivisor limits a caller's wait before its next attempt to this fraction, 1/n, of the
	// remaining time.
	retryWaitDivisor = 3
	// earlyRefusalDivisor is the fraction, 1/n, of the target latency within which a refusal counts as
	// early.
	earlyRefusalDivisor = 4
)

// callerRequest is one request from the caller's point of view, with all its attempts.
type callerRequest struct {
	simulation *simulation
	kind       Kind
	dataCentre string
	began      core.Time
	// index is the caller's; key identifies the request over its attempts.
	index int
	key   comeback.Key
	// remainingAttempts counts the attempts still allowed; attemptBegan is the start of the last one.
	remainingAttempts int
	attemptBegan      core.Time
	// refusedEarly is set when the last refusal was early, so that the latency of the next attempt counts too.
	refusedEarly bool
}

// startRequest begins a request of a random kind in a random data centre.
func (s *simulation) startRequest() {
	s.startRequestOf(pickWeighted(s.random.Float64(), s.pattern.Kinds, func(k Kind) float64 { return k.Share }))
}

// startRequestOf begins a request of a kind in a random data centre.
func (s *simulation) startRequestOf(kind Kind) {
	dataCentre := pickWeighted(s.random.Float64(), s.pattern.DataCentres, func(d DataCentre) float64 { return d.CallerShare })
	s.requests++
	c := &callerRequest{simulation: s, kind: kind, dataCentre: dataCentre.Name, began: s.clock.now, remainingAttempts: usualAttempts, index: s.drawCaller(), key: s.requests}
	if c.repeats() {
		c.remainingAttempts = s.pattern.Repeater.Attempts
	}
	s.report.addRequest(c)
	c.attempt()
}

// usualAttempts is the number of attempts of a caller that does as it is told.
const usualAttempts = 2

// repeats reports whether the caller is the pattern's repeater.
func (c *callerRequest) repeats() bool {
	repeater := c.simulation.pattern.Repeater
	return repeater.Attempts > 0 && c.index == c.simulation.pattern.Callers-1
}

// address identifies the caller to nodes.
func (c *callerRequest) address() string { return strconv.Itoa(c.index) }

// pickWeighted returns the element that a draw, 0 to 1, selects according to the shares.
func pickWeighted[T any](draw float64, all []T, share func(T) float64) T {
	for _, element := range all {
		if draw -= share(element); draw < 0 {
			return element
		}
	}
	return all[len(all)-1]
}

func (c *callerRequest) attempt() {
	s := c.simulation
	remaining := c.began + c.kind.Deadline - s.clock.now
	c.remainingAttempts--
	c.attemptBegan = s.clock.now
	var local []*node
	for _, n := range s.nodes {
		if n.dataCentre.Name == c.dataCentre && !n.ended {
			local = append(local, n)
		}
	}
	target := local[s.random.IntN(len(local))]
	s.clock.after(callerDelay, func() {
		target.handleRequest(c, remaining, func(result scatter.Result) {
			s.clock.after(callerDelay, func() { c.receive(result) })
		})
	})
}

func (c *callerRequest) receive(result scatter.Result) {
	s := c.simulation
	now := s.clock.now
	remaining := c.began + c.kind.Deadline - now
	if result.Enough && remaining > 0 {
		c.recordAnswer(float64(result.Received) / float64(s.pattern.Shards))
		return
	}
	refused := !result.Enough && !result.MayHaveRun
	if refused && c.attemptBegan > c.began && !c.repeats() {
		s.report.RefusedAgain++
	}
	if c.remainingAttempts == 0 || remaining <= 0 {
		s.report.addFailure(c, refused)
		return
	}
	wait := time.Duration(0)
	if refused {
		wait = refusalRetryAfter
		if result.Rejected {
			wait = result.Admission.RetryAfter
		}
		wait = min(wait, remaining/retryWaitDivisor)
		if c.repeats() && s.pattern.Repeater.AtOnce {
			wait = 0
		}
		c.refusedEarly = now-c.attemptBegan <= c.kind.TargetLatency/earlyRefusalDivisor
	}
	s.clock.after(wait, c.attempt)
}

// refusalRetryAfter is the retry-after time in a node's refusal other than an early rejection.
const refusalRetryAfter = 100 * time.Millisecond

// recordAnswer credits an answer: in full within the target latency, in part later, times the square of
// its coverage. After an early refusal the credit is the mean of those for the latency of the whole
// request and for that of the last attempt.
func (c *callerRequest) recordAnswer(coverage float64) {
	now := c.simulation.clock.now
	creditFor := func(took core.Time) float64 {
		if took <= c.kind.TargetLatency {
			return 1
		}
		return c.kind.LateCreditShare
	}
	credit := creditFor(now - c.began)
	if c.refusedEarly {
		credit = (credit + creditFor(now-c.attemptBegan)) / 2
	}
	c.simulation.report.addAnswer(c, credit*coverage*coverage, coverage, now-c.began)
}
