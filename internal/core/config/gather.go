package config

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// answerState is the state of a request of a starting node.
type answerState uint8

const (
	pending answerState = iota
	answered
	failed
)

// gather is the state of a starting node's requests.
type gather struct {
	startedAt    core.Time
	serviceState answerState
	// viewKnown is set once the peers to ask are known.
	viewKnown bool
	peers     map[core.NodeID]*gatherPeer
}

type gatherPeer struct {
	dataCentre string
	state      answerState
	mark       Mark
}

func newGather(now core.Time) gather {
	return gather{startedAt: now, peers: map[core.NodeID]*gatherPeer{}}
}

// AskPeers records that a starting node asks these peers for their marks.
func (m *Machine) AskPeers(now core.Time, peers []route.Node) []Action {
	m.begin(now)
	m.gather.viewKnown = true
	for _, node := range peers {
		if known := m.gather.peers[node.ID]; known == nil || known.state == failed {
			m.gather.peers[node.ID] = &gatherPeer{dataCentre: node.DataCentre}
		}
	}
	return m.finish()
}

// PeerReported records that a peer has the marked text in force.
func (m *Machine) PeerReported(now core.Time, peer core.NodeID, mark Mark) []Action {
	m.begin(now)
	if known := m.gather.peers[peer]; known != nil {
		known.state, known.mark = answered, mark
	}
	if !m.Gathering() {
		m.compareMark(peer, mark)
	}
	return m.finish()
}

// PeerFailed records that a peer did not answer a request or deliver a text.
func (m *Machine) PeerFailed(now core.Time, peer core.NodeID) []Action {
	m.begin(now)
	if m.fetch.peer == peer {
		m.endFetch()
	}
	if known := m.gather.peers[peer]; known != nil {
		known.state = failed
	}
	return m.finish()
}

// compareMark fetches a peer's text if it supersedes the current one.
func (m *Machine) compareMark(peer core.NodeID, mark Mark) {
	current := m.current.Mark
	if mark.conflicts(current) {
		m.reportConflictWith(mark)
	}
	if mark.Supersedes(current) && mark != m.refused.Mark && mark != m.refusedPeer {
		m.startFetch(peer)
	}
}

// startFetch requests one text at a time: after a change, hundreds of peers may announce a newer
// text at once, and each could deliver a megabyte.
func (m *Machine) startFetch(peer core.NodeID) {
	if m.fetch.peer != "" && m.now-m.fetch.at < fetchTimeout {
		return
	}
	m.fetch = fetch{peer: peer, at: m.now}
	m.emit(Fetch{peer})
}

// fetchHighest requests the text of the peer with the highest mark.
func (m *Machine) fetchHighest() {
	if peer, ok := m.highestPeer(); ok {
		m.startFetch(peer)
	}
}

// highestPeer returns the peer with the highest mark above the best reading. Equal marks are
// ordered by node id, so that a replay makes the same choice.
func (m *Machine) highestPeer() (core.NodeID, bool) {
	var best core.NodeID
	highest := m.current.Mark
	for id, peer := range m.gather.peers {
		if peer.state != answered || peer.mark == m.refused.Mark || peer.mark == m.refusedPeer {
			continue
		}
		if peer.mark.Supersedes(highest) || best != "" && peer.mark == highest && id < best {
			best, highest = id, peer.mark
		}
	}
	return best, best != ""
}

// gatheringDone decides when a starting node may serve: a text is at hand, no peer reported a
// higher one, and the service and a peer of each data centre have answered or failed. Unanswered
// requests are awaited for StartWait, a higher text for twice that. So while the service is down
// the peers suffice, and while no peer is reachable the service suffices. With neither, the node
// keeps asking.
func (m *Machine) gatheringDone() bool {
	if m.current.Mark.Revision == 0 {
		return false
	}
	waited := m.now - m.gather.startedAt
	if _, higherKnown := m.highestPeer(); higherKnown {
		return waited >= 2*StartWait
	}
	return waited >= StartWait || m.gather.settled()
}

// settled reports whether the service and, in each data centre, one peer have answered, or all
// requests there have failed.
func (g *gather) settled() bool {
	if g.serviceState == pending || !g.viewKnown {
		return false
	}
	pendingDataCentres := map[string]bool{}
	for _, peer := range g.peers {
		if peer.state == pending {
			pendingDataCentres[peer.dataCentre] = true
		}
	}
	for _, peer := range g.peers {
		if peer.state == answered {
			delete(pendingDataCentres, peer.dataCentre)
		}
	}
	return len(pendingDataCentres) == 0
}

// GatherRetryInterval is how often a starting node without any text asks again.
const GatherRetryInterval = time.Second
