// Package scatter decides the sends of one caller's request: to one replica of one service, or to one
// replica of each shard. It decides when to hedge, when to retry on another replica, and when to
// answer with the parts received so far.
package scatter

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// Plan holds the parameters of one request. A request that is not gathered from shards has one service.
type Plan struct {
	// Services names the shards, or the one service.
	Services []string
	// MinParts is the number of parts below which the answer is a failure.
	MinParts int
	// Idempotent requests may be resent after they may have run.
	Idempotent bool
	// MaxReplicas bounds the number of replicas of each service that the request is sent to.
	MaxReplicas int
	// Deadline is the latest time at which the caller gets the outcome.
	Deadline core.Time
	// Admission is what the request asks to be admitted with. Its deadline is that of the plan.
	Admission placement.Request
	// PartialAt is the time from which MinParts parts suffice for an answer; 0 is never.
	PartialAt core.Time
	// TargetAt is until when an answer has its full value to the caller, over all its attempts; 0 is no limit.
	TargetAt core.Time
	// HedgeAfter is how long a send may take before the request is hedged; 0 is never.
	HedgeAfter time.Duration
	// RemoteHedgeExtra is added to HedgeAfter for a replica in another data centre.
	RemoteHedgeExtra time.Duration
	// Suspect is set when replicas have ended while running the request in an earlier attempt: see oneAtATime.
	Suspect bool
	// SuspectShards holds the indexes in Services of shards whose replicas have ended while running the request
	// in an earlier attempt: see shardSuspect. SetAsideShards holds the indexes of shards that the request is not
	// sent to.
	SuspectShards, SetAsideShards map[int]bool
	// Spread numbers the requests; it selects the short shards that this one is sent to: see spreadOverShort. 0
	// sends it to all.
	Spread uint64
}

// Chooser chooses replicas, admits whole requests and accounts for extra sends, from what the node knows.
type Chooser interface {
	// Admit decides whether a whole request is sent to its replicas.
	Admit(request placement.Request, forecast placement.Forecast, now core.Time) placement.Outcome
	// Pick chooses a replica whose id is not among tried.
	Pick(service string, tried []string, now core.Time) (replica.Choice, bool)
	// TakeExtra takes one send beyond the first out of the budget, or returns false when it is spent.
	TakeExtra(service string, now core.Time) bool
	// ReturnExtra gives back one that did not arrive at any replica.
	ReturnExtra(service string, now core.Time)
	// ExtraScarce reports whether so much of the budget is spent that the rest should be kept for the
	// sends most likely to help.
	ExtraScarce(service string, now core.Time) bool
}

// Verdict classifies how a send ended.
type Verdict uint8

// The verdicts.
const (
	// Succeeded means a usable answer: for a part, a complete success response.
	Succeeded Verdict = iota
	// Failed means that the request may have run.
	Failed
	// Refused means that the replica received the request and proved that it did not run it.
	Refused
	// Unreached means that the request never left this node.
	Unreached
	// NoPlace means that the request was not sent because there was no place for it at the replica. It says nothing of the
	// replica's health, and the request may take a place at another replica within the same bound on extra sends.
	NoPlace
)

// send is one request to a replica.
type send struct {
	service  int
	replica  string
	inFlight bool
	// extra is set when the send was taken out of the budget for extra sends.
	extra bool
	// alone is set when the request was limited to one send at a time and this was the only one in flight, shardAlone
	// when the same holds for the sends to the shard.
	alone, shardAlone bool
}

// service is the state of one shard, or of the one service of the request.
type service struct {
	// tried are the ids of the replicas that the request was sent to, full those of them that had no place for it.
	tried, full []string
	// sent counts the sends that arrived or may still arrive.
	sent     int
	inFlight int
	part     int
	failed   bool
	// broken is set once a replica of the shard has closed the connection instead of answering,
	// brokenAlone once that has happened to a send with shardAlone set.
	broken, brokenAlone bool
	// held is set while the next send to the shard waits for the first answer to the request.
	held bool
	// overdueCount counts how often sends of the service were found overdue.
	overdueCount int
	// hedgeAt is when the send in flight becomes overdue, 0 for never; retryAt is when the request is resent
	// after a refusal, 0 for none.
	hedgeAt core.Time
	retryAt core.Time
}

