package member_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiopier/pistachiopier/internal/core"
	. "github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/membership"
)

// overhead is what a QUIC packet adds to a heartbeat on IPv4, in bytes: IP 20, UDP 8, QUIC and TLS
// 30, frame and envelope 10, and the bare acknowledgement of every other packet.
const overhead = 20 + 8 + 30 + 10 + 35

// network passes messages between machines in virtual time.
type network struct {
	random  *rand.Rand
	now     core.Time
	queue   deliveries
	order   uint64
	nodes   []*node
	byID    map[core.NodeID]*node
	blocked func(from, to *node) bool
	loss    float64
	// messages and bytes count what all nodes sent; crossDataCentreBytes counts the bytes between
	// data centres.
	messages, bytes, crossDataCentreBytes int
	replies                               map[ReplyID]func(*Message)
	// onSend, if set, is called for each heartbeat that a node sends.
	onSend func(from, to *node)
}

type node struct {
	route.Node
	machine *Machine
	stopped bool
	paused  bool
	// ending is set when a planned stop no longer takes messages and refuses links.
	ending     bool
	confirming bool
	split      bool
	published  int
	view       *route.View
	drains     []string
	revision   uint64
}

type delivery struct {
	at    core.Time
	order uint64
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// emptyNetwork returns a network without machines.
func emptyNetwork(seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, 1)), byID: map[core.NodeID]*node{}, replies: map[ReplyID]func(*Message){}}
}

func newNetwork(seed uint64, count int) *network {
	w := emptyNetwork(seed)
	for i := range count {
		w.add(i, 1)
	}
	w.listAll(w.nodes)
	return w
}

func testNode(i int) route.Node {
	return route.Node{ID: core.NodeID(fmt.Sprintf("vm-%03d", i)), DataCentre: fmt.Sprintf("dc%d", i%4+1), PeerAddress: fmt.Sprintf("10.1.%d.%d:7002", i/250, i%250), CallerAddress: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250)}
}

func (w *network) add(i int, incarnation uint64) *node {
	return w.addWith(Config{Self: testNode(i), Incarnation: 1_790_000_000_000_000_000 + incarnation})
}

func (w *network) addWith(config Config) *node {
	n := &node{Node: config.Self}
	n.machine = New(config)
	n.view = n.machine.View()
	w.nodes = append(w.nodes, n)
	w.byID[n.ID] = n
	w.after(core.Time(w.random.Int64N(int64(TickInterval))), func() { w.tick(n) })
	return n
}

func (w *network) listAll(nodes []*node) {
	var listed []ListedNode
	for _, n := range nodes {
		listed = append(listed, ListedNode{Node: n.Node})
	}
	for _, n := range w.nodes {
		w.step(n, VMList{Nodes: listed})
	}
}

func (w *network) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, delivery{w.now + d, w.order, run})
}

func (w *network) tick(n *node) {
	if n.stopped {
		return
	}
	if !n.paused {
		w.step(n, Tick{Revision: n.revision})
	}
	w.after(TickInterval, func() { w.tick(n) })
}

func (w *network) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(delivery)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *network) step(n *node, event Event) {
	if n.stopped || n.paused {
		return
	}
	actions := append([]Action(nil), n.machine.Step(w.now, event)...)
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			w.send(n, a)
		case Reply:
			w.replies[a.ReplyID](a.Message)
			delete(w.replies, a.ReplyID)
		case Publish:
			n.published++
			n.view = a.View
		case PublishDrains:
			n.drains = a.Addresses
		case SetPaused:
			n.confirming = a.Paused
		case SplitView:
			n.split = a.Present
		}
	}
}

// send passes a heartbeat and its reply between nodes; each may be lost independently.
func (w *network) send(from *node, a Send) {
	to := w.byID[a.To.ID]
	if w.onSend != nil && to != nil {
		w.onSend(from, to)
	}
	if to != nil && to.ending {
		w.refuse(from, to, a.Probe)
		return
	}
	w.transmit(from, to, a.Message, func(message *Message) {
		w.deliver(from, to, a.Probe, message)
	})
}

// refuse ends a heartbeat to a node that refuses links: the sender learns it at once, from the heartbeat and from the link.
func (w *network) refuse(from, to *node, probe ProbeID) {
	w.after(2*time.Millisecond, func() {
		w.step(from, ProbeFailed{Probe: probe})
		w.step(from, RequestsFailed{Node: to.ID})
	})
}

func (w *network) transmit(from, to *node, message *Message, arrive func(*Message)) {
	encoded, _ := proto.Marshal(membership.Encode(message))
	w.messages++
	w.bytes += len(encoded) + overhead
	if to == nil || from.DataCentre != to.DataCentre {
		w.crossDataCentreBytes += len(encoded) + overhead
	}
	if to == nil || w.blocked != nil && w.blocked(from, to) || w.random.Float64() < w.loss {
		return
	}
	w.after(time.Millisecond+time.Duration(w.random.Int64N(int64(2*time.Millisecond))), func() { arrive(message) })
}

// deliver hands a heartbeat to its receiver and transmits the reply, even when it is late.
func (w *network) deliver(from, to *node, probe ProbeID, message *Message) {
	if to.stopped || to.paused {
		return
	}
	w.order++
	replyID := ReplyID(w.order)
	w.replies[replyID] = func(reply *Message) {
		w.transmit(to, from, reply, func(reply *Message) { w.step(from, ReplyReceived{Probe: probe, Message: reply}) })
	}
	w.step(to, HeartbeatReceived{ReplyID: replyID, Message: message})
}

var sizes = flag.String("sizes", "8,64", "the fleet sizes to measure")
