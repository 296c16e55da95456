package confwatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/core/era"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

const (
	hop         = 1500 * time.Microsecond
	dialTimeout = 2 * time.Second
	awaitLimit  = 2 * time.Minute
)

var errUnreached = errors.New("unreached")

// world is a service and nodes in one process, in the virtual time of a
// synctest bubble. Messages take one hop each way. All delays are goroutines
// that sleep: timers with a channel or a function made the race detector's own
// code crash in such a bubble now and then (go 1.26.8).
type world struct {
	t      *testing.T
	mutex  sync.Mutex
	config confservice.Config
	// era counts how often the service came back from a copy.
	era     uint64
	changed chan struct{}
	reads   int
	down    bool
	// cut reports whether a node cannot reach another; "" is the service.
	cut func(from, to core.NodeID) bool
	// mute, when set, says which links are open and carry nothing.
	mute func(from, to core.NodeID) bool
	// shown, when set, is what the service shows a node in place of config.
	shown func(to core.NodeID) confservice.Config
	// tamper, when set, changes the replies on their way.
	tamper func(*peerpb.Envelope)
	bytes  map[core.NodeID]int
	nodes  []*node
	over   chan struct{}
}

type node struct {
	route.Node
	world    *world
	belief   *belief.Store
	problems *observe.Problems
	watcher  *Watcher
	// adopted lists the revisions that were in force, in order.
	adopted []uint64
}

// inWorld runs a test with nodes spread over data centres. The nodes are not
// started yet.
func inWorld(t *testing.T, nodes, dataCentres int, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, changed: make(chan struct{}), over: make(chan struct{}), bytes: map[core.NodeID]int{}, cut: func(_, _ core.NodeID) bool { return false }}
		for n := range nodes {
			w.nodes = append(w.nodes, w.newNode(n, dataCentres))
		}
		test(w)
		for _, one := range w.nodes {
			one.watcher.Close()
		}
		close(w.over)
		// Messages, dials and watches under way end before the bubble does.
		time.Sleep(config.WatchWait)
	})
}

func (w *world) newNode(n, dataCentres int) *node {
	id := core.NodeID(fmt.Sprintf("vm-%03d", n))
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := time.Now()
	now := func() core.Time { return time.Since(started) }
	one := &node{
		Node:     route.Node{ID: id, DataCentre: fmt.Sprintf("dc%d", n%dataCentres), PeerAddress: string(id)},
		world:    w,
		belief:   belief.NewStore(),
		problems: observe.NewProblems(now),
	}
	one.belief.OnChange(one.noteRevision)
	one.watcher = New(Options{
		Self: id, DataCentre: one.DataCentre, Service: one, Belief: one.belief, Peers: one,
		Now: now, Ticks: w.ticks(), Log: log, Problems: one.problems, Metrics: observe.NewRegistry(), Seed: uint64(n),
	})
	return one
}

func (w *world) ticks() <-chan time.Time {
	ticks := make(chan time.Time)
	go func() {
		for {
			time.Sleep(tickEvery)
			select {
			case ticks <- time.Now():
			case <-w.over:
				return
			}
		}
	}()
	return ticks
}

// noteRevision checks in every test that the revision never goes down.
func (n *node) noteRevision() {
	inForce := n.belief.Config()
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	if inForce == nil {
		return
	}
	if len(n.adopted) > 0 && inForce.Revision < n.adopted[len(n.adopted)-1] {
		n.world.t.Errorf("%s: revision %d after %v", n.ID, inForce.Revision, n.adopted)
	}
	n.adopted = append(n.adopted, inForce.Revision)
}

// first returns the revision that the node had in force first.
func (n *node) first() uint64 {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	return n.adopted[0]
}

// start starts nodes that see all nodes of the world.
func (w *world) start(nodes ...*node) {
	list := make([]route.Node, 0, len(w.nodes))
	for _, one := range w.nodes {
		list = append(list, one.Node)
	}
	view := route.NewView(list)
	for _, one := range nodes {
		one.belief.SetView(view)
		one.watcher.Start()
	}
}

func (w *world) set(change func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	change()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) publish(revision uint64, text string) {
	w.set(func() { w.config = confservice.Config{Revision: revision, Text: text} })
}

// partition cuts the world in two: the named side and the rest.
func (w *world) partition(side func(core.NodeID) bool) {
	w.set(func() { w.cut = func(from, to core.NodeID) bool { return side(from) != side(to) } })
}

func (w *world) heal() {
	w.set(func() { w.cut = func(_, _ core.NodeID) bool { return false } })
}

