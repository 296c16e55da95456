package config

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// answer is what became of a question of a starting node.
type answer uint8

const (
	pending answer = iota
	answered
	failed
)

// gather is what a starting node has heard so far.
type gather struct {
	started core.Time
	service answer
	// viewKnown is set once it is known which peers there are to ask.
	viewKnown bool
	peers     map[core.NodeID]*gatherPeer
}

type gatherPeer struct {
	dataCentre string
	answer     answer
	claim      Mark
}

func newGather(now core.Time) gather {
	return gather{started: now, peers: map[core.NodeID]*gatherPeer{}}
}

// AskPeers records that a starting node asks these peers for their marks.
func (m *Machine) AskPeers(now core.Time, peers []route.Node) []Action {
	m.begin(now)
	m.gather.viewKnown = true
	for _, node := range peers {
		if known := m.gather.peers[node.ID]; known == nil || known.answer == failed {
			m.gather.peers[node.ID] = &gatherPeer{dataCentre: node.DataCentre}
		}
	}
	return m.finish()
}

// PeerReported records that a peer has the marked text in force.
func (m *Machine) PeerReported(now core.Time, peer core.NodeID, mark Mark) []Action {
	m.begin(now)
	if known := m.gather.peers[peer]; known != nil {
		known.answer, known.claim = answered, mark
	}
	if !m.Gathering() {
		m.hint(peer, mark)
	}
	return m.finish()
}

// PeerFailed records that a peer did not answer a question or deliver a text.
func (m *Machine) PeerFailed(now core.Time, peer core.NodeID) []Action {
	m.begin(now)
	if m.fetch.peer == peer {
		m.endFetch()
	}
	if known := m.gather.peers[peer]; known != nil {
		known.answer = failed
	}
	return m.finish()
}

// hint asks a peer that is ahead for its text.
func (m *Machine) hint(peer core.NodeID, mark Mark) {
	current := m.current.Mark
	if mark.conflicts(current) {
		m.noteConflict(mark)
	}
	if mark.Supersedes(current) && mark != m.refused.Mark && mark != m.refusedPeer {
		m.startFetch(peer)
	}
}

// startFetch asks one peer at a time: after a change, hundreds may say at once
// that they are ahead, and each could deliver a megabyte.
func (m *Machine) startFetch(peer core.NodeID) {
	if m.fetch.peer != "" && m.now-m.fetch.at < fetchWait {
		return
	}
	m.fetch = fetch{peer: peer, at: m.now}
	m.emit(Fetch{peer})
}

// fetchBest asks the peer with the highest claim for its text.
func (m *Machine) fetchBest() {
	if peer, ok := m.bestClaim(); ok {
		m.startFetch(peer)
	}
}

// bestClaim finds the highest claim above the best reading. Equal claims are
// taken in the order of the nodes' ids, so that a replay decides alike.
func (m *Machine) bestClaim() (core.NodeID, bool) {
	var best core.NodeID
	highest := m.current.Mark
	for id, peer := range m.gather.peers {
		if peer.answer != answered || peer.claim == m.refused.Mark || peer.claim == m.refusedPeer {
			continue
		}
		if peer.claim.Supersedes(highest) || best != "" && peer.claim == highest && id < best {
			best, highest = id, peer.claim
		}
	}
	return best, best != ""
}

// enough decides when a starting node may serve: a text is at hand, none higher
// is claimed, and the service and a peer of each data centre have answered or
// failed. Whoever is silent is awaited for StartWait, a claimed text for twice
// that. So with the service down the peers suffice, and with no peer reached
// the service does; with neither the node keeps asking.
func (m *Machine) enough() bool {
	if m.current.Mark.Revision == 0 {
		return false
	}
	waited := m.now - m.gather.started
	if _, claimed := m.bestClaim(); claimed {
		return waited >= 2*StartWait
	}
	return waited >= StartWait || m.gather.settled()
}

// settled reports whether the service and each data centre have been heard, or
// all that was asked there has failed.
func (g *gather) settled() bool {
	if g.service == pending || !g.viewKnown {
		return false
	}
	open := map[string]bool{}
	for _, peer := range g.peers {
		if peer.answer == pending {
			open[peer.dataCentre] = true
		}
	}
	for _, peer := range g.peers {
		if peer.answer == answered {
			delete(open, peer.dataCentre)
		}
	}
	return len(open) == 0
}

// GatherRetryInterval is how often a starting node without any text asks again.
const GatherRetryInterval = time.Second
