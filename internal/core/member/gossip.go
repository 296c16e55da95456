package member

// repair lists the states of some nodes in turn while views differ. Neighbours tell each other
// every change, but a change that came before its node was known was passed over.
func (m *Machine) repair() []Update {
	if m.split.differsSince == 0 {
		return nil
	}
	var list []Update
	for range min(len(m.order), m.config.MaxRepairs) {
		m.repairAt = (m.repairAt + 1) % len(m.order)
		if p := m.order[m.repairAt]; !p.is(stateUnknown) {
			list = append(list, m.update(p))
		}
	}
	return list
}

// learn takes up what a message says.
func (m *Machine) learn(message *Message) {
	from := Update{Node: message.From, Incarnation: message.Incarnation, Version: message.Version}
	if message.Leaving {
		from.Standing = StandingLeaving
	}
	m.heardClaim(from)
	for _, update := range message.Updates {
		m.heardClaim(update)
	}
	for _, mark := range message.Drains {
		m.learnDrain(mark)
	}
	m.heardFrom(message)
	m.compareView(message)
}

func (m *Machine) heardClaim(u Update) {
	if u.Node.ID == m.config.Self.ID {
		m.refute(u)
		return
	}
	p := m.peers[u.Node.ID]
	if p == nil {
		if u.Node.PeerAddress == "" || u.Standing != StandingLive {
			return
		}
		p = m.peer(u.Node)
	}
	m.place(p, u)
	m.apply(p, u)
}

// place takes up a node's particulars. Those of the VM list go before what nodes say,
// unless the list holds bare addresses only, as seeds do.
func (m *Machine) place(p *peer, u Update) {
	told := u.Node.PeerAddress != "" && u.Incarnation >= p.incarnation
	if !told || p.listed && !p.bare || p.bare && u.Node.DataCentre == "" {
		return
	}
	if p.node != u.Node {
		p.node = u.Node
		m.changed = true
		if p.changedAt > 0 {
			m.tell(p)
		}
	}
}

// refute answers a claim that this node is lost: a higher version overrides it. A claim
// about a higher incarnation than this one's is about a former process: incarnations are
// made from the time of day, which may have stepped back in between. This process then
// goes above it, since otherwise its heartbeats would count as the former one's.
func (m *Machine) refute(u Update) {
	if u.Incarnation > m.config.Incarnation {
		m.config.Incarnation = u.Incarnation + 1
		m.version = 0
		return
	}
	claimed := u.Standing == StandingSuspect || u.Standing == StandingDead
	if claimed && u.Incarnation == m.config.Incarnation && u.Version >= m.version {
		m.version = u.Version + 1
	}
}

// apply takes up a claim unless a newer one is known. An older incarnation is a
// process that no longer runs.
func (m *Machine) apply(p *peer, u Update) {
	switch {
	case u.Incarnation < p.incarnation:
		return
	case u.Incarnation > p.incarnation:
		first := p.incarnation == 0
		m.renewOrMeet(p, u, first)
	case u.Version < p.version:
		return
	case u.Version > p.version:
		p.version = u.Version
		p.witnesses = [witnessesNeeded]Witness{}
		if u.Standing == StandingLive && p.is(stateSuspect, stateDead) {
			m.fire(p, eventAnswered)
		} else if p.changedAt > 0 {
			m.tell(p)
		}
	}
	switch u.Standing {
	case StandingSuspect, StandingDead:
		m.doubted(p, u)
	case StandingLeaving:
		m.fire(p, eventLeft)
	}
}

// renewOrMeet takes up an incarnation. The first one that is heard of replaces
// nothing: a node known from the VM list alone keeps its state until it
// answers or is said to be live.
func (m *Machine) renewOrMeet(p *peer, u Update, first bool) {
	if !first {
		m.renew(p, u.Incarnation, u.Version)
		return
	}
	p.incarnation = u.Incarnation
	p.version = u.Version
	if u.Standing == StandingLive {
		m.fire(p, eventAnswered)
	}
}
