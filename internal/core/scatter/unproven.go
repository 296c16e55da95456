package scatter

import "github.com/pistachiopier/pistachiopier/internal/core/replica"

// oneAtATime reports whether the request may crash the replicas that run it: some have closed the connection instead
// of answering, in this attempt or an earlier one, and none has answered. Such a request gets one send at a time.
//
// This guards against a request that crashes each replica that begins to run it: sent to all shards at once, and then
// to the other replica of each, it would crash them all. Further sends therefore wait for the first answer. A harmless
// request has one within an answer time, usually from another shard; a harmful one crashes the replicas of its first
// sends and one more.
func (m *Machine) oneAtATime() bool {
	return (m.plan.Suspect || m.broken) && !m.answered
}

// shardSuspect reports whether the request may crash the replicas of one shard: some of them have closed the connection
// instead of answering, in this attempt or in an earlier one. Such a shard gets one send at a time, and none after the
// connection of that send was closed.
//
// This guards against retries and hedges crashing all replicas of one shard: oneAtATime does not limit the request once
// another shard has answered it.
func (m *Machine) shardSuspect(i int) bool { return m.plan.SuspectShards[i] || m.services[i].broken }

// mayEndAll reports whether a request over several shards has been answered by none of them yet. Its hedges wait for
// the first answer: the hedges of a request that crashes replicas would crash the second replica of each shard before
// the first one has ended. The shards' latencies differ by more than the hedge delay, so that nearly always one shard
// has answered by then.
func (m *Machine) mayEndAll() bool { return len(m.services) > 1 && !m.answered }

// recordEnd updates whether replicas have answered the request or closed the connection.
func (m *Machine) recordEnd(ended *send, e SendEnded) {
	switch {
	case e.Verdict == Succeeded:
		m.answered = true
	case e.Verdict == Failed && e.Broken:
		m.broken = true
		s := &m.services[ended.service]
		s.broken = true
		s.brokenAlone = s.brokenAlone || ended.shardAlone
		m.brokenAlone = m.brokenAlone || ended.alone
	}
}

// hold makes the first sends wait for the first answer to the request.
func (m *Machine) hold(choices []*replica.Choice) {
	for i, choice := range choices {
		m.services[i].held = choice != nil
	}
}

// sendHeld makes the held sends: all of them once the request has been answered, one when none is in flight.
func (m *Machine) sendHeld() {
	switch {
	case m.brokenAlone && !m.answered:
		m.dropHeld()
	case !m.oneAtATime():
		for i := range m.services {
			m.release(i)
		}
	case !m.anyInFlight():
		m.releaseOne()
	}
}

// releaseOne makes one of the held sends, preferring shards that are not suspect.
func (m *Machine) releaseOne() {
	for _, suspect := range []bool{false, true} {
		for i := range m.services {
			if m.shardSuspect(i) == suspect && m.release(i) {
				return
			}
		}
	}
}

// dropHeld drops the held sends, since the request has most likely crashed another replica.
func (m *Machine) dropHeld() {
	for i := range m.services {
		s := &m.services[i]
		if s.held {
			m.withhold(i, Retry, MayEndReplicas)
			s.held, s.failed = false, true
		}
	}
}

// release makes the held send of a service and reports whether it did. If the send cannot be made and none is in
// flight, the service has failed.
func (m *Machine) release(i int) bool {
	s := &m.services[i]
	if !s.held {
		return false
	}
	s.held = false
	if s.isSettled() {
		return false
	}
	if m.sendAnother(i, s.nextCause()) {
		return true
	}
	s.failed = s.inFlight == 0
	return false
}

// nextCause returns the cause of the service's next send.
func (s *service) nextCause() Cause {
	if len(s.tried) == 0 {
		return First
	}
	return Retry
}

func (m *Machine) anyInFlight() bool {
	for _, send := range m.sends {
		if send.inFlight {
			return true
		}
	}
	return false
}