func (s *service) isSettled() bool { return s.part >= 0 || s.failed }

// Machine decides one request. It is not safe for concurrent use.
type Machine struct {
	plan     Plan
	chooser  Chooser
	services []service
	sends    []send
	// vacant are the ids of sends that had no place.
	vacant   []int
	result   Result
	finished bool
	// broken is set once a replica has closed the connection instead of answering, answered once one
	// has answered, and brokenAlone once the connection of a send with alone set was closed.
	broken      bool
	answered    bool
	brokenAlone bool
	// leftOut lists the short shards that were left out.
	leftOut []int
	now     core.Time
	actions []Action
}

// New returns the machine of one request.
func New(plan Plan, chooser Chooser) *Machine {
	m := &Machine{plan: plan, chooser: chooser, services: make([]service, len(plan.Services))}
	for i := range m.services {
		m.services[i].part = -1
	}
	return m
}

// Step handles one event and returns the actions to perform. The slice is valid until the next Step.
func (m *Machine) Step(now core.Time, event Event) []Action {
	m.actions = m.actions[:0]
	m.now = now
	if m.finished {
		return nil
	}
	switch e := event.(type) {
	case Begin:
		m.begin()
	case SendEnded:
		m.sendEnded(e)
	case Tick:
		m.tick()
	case GiveUp:
		m.plan.Deadline = min(m.plan.Deadline, now)
	}
	m.sendHeld()
	m.sendLeftOut()
	m.conclude()
	if !m.finished {
		m.wake()
	}
	return m.actions
}

func (m *Machine) act(action Action) { m.actions = append(m.actions, action) }

// begin sends to every service that has an eligible replica. If too few have one, nothing is sent, so
// that the request can be reported as not run.
func (m *Machine) begin() {
	choices := make([]*replica.Choice, len(m.services))
	found := 0
	for i := range m.services {
		if m.plan.SetAsideShards[i] {
			m.withhold(i, First, ShardSetAside)
			m.services[i].failed = true
			continue
		}
		choice, ok := m.chooser.Pick(m.plan.Services[i], nil, m.now)
		if !ok {
			m.result.NoReplica = true
			m.services[i].failed = true
			continue
		}
		choices[i] = &choice
		found++
	}
	if found < m.plan.MinParts {
		return
	}
	m.spreadOverShort(choices)
	if m.rejectEarly(choices) {
		return
	}
	if m.oneAtATime() {
		m.hold(choices)
		return
	}
	for i, choice := range choices {
		if choice != nil {
			m.send(i, *choice, First)
		}
	}
}

func (m *Machine) send(i int, to replica.Choice, cause Cause) {
	s := &m.services[i]
	alone := m.oneAtATime()
	shardAlone := alone || m.shardSuspect(i) && s.inFlight == 0
	s.tried = appendNew(s.tried, to.ID)
	s.sent++
	s.inFlight++
	s.hedgeAt = 0
	if m.plan.HedgeAfter > 0 {
		s.hedgeAt = m.now + m.plan.HedgeAfter
	}
	if to.Remote && s.hedgeAt > 0 {
		s.hedgeAt += m.plan.RemoteHedgeExtra
	}
	id := m.addSend(send{service: i, replica: to.ID, inFlight: true, extra: s.sent > 1, alone: alone, shardAlone: shardAlone})
	m.act(Send{ID: id, Service: i, Replica: to.Replica, Remote: to.Remote, Cause: cause, Alone: alone, ShardAlone: shardAlone, Extra: cause == Hedge && s.overdueCount < degradedHedgeAfter})
}

// appendNew appends an id that the list does not hold.
func appendNew(ids []string, id string) []string {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}

