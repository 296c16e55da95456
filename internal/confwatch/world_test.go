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
	messageDelay = 1500 * time.Microsecond
	dialTimeout  = 2 * time.Second
	awaitLimit   = 2 * time.Minute
)

var errUnreached = errors.New("unreached")

// simulation runs a service and nodes in one process, in the virtual time of a
// synctest bubble. A message takes messageDelay each way. All delays are goroutines
// that sleep, because timers with a channel or a function occasionally crashed the
// race detector in such a bubble (go 1.26.8).
type simulation struct {
	t      *testing.T
	mutex  sync.Mutex
	config confservice.Config
	// era counts how often the service was restored from a copy.
	era     uint64
	changed chan struct{}
	reads   int
	down    bool
	// cut reports whether from cannot reach to; "" is the service.
	cut func(from, to core.NodeID) bool
	// silent, when set, reports whether a link is open and drops all messages.
	silent func(from, to core.NodeID) bool
	// offered, when set, returns the configuration that the service offers a node in place of config.
	offered func(to core.NodeID) confservice.Config
	// tamper, when set, changes replies in transit.
	tamper func(*peerpb.Envelope)
	bytes  map[core.NodeID]int
	nodes  []*node
	ended  chan struct{}
}

type node struct {
	route.Node
	simulation *simulation
	belief     *belief.Store
	problems   *observe.Problems
	watcher    *Watcher
	// revisions lists the revisions that were in force at the node, in order.
	revisions []uint64
}

// runSimulation runs a test with nodes spread over data centres. The nodes are not
// started yet.
func runSimulation(t *testing.T, nodes, dataCentres int, test func(s *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		s := &simulation{t: t, changed: make(chan struct{}), ended: make(chan struct{}), bytes: map[core.NodeID]int{}, cut: func(_, _ core.NodeID) bool { return false }}
		for n := range nodes {
			s.nodes = append(s.nodes, s.newNode(n, dataCentres))
		}
		test(s)
		for _, node := range s.nodes {
			node.watcher.Close()
		}
		close(s.ended)
		// Messages, dials and watches in flight must end before the bubble does.
		time.Sleep(config.WatchWait)
	})
}

func (s *simulation) newNode(n, dataCentres int) *node {
	id := core.NodeID(fmt.Sprintf("vm-%03d", n))
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := time.Now()
	now := func() core.Time { return time.Since(started) }
	node := &node{
		Node:       route.Node{ID: id, DataCentre: fmt.Sprintf("dc%d", n%dataCentres), PeerAddress: string(id)},
		simulation: s,
		belief:     belief.NewStore(),
		problems:   observe.NewProblems(now),
	}
	node.belief.OnChange(node.recordRevision)
	node.watcher = New(Options{
		Self: id, DataCentre: node.DataCentre, Service: node, Belief: node.belief, Peers: node,
		Now: now, Ticks: s.ticks(), Log: log, Problems: node.problems, Metrics: observe.NewRegistry(), Seed: uint64(n),
	})
	return node
}

func (s *simulation) ticks() <-chan time.Time {
	ticks := make(chan time.Time)
	go func() {
		for {
			time.Sleep(tickInterval)
			select {
			case ticks <- time.Now():
			case <-s.ended:
				return
			}
		}
	}()
	return ticks
}

// recordRevision checks in every test that the revision never goes down.
func (n *node) recordRevision() {
	inForce := n.belief.Config()
	n.simulation.mutex.Lock()
	defer n.simulation.mutex.Unlock()
	if inForce == nil {
		return
	}
	if len(n.revisions) > 0 && inForce.Revision < n.revisions[len(n.revisions)-1] {
		n.simulation.t.Errorf("%s: revision %d after %v", n.ID, inForce.Revision, n.revisions)
	}
	n.revisions = append(n.revisions, inForce.Revision)
}

// firstRevision returns the revision that the node had in force first.
func (n *node) firstRevision() uint64 {
	n.simulation.mutex.Lock()
	defer n.simulation.mutex.Unlock()
	return n.revisions[0]
}

// start starts nodes whose view has all nodes of the simulation.
func (s *simulation) start(nodes ...*node) {
	list := make([]route.Node, 0, len(s.nodes))
	for _, node := range s.nodes {
		list = append(list, node.Node)
	}
	view := route.NewView(list)
	for _, node := range nodes {
		node.belief.SetView(view)
		node.watcher.Start()
	}
}

func (s *simulation) update(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simulation) publish(revision uint64, text string) {
	s.update(func() { s.config = confservice.Config{Revision: revision, Text: text} })
}

// partition cuts the links, including those to the service, between the given side and the rest.
func (s *simulation) partition(side func(core.NodeID) bool) {
	s.update(func() { s.cut = func(from, to core.NodeID) bool { return side(from) != side(to) } })
}

