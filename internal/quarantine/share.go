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
	// gather is how long news is gathered before it is told: the replicas of many shards end within milliseconds of
	// each other.
	gather = 5 * time.Millisecond
	// compareEvery is how often two nodes that know different things of requests that are set aside tell each other
	// all; the pause doubles while that brings nothing, maxDoublings times at most.
	compareEvery = time.Second
	maxDoublings = 6
	// maxWhole bounds the records in one message, at up to 0.7 KB each.
	maxWhole = 64
)

// tell passes news on over each link. Links make a net that joins all nodes, and each passes on what it did not know: so
// news reaches every node within some round trips, over whichever links hold.
func (d *Duty) tell() {
	records, sources := d.takeNews()
	if len(records) == 0 {
		return
	}
	for _, target := range d.newsTargets() {
		message := &peerpb.QuarantineNews{}
		for i, one := range records {
			if sources[i] != target.Node {
				message.Records = append(message.Records, one)
			}
		}
		if len(message.Records) > 0 {
			d.ask(target, message)
		}
	}
}

// minNewsTargets is the number of nodes that news is sent to at least, if that many other nodes are live.
const minNewsTargets = 3

// newsTargets returns the nodes to send news to: those with an open link and, if there are fewer than minNewsTargets,
// the successors of this node in the order of ids. Shortly after startup a node has opened at most one link, and news
// would not reach a node without incoming links until a heartbeat. Every node is the successor of another one, so
// that news reaches all of them.
func (d *Duty) newsTargets() []peer.Target {
	targets := d.links.Linked()
	if d.options.Nodes == nil || len(targets) >= minNewsTargets {
		return targets
	}
	nodes := d.options.Nodes()
	self, _ := slices.BinarySearchFunc(nodes, d.options.Self, func(node route.Node, id core.NodeID) int { return cmp.Compare(node.ID, id) })
	for i := 1; i < len(nodes) && len(targets) < minNewsTargets; i++ {
		successor := nodes[(self+i)%len(nodes)]
		linked := slices.ContainsFunc(targets, func(target peer.Target) bool { return target.Node == successor.ID })
		if successor.ID != d.options.Self && !linked {
			targets = append(targets, peer.Target{Node: successor.ID, Address: successor.PeerAddress})
		}
	}
	return targets
}

func (d *Duty) takeNews() (records []*peerpb.QuarantineRecord, sources []core.NodeID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.options.Now()
	for key, from := range d.news {
		if known := d.ledger.Get(key); known != nil {
			records, sources = append(records, encode(known, now)), append(sources, from)
		}
	}
	clear(d.news)
	return records, sources
}

func (d *Duty) ask(target peer.Target, message *peerpb.QuarantineNews) {
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_QuarantineNews{QuarantineNews: message}}
	d.links.Send(target, envelope, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		// What a lost link did not carry is found by comparing digests.
		if failure == nil {
			d.takeUp(target.Node, reply.GetQuarantineNews())
		}
	})
}

// Heard compares what another node knows of requests that are set aside, and asks it for all where that differs. A
// node that has started, or comes back from behind a partition, so has what it missed with the first heartbeat.
func (d *Duty) Heard(from peer.Target, digest uint64) {
	if digest == d.digest.Load() {
		return
	}
	if message := d.compareWith(from.Node); message != nil {
		d.ask(from, message)
	}
}

// comparison is when a node was last asked for all, and how often in a row that brought nothing.
type comparison struct {
	at   core.Time
	vain int
}

// compareWith makes the message that asks a node for all; nil when it is too soon. Where more is set aside than
// a message holds, two nodes may never agree: the pause grows while comparing brings nothing.
func (d *Duty) compareWith(node core.NodeID) *peerpb.QuarantineNews {
	now := d.options.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last, asked := d.compared[node]
	if asked && now-last.at < compareEvery<<min(last.vain, maxDoublings) {
		return nil
	}
	d.compared[node] = comparison{at: now, vain: last.vain + 1}
	return &peerpb.QuarantineNews{Records: d.all(now), All: true}
}

// all lists what is known, the most severe first; the mutex must be held.
func (d *Duty) all(now core.Time) []*peerpb.QuarantineRecord {
	var list []*peerpb.QuarantineRecord
	for _, one := range d.ledger.Records() {
		if one.Severity() == quarantine.Trusted || len(list) >= maxWhole {
			break
		}
		list = append(list, encode(one, now))
	}
	return list
}

// Handle takes what another node tells.
func (d *Duty) Handle(inbound *peer.Inbound) {
	message := inbound.Envelope.GetQuarantineNews()
	d.takeUp(inbound.From.Node, message)
	reply := &peerpb.QuarantineNews{}
	if message.GetAll() {
		d.mutex.Lock()
		reply.Records = d.all(d.options.Now())
		d.mutex.Unlock()
	}
	inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_QuarantineNews{QuarantineNews: reply}}, true)
}

func (d *Duty) takeUp(from core.NodeID, message *peerpb.QuarantineNews) {
	for _, one := range message.GetRecords() {
		now := d.options.Now()
		if record, ok := decode(one, now); ok {
			d.take(from, func() []quarantine.Change { return d.learn(from, record, now) })
		}
	}
}

// learn merges what a node told. One that brings something new is compared with again soon; the mutex must be held.
func (d *Duty) learn(from core.NodeID, record quarantine.Record, now core.Time) []quarantine.Change {
	changes := d.ledger.Merge(record, now)
	if len(changes) > 0 {
		delete(d.compared, from)
	}
	return changes
}