// addSend records a send and returns its id. That of a send without a place is used again: a request that waits for a place
// tries many times a second, and would otherwise grow until its deadline.
func (m *Machine) addSend(made send) int {
	last := len(m.vacant) - 1
	if last < 0 {
		m.sends = append(m.sends, made)
		return len(m.sends) - 1
	}
	id := m.vacant[last]
	m.vacant = m.vacant[:last]
	m.sends[id] = made
	return id
}

func (m *Machine) sendEnded(e SendEnded) {
	ended := &m.sends[e.Send]
	if !ended.inFlight {
		return
	}
	ended.inFlight = false
	s := &m.services[ended.service]
	s.inFlight--
	if e.Verdict == Failed || e.Verdict == Succeeded {
		m.result.MayHaveRun = true
	}
	m.recordEnd(ended, e)
	if s.isSettled() {
		return
	}
	if e.Verdict == Succeeded {
		m.settle(ended.service, e.Send)
		return
	}
	if e.Verdict == Unreached || e.Verdict == NoPlace {
		// The send did not arrive and does not count against MaxReplicas.
		s.sent--
	}
	if e.Verdict == NoPlace {
		m.vacant = append(m.vacant, e.Send)
		s.full = appendNew(s.full, ended.replica)
		if ended.extra {
			m.chooser.ReturnExtra(m.plan.Services[ended.service], m.now)
		}
	}
	m.afterFailure(ended.service, e.Verdict)
}

func (m *Machine) settle(i, sendID int) {
	m.services[i].part = sendID
	m.result.Received++
	for id := range m.sends {
		if m.sends[id].inFlight && m.sends[id].service == i {
			m.act(CancelSend{ID: id})
		}
	}
}

func (m *Machine) tick() {
	for i := range m.services {
		s := &m.services[i]
		switch {
		case s.isSettled():
		case s.retryAt > 0 && m.now >= s.retryAt:
			s.retryAt = 0
			m.retryRefused(i)
		case s.inFlight > 0 && s.hedgeAt > 0 && m.now >= s.hedgeAt:
			m.overdue(i)
		}
	}
}

// conclude ends the request when all services are settled, when too few parts can still be received,
// when the parts received suffice after PartialAt, or when the deadline has passed.
func (m *Machine) conclude() {
	open := m.openServices()
	enough := m.result.Received >= m.plan.MinParts
	late := m.now >= m.plan.Deadline
	partial := m.plan.PartialAt > 0 && m.now >= m.plan.PartialAt && enough
	hopeless := m.result.Received+open < m.plan.MinParts || m.result.Rejected
	if open > 0 && !late && !partial && !hopeless {
		return
	}
	m.finished = true
	m.result.Enough = enough
	m.result.PastDeadline = late && open > 0
	m.withdrawAll()
	m.result.Parts = make([]int, len(m.services))
	for i := range m.services {
		m.result.Parts[i] = m.services[i].part
	}
	m.act(Finish{Result: m.result})
}

// openServices counts the services that have neither answered nor failed.
func (m *Machine) openServices() (open int) {
	for i := range m.services {
		if !m.services[i].isSettled() {
			open++
		}
	}
	return open
}

func (m *Machine) withdrawAll() {
	for id := range m.sends {
		if m.sends[id].inFlight {
			m.result.Withdrawn = append(m.result.Withdrawn, id)
			m.act(CancelSend{ID: id})
		}
	}
	m.result.OnlyWithdrawn = !m.result.MayHaveRun && len(m.result.Withdrawn) > 0
	m.result.MayHaveRun = m.result.MayHaveRun || m.result.OnlyWithdrawn
}

func (m *Machine) wake() {
	at := m.plan.Deadline
	if m.plan.PartialAt > m.now {
		at = min(at, m.plan.PartialAt)
	}
	for i := range m.services {
		s := &m.services[i]
		if s.isSettled() {
			continue
		}
		if s.hedgeAt > 0 && s.inFlight > 0 {
			at = min(at, s.hedgeAt)
		}
		if s.retryAt > 0 {
			at = min(at, s.retryAt)
		}
	}
	m.act(Wake{At: at})
}
