package member

// repair lists the states of some nodes in rotation while views differ. Neighbours send each other
// every change, but a receiver ignores a change of a node that it does not know yet.
func (m *Machine) repair() []Update {
	if m.split.differsSince == 0 {
		return nil
	}
	var list []Update
	for range min(len(m.order), m.config.MaxRepairs) {
		m.repairIndex = (m.repairIndex + 1) % len(m.order)
		if p := m.order[m.repairIndex]; !p.is(stateUnknown) {
			list = append(list, m.update(p))
		}
	}
	return list
}

// receiveMessage applies the contents of a message.
func (m *Machine) receiveMessage(message *Message) {
	from := Update{Node: message.From, Incarnation: message.Incarnation, Version: message.Version}
	if message.Leaving {
		from.Standing = StandingLeaving
	}
	if !m.isHeldBack(message) {
		m.receiveUpdate(from)
	}
	for _, update := range message.Updates {
		m.receiveUpdate(update)
	}
	for _, mark := range message.Drains {
		m.receiveDrain(mark)
	}
	m.receiveExchange(message)
	if !m.isHeldBack(message) {
		m.compareView(message)
	}
}

func (m *Machine) receiveUpdate(u Update) {
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
	m.updateNode(p, u)
	m.applyUpdate(p, u)
}

// updateNode applies a node's addresses and data centre. The VM list takes precedence over updates,
// unless its entries hold only addresses, as those of seeds do.
func (m *Machine) updateNode(p *peer, u Update) {
	usable := u.Node.PeerAddress != "" && u.Incarnation >= p.incarnation
	if !usable || p.listed && !p.addressOnly || p.addressOnly && u.Node.DataCentre == "" {
		return
	}
	if p.node != u.Node {
		p.node = u.Node
		m.changed = true
		if p.changeSeq > 0 {
			m.recordChange(p)
		}
	}
}

// refute overrides a claim that this node is dead by a higher version. A claim about an incarnation
// above this one's concerns an earlier process: incarnations are derived from the time of day,
// which may have been set back since. This process then takes a higher one, since its heartbeats
// would otherwise be attributed to the earlier process.
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

// applyUpdate applies an update unless a newer one is known. A lower incarnation belongs to a
// process that no longer runs.
func (m *Machine) applyUpdate(p *peer, u Update) {
	switch {
	case u.Incarnation < p.incarnation:
		return
	case u.Incarnation > p.incarnation:
		first := p.incarnation == 0
		m.setIncarnation(p, u, first)
	case u.Version < p.version:
		return
	case u.Version > p.version:
		p.version = u.Version
		p.witnesses = [witnessesNeeded]Witness{}
		if u.Standing == StandingLive && p.is(stateSuspect, stateDead) {
			m.fire(p, eventAnswered)
		} else if p.changeSeq > 0 {
			m.recordChange(p)
		}
	}
	switch u.Standing {
	case StandingSuspect, StandingDead:
		m.receiveSuspicion(p, u)
	case StandingLeaving:
		m.fire(p, eventLeft)
	}
}

// setIncarnation applies a higher incarnation. The first known incarnation replaces no earlier
// process: a node known only from the VM list keeps its state until it answers or is reported live.
func (m *Machine) setIncarnation(p *peer, u Update, first bool) {
	if !first {
		m.replaceProcess(p, u.Incarnation, u.Version)
		return
	}
	p.incarnation = u.Incarnation
	p.version = u.Version
	if u.Standing == StandingLive {
		m.fire(p, eventAnswered)
	}
}
