package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

const (
	// updateInterval is the minimum time between two sends of updates. The first update is sent at once, because the
	// next attempt of its request may reach another node within a millisecond, and so is one that sets a request aside.
	// The others that follow within the interval are sent together: the replicas of many shards end within milliseconds
	// of each other.
	updateInterval = 5 * time.Millisecond
	// compareInterval is how often two nodes with different digests exchange their records. The interval doubles, at
	// most maxDoublings times, while the exchanges change nothing.
	compareInterval = time.Second
	maxDoublings    = 6
	// maxRecords limits the records in one comparison message. A record has up to 0.7 KB.
	maxRecords = 64
)

// sendUpdates sends the queued records to all targets. The links connect all nodes, and each node forwards the records that
// were new to it, so an update reaches every node within a few round trips even if some links fail.
func (r *ReplicatedLedger) sendUpdates() {
	records, sources := r.takeQueued()
	if len(records) == 0 {
		return
	}
	for _, target := range r.updateTargets() {
		message := &peerpb.QuarantineNews{}
		for i, record := range records {
			if sources[i] != target.Node {
				message.Records = append(message.Records, record)
			}
		}
		if len(message.Records) > 0 {
			r.ask(target, message)
		}
	}
}

// minUpdateTargets is the minimum number of nodes that an update is sent to, if that many other nodes are live.
const minUpdateTargets = 3

// updateTargets returns the nodes to send updates to: those with an open link and, if there are fewer than
// minUpdateTargets, the successors of this node in the order of IDs. Shortly after startup a node has opened at most one
// link, and an update would not reach a node without incoming links until a heartbeat. Every node is the successor of
// another one, so updates reach all of them.
func (r *ReplicatedLedger) updateTargets() []peer.Target {
	targets := r.links.Linked()
	if r.options.Nodes == nil || len(targets) >= minUpdateTargets {
		return targets
	}
	nodes := r.options.Nodes()
	self, _ := slices.BinarySearchFunc(nodes, r.options.Self, func(node route.Node, id core.NodeID) int { return cmp.Compare(node.ID, id) })
	for i := 1; i < len(nodes) && len(targets) < minUpdateTargets; i++ {
		successor := nodes[(self+i)%len(nodes)]
		linked := slices.ContainsFunc(targets, func(target peer.Target) bool { return target.Node == successor.ID })
		if successor.ID != r.options.Self && !linked {
			targets = append(targets, peer.Target{Node: successor.ID, Address: successor.PeerAddress})
		}
	}
	return targets
}

func (r *ReplicatedLedger) takeQueued() (records []*peerpb.QuarantineRecord, sources []core.NodeID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	for key, from := range r.queued {
		if known := r.ledger.Get(key); known != nil {
			records, sources = append(records, encode(known, now)), append(sources, from)
		}
	}
	clear(r.queued)
	return records, sources
}

func (r *ReplicatedLedger) ask(target peer.Target, message *peerpb.QuarantineNews) {
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_QuarantineNews{QuarantineNews: message}}
	r.links.Send(target, envelope, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		// Records that are lost with a link are found by comparing digests.
		if failure == nil {
			r.applyRecords(target.Node, reply.GetQuarantineNews())
		}
	})
}

// CompareDigest compares the digest of another node with this node's. If they differ, the nodes exchange their records. A
// node that has started, or was partitioned, thus gets the records that it missed with its first heartbeat.
func (r *ReplicatedLedger) CompareDigest(from peer.Target, digest uint64) {
	if digest == r.digest.Load() {
		return
	}
	if message := r.comparisonRequest(from.Node); message != nil {
		r.ask(from, message)
	}
}

// comparison holds when the records of another node were last requested, and how many exchanges in a row changed nothing.
type comparison struct {
	at        core.Time
	unchanged int
}

// comparisonRequest returns the message that requests a node's records, or nil if the interval has not passed. If more
// requests are set aside than a message holds, two nodes may never agree, so the interval grows while the exchanges change
// nothing.
func (r *ReplicatedLedger) comparisonRequest(node core.NodeID) *peerpb.QuarantineNews {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last, asked := r.comparisons[node]
	if asked && now-last.at < compareInterval<<min(last.unchanged, maxDoublings) {
		return nil
	}
	r.comparisons[node] = comparison{at: now, unchanged: last.unchanged + 1}
	return &peerpb.QuarantineNews{Records: r.untrustedRecords(now), All: true}
}

// untrustedRecords returns the records of requests that are not trusted, at most maxRecords of them, the most severe first.
// The mutex must be held.
func (r *ReplicatedLedger) untrustedRecords(now core.Time) []*peerpb.QuarantineRecord {
	var list []*peerpb.QuarantineRecord
	for _, record := range r.ledger.Records() {
		if record.Severity() == quarantine.Trusted || len(list) >= maxRecords {
			break
		}
		list = append(list, encode(record, now))
	}
	return list
}

// Handle handles an update or a comparison request of another node.
func (r *ReplicatedLedger) Handle(inbound *peer.Inbound) {
	message := inbound.Envelope.GetQuarantineNews()
	r.applyRecords(inbound.From.Node, message)
	reply := &peerpb.QuarantineNews{}
	if message.GetAll() {
		r.mutex.Lock()
		reply.Records = r.untrustedRecords(r.options.Now())
		r.mutex.Unlock()
	}
	inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_QuarantineNews{QuarantineNews: reply}}, true)
}

func (r *ReplicatedLedger) applyRecords(from core.NodeID, message *peerpb.QuarantineNews) {
	for _, encoded := range message.GetRecords() {
		now := r.options.Now()
		if record, ok := decode(encoded, now); ok {
			r.apply(from, func() []quarantine.Change { return r.mergeFrom(from, record, now) })
		}
	}
}

// mergeFrom merges a record from a node. If the record changes the ledger, the interval to the next comparison with the
// node is reset. The mutex must be held.
func (r *ReplicatedLedger) mergeFrom(from core.NodeID, record quarantine.Record, now core.Time) []quarantine.Change {
	changes := r.ledger.Merge(record, now)
	if len(changes) > 0 {
		delete(r.comparisons, from)
	}
	return changes
}
