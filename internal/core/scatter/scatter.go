// Package scatter decides the sends of one caller's request: to one replica of
// one service, or to one replica of each shard. It chooses when to hedge, when to
// try another replica, and when to answer with what is there.
package scatter

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// Plan says what the request needs. A plain forward is a plan with one service.
type Plan struct {
	// Services are the shards, or the one service.
	Services []string
	// MinParts is the number of parts below which the answer is a failure.
	MinParts int
	// Idempotent requests may be sent again although they may have run.
	Idempotent bool
	// MaxReplicas bounds the replicas of each service that the request is sent to.
	MaxReplicas int
	// Deadline is when the caller is told the outcome at the latest.
	Deadline core.Time
	// TargetLatency is how long an answer may take to have its full worth; 0 is any time.
	TargetLatency time.Duration
	// PartialAt is when the least number of parts is enough; 0 is never.
	PartialAt core.Time
	// HedgeAfter is how long an answer may take before another replica is asked too;
	// 0 is never.
	HedgeAfter time.Duration
	// RemoteHedgeExtra is how much longer that is for a replica in another data centre.
	RemoteHedgeExtra time.Duration
	// Suspect is set when replicas have ended under the request before: see oneAtATime.
	Suspect bool
	// SuspectShards holds the indexes in Services of shards whose replicas have ended under the request before: see
	// shardSuspect. SetAsideShards holds the indexes of shards that the request is not sent to.
	SuspectShards, SetAsideShards map[int]bool
}

// Chooser is what the machine asks of the node's beliefs.
type Chooser interface {
	// Pick chooses a replica that is not among tried.
	Pick(service string, tried []string, now core.Time) (replica.Choice, bool)
	// TakeExtra spends one arrival beyond the first, or reports that the bound on
	// those is reached.
	TakeExtra(service string, now core.Time) bool
	// ExtraScarce reports whether so many of those arrivals were spent that the rest should go where
	// they most probably help.
	ExtraScarce(service string, now core.Time) bool
}

// Verdict is how a send ended.
type Verdict uint8

// The ends of a send.
const (
	// Succeeded is an answer that counts: for a part, a success with all its bytes.
	Succeeded Verdict = iota
	// Failed may have run.
	Failed
	// Refused reached the replica, which proved that it did not run it.
	Refused
	// Unreached never left this node.
	Unreached
)

// send is one request to a replica.
type send struct {
	service int
	live    bool
	// alone is set when the request was limited to one send at a time and this was the only one in flight, shardAlone
	// when that holds for the sends to the shard.
	alone, shardAlone bool
}

// service is one shard of the request.
type service struct {
	tried []string
	// sent counts the sends that arrived or may still.
	sent   int
	live   int
	part   int
	failed bool
	// broken is set once a replica of the shard has closed the connection instead of answering, gaveUp once that has
	// happened to a send with shardAlone set.
	broken, gaveUp bool
	// held is set while a send waits for the first answer to the request.
	held bool
	// lates counts how often the running send was found late.
	lates int
	// hedgeAt is when the running send is late, 0 for never; retryAt is when a
	// refused one is tried again, 0 for none.
	hedgeAt core.Time
	retryAt core.Time
}

func (s *service) settled() bool { return s.part >= 0 || s.failed }

// Machine decides one request. It is not safe for concurrent use.
type Machine struct {
	plan     Plan
	chooser  Chooser
	services []service
	sends    []send
	result   Result
	finished bool
	// broken is set once a replica has ended the connection in place of an answer, proven once one has
	// answered, and gaveUp once one broke off that nothing else of the request was in work at.
	broken  bool
	proven  bool
	gaveUp  bool
	now     core.Time
	actions []Action
}

// New makes the machine of one request.
func New(plan Plan, chooser Chooser) *Machine {
	m := &Machine{plan: plan, chooser: chooser, services: make([]service, len(plan.Services))}
	for i := range m.services {
		m.services[i].part = -1
	}
	return m
}

// Step takes one event and returns what to do. The slice is valid until the next
// Step.
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
		m.ended(e)
	case Tick:
		m.tick()
	case GiveUp:
		m.plan.Deadline = min(m.plan.Deadline, now)
	}
	m.sendHeld()
	m.conclude()
	if !m.finished {
		m.wake()
	}
	return m.actions
}

func (m *Machine) act(action Action) { m.actions = append(m.actions, action) }

// begin sends to every service that has a replica. When too few have one, nothing is
// sent at all: the request then truthfully has not run.
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
	if found < m.plan.MinParts || m.rejectEarly(choices) {
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
	shardAlone := alone || m.shardSuspect(i) && s.live == 0
	s.tried = append(s.tried, to.ID)
	s.sent++
	s.live++
	s.hedgeAt = 0
	if m.plan.HedgeAfter > 0 {
		s.hedgeAt = m.now + m.plan.HedgeAfter
	}
	if to.Remote && s.hedgeAt > 0 {
		s.hedgeAt += m.plan.RemoteHedgeExtra
	}
	m.sends = append(m.sends, send{service: i, live: true, alone: alone, shardAlone: shardAlone})
	m.act(Send{ID: len(m.sends) - 1, Service: i, Replica: to.Replica, Remote: to.Remote, Cause: cause, Alone: alone, ShardAlone: shardAlone})
}

func (m *Machine) ended(e SendEnded) {
	one := &m.sends[e.Send]
	if !one.live {
		return
	}
	one.live = false
	s := &m.services[one.service]
	s.live--
	if e.Verdict == Failed {
		m.result.MayHaveRun = true
	}
	m.noteProof(one, e)
	if s.settled() {
		return
	}
	if e.Verdict == Succeeded {
		m.settle(one.service, e.Send)
		return
	}
	if e.Verdict == Unreached {
		// It was no arrival and uses up no try.
		s.sent--
	}
	m.afterFailure(one.service, e.Verdict)
}

func (m *Machine) settle(i, sendID int) {
	m.services[i].part = sendID
	m.result.Received++
	for id := range m.sends {
		if m.sends[id].live && m.sends[id].service == i {
			m.act(CancelSend{ID: id})
		}
	}
}

func (m *Machine) tick() {
	for i := range m.services {
		s := &m.services[i]
		switch {
		case s.settled():
		case s.retryAt > 0 && m.now >= s.retryAt:
			s.retryAt = 0
			m.retryRefused(i)
		case s.live > 0 && s.hedgeAt > 0 && m.now >= s.hedgeAt:
			m.late(i)
		}
	}
}

// conclude ends the request when it is whole, when no more can come, when what is
// there is enough for now, or when the time is up.
func (m *Machine) conclude() {
	open := 0
	for i := range m.services {
		if !m.services[i].settled() {
			open++
		}
	}
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

func (m *Machine) withdrawAll() {
	for id := range m.sends {
		if m.sends[id].live {
			m.result.MayHaveRun = true
			m.act(CancelSend{ID: id})
		}
	}
}

func (m *Machine) wake() {
	at := m.plan.Deadline
	if m.plan.PartialAt > m.now {
		at = min(at, m.plan.PartialAt)
	}
	for i := range m.services {
		s := &m.services[i]
		if s.settled() {
			continue
		}
		if s.hedgeAt > 0 && s.live > 0 {
			at = min(at, s.hedgeAt)
		}
		if s.retryAt > 0 {
			at = min(at, s.retryAt)
		}
	}
	m.act(Wake{At: at})
}
