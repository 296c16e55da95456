package scatter

import "github.com/pistachiopier/pistachiopier/internal/core/replica"

// oneAtATime reports whether the request may end the replicas that run it: some have ended the connection in place
// of an answer, in this try or under the request before, and none has answered.
//
// The failure: a request ends each replica that begins to run it. Sent to all shards at once, and then to
// the other replica of each, it ends them all. It holds since further sends wait for the first answer: a
// request that harms nobody has one within an answer time, mostly from another shard; the one that does harm ends the
// replicas of its first sends and one more.
func (m *Machine) oneAtATime() bool {
	return (m.plan.Suspect || m.broken) && !m.proven
}

// shardSuspect reports whether the request may end the replicas of one shard: some of them have closed the connection
// instead of answering, in this try or in an earlier one. Such a shard gets one send at a time, and none after that send's
// connection was closed.
//
// This guards against retries and hedges ending all replicas of one shard: oneAtATime does not limit the request once
// another shard has answered it.
func (m *Machine) shardSuspect(i int) bool { return m.plan.SuspectShards[i] || m.services[i].broken }

// mayEndAll reports whether a request over several shards has been answered by none yet. Its hedges wait for the first
// answer: one that ends replicas would end the other one of each shard before the first has ended. Shards differ by
// more than a hedge takes, so that nearly always one has answered by then.
func (m *Machine) mayEndAll() bool { return len(m.services) > 1 && !m.proven }

// noteProof takes up what an end says of the request.
func (m *Machine) noteProof(one *send, e SendEnded) {
	switch {
	case e.Verdict == Succeeded:
		m.proven = true
	case e.Verdict == Failed && e.Broken:
		m.broken = true
		s := &m.services[one.service]
		s.broken = true
		s.gaveUp = s.gaveUp || one.shardAlone
		m.gaveUp = m.gaveUp || one.alone
	}
}

// hold lets the first sends wait for a first answer.
func (m *Machine) hold(choices []*replica.Choice) {
	for i, choice := range choices {
		m.services[i].held = choice != nil
	}
}

// sendHeld makes the sends that waited, all once the request is proven, one when nothing else of it is in work.
func (m *Machine) sendHeld() {
	switch {
	case m.gaveUp && !m.proven:
		m.dropHeld()
	case !m.oneAtATime():
		for i := range m.services {
			m.release(i)
		}
	case !m.inWork():
		m.releaseOne()
	}
}

// releaseOne makes one of the waiting sends, trying shards that are not suspect first.
func (m *Machine) releaseOne() {
	for _, suspect := range []bool{false, true} {
		for i := range m.services {
			if m.shardSuspect(i) == suspect && m.release(i) {
				return
			}
		}
	}
}

// dropHeld gives up what waited: the request has most probably ended another replica.
func (m *Machine) dropHeld() {
	for i := range m.services {
		s := &m.services[i]
		if s.held {
			m.withhold(i, Retry, MayEndReplicas)
			s.held, s.failed = false, true
		}
	}
}

// release makes a send that waited and reports whether there was one. Where none can be made the service
// is given up.
func (m *Machine) release(i int) bool {
	s := &m.services[i]
	if !s.held {
		return false
	}
	s.held = false
	if s.settled() {
		return false
	}
	if m.again(i, s.nextCause()) {
		return true
	}
	s.failed = s.live == 0
	return false
}

// nextCause is that of the service's next send.
func (s *service) nextCause() Cause {
	if len(s.tried) == 0 {
		return First
	}
	return Retry
}

func (m *Machine) inWork() bool {
	for _, one := range m.sends {
		if one.live {
			return true
		}
	}
	return false
}