func (w *world) isCut(from, to core.NodeID) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.cut(from, to)
}

func (w *world) isMute(from, to core.NodeID) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.mute != nil && w.mute(from, to)
}

// await runs the world until the condition holds, and returns how long it took.
func (w *world) await(what string, condition func() bool) time.Duration {
	w.t.Helper()
	start := time.Now()
	for !condition() {
		require.Less(w.t, time.Since(start), awaitLimit, what)
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// everywhere reports whether the text is in force at all of the nodes.
func everywhere(nodes []*node, revision uint64, text string) func() bool {
	return func() bool {
		for _, one := range nodes {
			if inForce := one.belief.Config(); inForce == nil || inForce.Revision != revision || string(inForce.Text) != text {
				return false
			}
		}
		return true
	}
}

func (n *node) has(kind observe.Kind) bool {
	for _, problem := range n.problems.List() {
		if problem.Kind == kind {
			return true
		}
	}
	return false
}

// ReadConfig implements Reader in the manner of the platform's stand-in.
func (n *node) ReadConfig(ctx context.Context, after uint64, wait time.Duration) (confservice.Config, bool, error) {
	w := n.world
	over := make(chan struct{})
	later(wait, func() { close(over) })
	w.mutex.Lock()
	w.reads++
	w.mutex.Unlock()
	for {
		w.mutex.Lock()
		present, told, changed, unreached := w.config, w.era, w.changed, w.down || w.cut(n.ID, "")
		if w.shown != nil {
			present = w.shown(n.ID)
		}
		w.mutex.Unlock()
		if unreached {
			return confservice.Config{}, false, errUnreached
		}
		if wait == 0 || era.Of(after) != told || present.Revision != era.Revision(after) {
			present.Revision = era.Place(told, present.Revision)
			return present, true, nil
		}
		select {
		case <-changed:
		case <-over:
			return confservice.Config{}, false, nil
		case <-ctx.Done():
			return confservice.Config{}, false, ctx.Err()
		}
	}
}

// later runs a function after a while.
func later(wait time.Duration, run func()) {
	go func() {
		time.Sleep(wait)
		run()
	}()
}

type ticket struct{ cancel context.CancelFunc }

func (t ticket) Cancel() { t.cancel() }

// Send implements peer.Sender. A node that is cut off is noticed only after the
// dial's time, and what is under way then is lost without a word.
func (n *node) Send(target peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	w := n.world
	ctx, cancel := context.WithCancel(context.Background())
	w.count(n.ID, request)
	if w.isMute(n.ID, target.Node) {
		return ticket{cancel}
	}
	if w.isCut(n.ID, target.Node) {
		later(dialTimeout, func() {
			if ctx.Err() == nil {
				sink(nil, &peer.LinkError{Peer: target, Outcome: core.NotRun, Cause: errUnreached})
			}
		})
		return ticket{cancel}
	}
	later(hop, func() { w.deliver(ctx, n, target.Node, request, sink) })
	return ticket{cancel}
}

func (w *world) deliver(ctx context.Context, from *node, to core.NodeID, request *peerpb.Envelope, sink peer.Sink) {
	w.count(to, request)
	reply := func(reply *peerpb.Envelope) {
		w.count(to, reply)
		if w.tamper != nil {
			reply = proto.Clone(reply).(*peerpb.Envelope)
			w.tamper(reply)
		}
		later(hop, func() {
			if ctx.Err() == nil && !w.isCut(from.ID, to) && !w.isMute(from.ID, to) {
				w.count(from.ID, reply)
				sink(reply, nil)
			}
		})
	}
	for _, one := range w.nodes {
		if one.ID == to && ctx.Err() == nil {
			one.watcher.Handle(peer.NewInbound(ctx, peer.Identity{Node: from.ID}, request, reply))
		}
	}
}

func (w *world) count(id core.NodeID, message proto.Message) {
	size := proto.Size(message)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.bytes[id] += size
}

// resetCounts starts counting anew.
func (w *world) resetCounts() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.reads = 0
	clear(w.bytes)
}

// counts returns the service reads, and the bytes of peer messages in all and
// of the node that had the most.
func (w *world) counts() (reads, total, most int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, bytes := range w.bytes {
		total += bytes
		most = max(most, bytes)
	}
	return w.reads, total, most
}

// silence makes the links of the named nodes carry nothing, without breaking.
func (w *world) silence(named func(core.NodeID) bool) {
	w.set(func() {
		w.mute = func(from, to core.NodeID) bool { return named(from) || named(to) }
	})
}

// digest is how a text is marked.
func digest(text string) uint64 { return xxhash.Sum64String(text) }
