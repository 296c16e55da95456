package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// probe is a heartbeat that awaits its reply.
type probe struct {
	target core.NodeID
	// about is the doubted node that the target was asked to reach.
	about core.NodeID
	// ticket is the heartbeat of another node on whose behalf this one was
	// sent.
	ticket Ticket
	sentAt core.Time
}

// doubt is a node that does not answer and is being checked.
type doubt struct {
	roundAt core.Time
	rounds  int
}

// maxDoubts bounds the checks at one time, and so their bytes, when many nodes
// are lost at once. Those not checked are reported again.
const maxDoubts = 8

// sendHeartbeat sends the next neighbour its heartbeat when that is due.
func (m *Machine) sendHeartbeat() {
	m.refresh()
	if m.now < m.nextBeat || len(m.neighbours) == 0 {
		return
	}
	m.nextBeat = m.now + m.config.Period/core.Time(len(m.neighbours))
	m.beat++
	p := m.neighbours[m.beat%len(m.neighbours)]
	if m.doubts[p.node.ID] == nil {
		m.probe(p, probe{target: p.node.ID})
	}
}

// retryLost probes one dead or silent node a period, so that the two sides of a
// partition find each other again at a bounded cost.
func (m *Machine) retryLost() {
	if m.now < m.nextRetry {
		return
	}
	m.nextRetry = m.now + m.config.Period
	for range m.order {
		m.retryAt = (m.retryAt + 1) % len(m.order)
		p := m.order[m.retryAt]
		if p.is(dead, gone) && p.listed {
			m.probe(p, probe{target: p.node.ID})
			return
		}
	}
}

func (m *Machine) probe(p *peer, what probe) {
	m.sequence++
	what.sentAt = m.now
	id := ProbeID(m.sequence)
	m.probes[id] = what
	message := m.message(p)
	message.Probe = what.about
	m.act(Send{Probe: id, To: p.node, Message: message})
}

func (m *Machine) expireProbes() {
	var late []ProbeID
	for id, waiting := range m.probes {
		limit := m.config.ReplyWait
		if waiting.about != "" {
			// The helper needs its own ReplyWait before it can answer.
			limit *= 2
		}
		if m.now-waiting.sentAt >= limit {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		m.failed(id)
	}
}

func (m *Machine) failed(id ProbeID) {
	waiting, ok := m.probes[id]
	if !ok {
		return
	}
	delete(m.probes, id)
	switch {
	case waiting.ticket != 0:
		m.reply(waiting.ticket, nil, waiting.target, false)
	case waiting.about == "":
		m.unanswered(m.peers[waiting.target])
	}
}

func (m *Machine) replied(e Replied) {
	waiting, ok := m.probes[e.Probe]
	if !ok {
		return
	}
	delete(m.probes, e.Probe)
	m.learn(e.Message)
	m.pause.heard(e.Message)
	m.answered(m.peers[waiting.target])
	if waiting.ticket != 0 {
		m.reply(waiting.ticket, nil, waiting.target, true)
	}
	if waiting.about != "" && e.Message.Reached {
		m.answered(m.peers[waiting.about])
	}
}

// received answers a heartbeat. Hearing from a node does not prove that it can
// be reached: with one-way loss its heartbeats arrive while nothing reaches it.
// So a heartbeat from a lost node only leads to a probe of it.
func (m *Machine) received(e Received) {
	m.learn(e.Message)
	from := m.peers[e.Message.From.ID]
	if from != nil && from.is(unknown, dead) && m.doubts[from.node.ID] == nil {
		m.probe(from, probe{target: from.node.ID})
	}
	about := m.peers[e.Message.Probe]
	if about == nil {
		m.reply(e.Ticket, from, "", false)
		return
	}
	m.probe(about, probe{target: about.node.ID, ticket: e.Ticket})
}

func (m *Machine) reply(ticket Ticket, to *peer, about core.NodeID, reached bool) {
	message := m.message(to)
	message.Probe = about
	message.Reached = reached
	m.act(Reply{Ticket: ticket, Message: message})
}

// answered takes up proof that a node answers, by whatever path.
func (m *Machine) answered(p *peer) {
	if p == nil {
		return
	}
	p.answeredAt = m.now
	delete(m.doubts, p.node.ID)
	if p.is(suspect) {
		// Others may doubt it for good reason, but it answers: the claim of
		// one witness is dropped here, and the node refutes it elsewhere.
		p.witnesses = [witnessesNeeded]Witness{}
	}
	if p.is(dead) {
		// It returns by its own refutation, which the reply carried.
		return
	}
	m.fire(p, eventAnswered)
}

// unanswered begins to check a node.
func (m *Machine) unanswered(p *peer) {
	if p == nil || p.is(dead, gone) || m.doubts[p.node.ID] != nil || m.pause.confirming {
		return
	}
	if len(m.doubts) >= maxDoubts {
		return
	}
	m.doubts[p.node.ID] = &doubt{roundAt: m.now}
	m.round(p)
}

// stepDoubts begins the next round for each doubted node, and after the last
// one becomes a witness of its loss.
func (m *Machine) stepDoubts() {
	if len(m.doubts) == 0 {
		return
	}
	for _, p := range m.order {
		d := m.doubts[p.node.ID]
		if d == nil || m.now < d.roundAt+m.config.Round {
			continue
		}
		d.rounds++
		d.roundAt = m.now
		if d.rounds < m.config.Rounds {
			m.round(p)
			continue
		}
		delete(m.doubts, p.node.ID)
		m.testify(p)
	}
}

// round tries to reach a node directly and through helpers.
func (m *Machine) round(p *peer) {
	m.probe(p, probe{target: p.node.ID})
	for _, helper := range m.helpers(p) {
		m.probe(helper, probe{target: helper.node.ID, about: p.node.ID})
	}
}

// helpers chooses other live nodes, other ones in each round.
func (m *Machine) helpers(p *peer) []*peer {
	var chosen []*peer
	if len(m.order) == 0 {
		return nil
	}
	start := int(pairHash(p.node.ID, m.sequence) % uint64(len(m.order)))
	for i := range m.order {
		candidate := m.order[(start+i)%len(m.order)]
		if candidate != p && candidate.is(live) && m.doubts[candidate.node.ID] == nil {
			chosen = append(chosen, candidate)
		}
		if len(chosen) == m.config.Helpers {
			break
		}
	}
	return chosen
}

// testify makes this node a witness. It stops routing to the lost node at once:
// it asked others to reach it and they could not either.
func (m *Machine) testify(p *peer) {
	p.witnesses[0] = m.witness()
	m.fire(p, eventConfirmed)
}

func pairHash(id core.NodeID, number uint64) uint64 {
	return mix(xxhash.Sum64String(string(id)) + number)
}

// mix spreads the bits of a number (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