func (s *simulation) heal() {
	s.update(func() { s.cut = func(_, _ core.NodeID) bool { return false } })
}

func (s *simulation) isCut(from, to core.NodeID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cut(from, to)
}

func (s *simulation) isSilent(from, to core.NodeID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent != nil && s.silent(from, to)
}

// await waits until the condition holds, and returns how long it took.
func (s *simulation) await(what string, condition func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !condition() {
		require.Less(s.t, time.Since(start), awaitLimit, what)
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// everywhere reports whether the text is in force at all of the nodes under the revision.
func everywhere(nodes []*node, revision uint64, text string) func() bool {
	return func() bool {
		for _, node := range nodes {
			if inForce := node.belief.Config(); inForce == nil || inForce.Revision != revision || string(inForce.Text) != text {
				return false
			}
		}
		return true
	}
}

func (n *node) hasProblem(kind observe.Kind) bool {
	for _, problem := range n.problems.List() {
		if problem.Kind == kind {
			return true
		}
	}
	return false
}

// ReadConfig implements Reader like the platform's stand-in does.
func (n *node) ReadConfig(ctx context.Context, after uint64, wait time.Duration) (confservice.Config, bool, error) {
	s := n.simulation
	expired := make(chan struct{})
	runAfter(wait, func() { close(expired) })
	s.mutex.Lock()
	s.reads++
	s.mutex.Unlock()
	for {
		s.mutex.Lock()
		present, serviceEra, changed, unreached := s.config, s.era, s.changed, s.down || s.cut(n.ID, "")
		if s.offered != nil {
			present = s.offered(n.ID)
		}
		s.mutex.Unlock()
		if unreached {
			return confservice.Config{}, false, errUnreached
		}
		if wait == 0 || era.Of(after) != serviceEra || present.Revision != era.Revision(after) {
			present.Revision = era.Place(serviceEra, present.Revision)
			return present, true, nil
		}
		select {
		case <-changed:
		case <-expired:
			return confservice.Config{}, false, nil
		case <-ctx.Done():
			return confservice.Config{}, false, ctx.Err()
		}
	}
}

// runAfter runs a function after the given time.
func runAfter(wait time.Duration, run func()) {
	go func() {
		time.Sleep(wait)
		run()
	}()
}

type canceller struct{ cancel context.CancelFunc }

func (c canceller) Cancel() { c.cancel() }

// Send implements peer.Sender. A partition fails new requests after dialTimeout and
// drops messages in flight without an error.
func (n *node) Send(target peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	s := n.simulation
	ctx, cancel := context.WithCancel(context.Background())
	s.count(n.ID, request)
	if s.isSilent(n.ID, target.Node) {
		return canceller{cancel}
	}
	if s.isCut(n.ID, target.Node) {
		runAfter(dialTimeout, func() {
			if ctx.Err() == nil {
				sink(nil, &peer.LinkError{Peer: target, Outcome: core.NotRun, Cause: errUnreached})
			}
		})
		return canceller{cancel}
	}
	runAfter(messageDelay, func() { s.deliver(ctx, n, target.Node, request, sink) })
	return canceller{cancel}
}

func (s *simulation) deliver(ctx context.Context, from *node, to core.NodeID, request *peerpb.Envelope, sink peer.Sink) {
	s.count(to, request)
	reply := func(reply *peerpb.Envelope) {
		s.count(to, reply)
		if s.tamper != nil {
			reply = proto.Clone(reply).(*peerpb.Envelope)
			s.tamper(reply)
		}
		runAfter(messageDelay, func() {
			if ctx.Err() == nil && !s.isCut(from.ID, to) && !s.isSilent(from.ID, to) {
				s.count(from.ID, reply)
				sink(reply, nil)
			}
		})
	}
	for _, node := range s.nodes {
		if node.ID == to && ctx.Err() == nil {
			node.watcher.Handle(peer.NewInbound(ctx, peer.Identity{Node: from.ID}, request, reply))
		}
	}
}

func (s *simulation) count(id core.NodeID, message proto.Message) {
	size := proto.Size(message)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bytes[id] += size
}

// resetCounts resets the counts to zero.
func (s *simulation) resetCounts() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads = 0
	clear(s.bytes)
}

// counts returns the number of service reads, the bytes of peer messages at all nodes
// and the bytes at the node with the most.
func (s *simulation) counts() (reads, total, most int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, bytes := range s.bytes {
		total += bytes
		most = max(most, bytes)
	}
	return s.reads, total, most
}

// silenceLinks makes the links of the named nodes drop all messages while they stay open.
func (s *simulation) silenceLinks(named func(core.NodeID) bool) {
	s.update(func() {
		s.silent = func(from, to core.NodeID) bool { return named(from) || named(to) }
	})
}

// digest returns the digest of a text.
func digest(text string) uint64 { return xxhash.Sum64String(text) }
