package quarantine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// convergeLimit bounds the wait until all nodes have the same records.
const convergeLimit = 20 * time.Second

// cluster is a set of ledgers with links in memory. The lost messages are drawn with a fixed seed.
type cluster struct {
	mutex  sync.Mutex
	random *rand.Rand
	// lossRate is the share of messages that are lost. partitioned, if set, reports whether no message passes between
	// two nodes.
	lossRate    float64
	partitioned func(from, to int) bool
	ledgers     []*ReplicatedLedger
	// messages counts the messages sent.
	messages int
}

// linksPerNode is the number of links of each node. It equals the number of heartbeat rings.
const linksPerNode = 4

func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	n := &cluster{random: rand.New(rand.NewPCG(uint64(nodes), 1))}
	started := time.Now()
	for range nodes {
		n.ledgers = append(n.ledgers, New(Options{Now: func() core.Time { return time.Since(started) }}))
	}
	for i, ledger := range n.ledgers {
		ledger.Start(&links{cluster: n, at: i, to: n.linksOf(i)})
	}
	t.Cleanup(func() {
		for _, ledger := range n.ledgers {
			ledger.Close()
		}
	})
	return n
}

// linksOf draws the links of a node; the first one closes a ring.
func (n *cluster) linksOf(at int) []int {
	to := []int{(at + 1) % len(n.ledgers)}
	for len(to) < linksPerNode {
		to = append(to, n.random.IntN(len(n.ledgers)))
	}
	return to
}

func (n *cluster) delivers(from, to int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.messages++
	return n.random.Float64() >= n.lossRate && (n.partitioned == nil || !n.partitioned(from, to))
}

// heartbeats exchanges the digests over all links.
func (n *cluster) heartbeats() {
	for i, ledger := range n.ledgers {
		links := ledger.links.(*links)
		for _, to := range links.to {
			if n.delivers(i, to) {
				n.ledgers[to].CompareDigest(target(i), ledger.Digest())
				ledger.CompareDigest(target(to), n.ledgers[to].Digest())
			}
		}
	}
}

// agree reports whether the request has the given standing at all nodes.
func (n *cluster) agree(identity quarantine.Identity, standing quarantine.Standing) bool {
	for _, ledger := range n.ledgers {
		if ledger.Assess(func() quarantine.Identity { return identity }, nil).Request != standing {
			return false
		}
	}
	return true
}

type links struct {
	cluster *cluster
	at      int
	to      []int
}

func target(node int) peer.Target { return peer.Target{Node: core.NodeID(fmt.Sprint(node))} }

func (l *links) Linked() []peer.Target {
	var targets []peer.Target
	for _, node := range l.to {
		targets = append(targets, target(node))
	}
	return targets
}

type noopCanceller struct{}

func (noopCanceller) Cancel() {}

// Send implements peer.Sender. A lost message gets no reply.
func (l *links) Send(to peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	number := 0
	_, _ = fmt.Sscan(string(to.Node), &number)
	if l.cluster.delivers(l.at, number) {
		go l.cluster.ledgers[number].Handle(peer.NewInbound(l.cluster.ledgers[number].ctx, peer.Identity{Node: target(l.at).Node}, request, func(reply *peerpb.Envelope) { sink(reply, nil) }))
	}
	return noopCanceller{}
}

var crashing = quarantine.Identity{Method: "GET", Host: "search.example", Path: "/all/deadly"}

// recordThreeEnds records that three replicas ended under the crashing request, each at a different node, two of them in
// trials.
func (n *cluster) recordThreeEnds() {
	for i := range 3 {
		marks := quarantine.Ended
		if i > 0 {
			marks |= quarantine.Trial
		}
		n.ledgers[i*(len(n.ledgers)-1)/2].RecordFacts(crashing, "deadly", "s", replica.Incarnation{ID: fmt.Sprint("i-", i)}, marks)
	}
}

// Each of three nodes detects the end of one replica, too few to set the request aside. All nodes must set it aside within
// a few round trips, for any number of nodes.
func TestAllNodesKnowSoonWhatEachSawAPartOf(t *testing.T) {
	for _, nodes := range []int{3, 30, 300, 780} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := newCluster(t, nodes)
			n.recordThreeEnds()
			require.Eventually(t, func() bool { return n.agree(crashing, quarantine.SetAside) }, convergeLimit, time.Millisecond)
			n.mutex.Lock()
			defer n.mutex.Unlock()
			t.Logf("%d messages, %.1f a node", n.messages, float64(n.messages)/float64(nodes))
		})
	}
}

// Guards against an update that is held back until others can be sent with it, while the next attempt of its request
// reaches another node: the first one, and one that sets the request aside.
func TestUpdatesThatMatterToTheNextAttemptAreSentAtOnce(t *testing.T) {
	n := &cluster{random: rand.New(rand.NewPCG(1, 1))}
	started := time.Now()
	for i := range 2 {
		ledger := New(Options{Now: func() core.Time { return time.Since(started) }})
		ledger.interval = time.Hour
		n.ledgers = append(n.ledgers, ledger)
		ledger.Start(&links{cluster: n, at: i, to: []int{1 - i}})
		t.Cleanup(ledger.Close)
	}
	record := func(id string, marks quarantine.Fact) {
		n.ledgers[0].RecordFacts(crashing, "deadly", "s", replica.Incarnation{ID: id}, marks)
	}
	record("i-0", quarantine.Ended)
	require.Eventually(t, func() bool { return n.agree(crashing, quarantine.Suspect) }, convergeLimit, time.Millisecond)
	record("i-1", quarantine.Ended|quarantine.Trial)
	record("i-2", quarantine.Ended|quarantine.Trial)
	require.Eventually(t, func() bool { return n.agree(crashing, quarantine.SetAside) }, convergeLimit, time.Millisecond)
}

// Guards against an update that does not reach a node without incoming links, as happens shortly after startup.
func TestUpdatesReachANodeWithoutIncomingLinks(t *testing.T) {
	n := &cluster{random: rand.New(rand.NewPCG(1, 1))}
	started := time.Now()
	var nodes []route.Node
	for i := range 3 {
		nodes = append(nodes, route.Node{ID: target(i).Node})
	}
	for i := range nodes {
		n.ledgers = append(n.ledgers, New(Options{Now: func() core.Time { return time.Since(started) }, Self: nodes[i].ID, Nodes: func() []route.Node { return nodes }}))
	}
	for i, to := range [][]int{{1}, {0}, {0}} {
		n.ledgers[i].Start(&links{cluster: n, at: i, to: to})
		t.Cleanup(n.ledgers[i].Close)
	}
	n.ledgers[0].RecordFacts(crashing, "deadly", "s", replica.Incarnation{ID: "i"}, quarantine.Ended)
	require.Eventually(t, func() bool { return n.agree(crashing, quarantine.Suspect) }, convergeLimit, time.Millisecond)
}

// Half of all messages are lost, and with them most updates. The digests in heartbeats must reveal the nodes that differ.
func TestLostNewsIsFoundByComparing(t *testing.T) {
	n := newCluster(t, 30)
	n.lossRate = 0.5
	n.recordThreeEnds()
	require.Eventually(t, func() bool {
		n.heartbeats()
		return n.agree(crashing, quarantine.SetAside)
	}, convergeLimit, 50*time.Millisecond)
}

// The nodes are partitioned into halves, and replicas end in both. After the partition all nodes must know both requests.
func TestHalvesThatMeetAgainAgree(t *testing.T) {
	n := newCluster(t, 30)
	n.partitioned = func(from, to int) bool { return from%2 != to%2 }
	other := quarantine.Identity{Path: "/other"}
	for i := range 3 {
		n.ledgers[0].RecordFacts(crashing, "deadly", "s", replica.Incarnation{ID: fmt.Sprint("i-", i)}, quarantine.Ended|quarantine.Trial)
		n.ledgers[1].RecordFacts(other, "other", "s", replica.Incarnation{ID: fmt.Sprint("j-", i)}, quarantine.Ended|quarantine.Trial)
	}
	require.Eventually(t, func() bool { return n.ledgers[0].Digest() != 0 && n.ledgers[1].Digest() != 0 }, convergeLimit, time.Millisecond)
	n.mutex.Lock()
	n.partitioned = nil
	n.mutex.Unlock()
	require.Eventually(t, func() bool {
		n.heartbeats()
		return n.agree(crashing, quarantine.SetAside) && n.agree(other, quarantine.SetAside)
	}, convergeLimit, 50*time.Millisecond)
}

// All replicas of a data centre end at once, with popular queries in flight at hundreds of them. No node may set one aside,
// and an answer at any node clears the query there.
func TestPopularQuestionsAtALossOfADataCentreAreNotRefused(t *testing.T) {
	n := newCluster(t, 30)
	popular := func(i int) quarantine.Identity { return quarantine.Identity{Path: fmt.Sprint("/popular/", i)} }
	for lost := range 200 {
		for query := range 3 {
			n.ledgers[lost%30].RecordFacts(popular(query), "popular", "s", replica.Incarnation{ID: fmt.Sprint("i-", lost)}, quarantine.Ended)
		}
	}
	require.Eventually(t, func() bool { return n.agree(popular(0), quarantine.Suspect) }, convergeLimit, time.Millisecond)
	for query := range 3 {
		require.True(t, n.agree(popular(query), quarantine.Suspect))
	}
	require.Zero(t, n.ledgers[0].Digest())
	n.ledgers[7].RecordAnswer(func() quarantine.Names { return popular(0).Names() }, "s")
	require.Equal(t, quarantine.Trusted, n.ledgers[7].Assess(func() quarantine.Identity { return popular(0) }, nil).Request)
}

// More requests are set aside than a message holds, and two nodes know different ones. Guards against an exchange of tens of
// kilobytes each second that changes nothing.
func TestNodesThatCannotAgreeCompareRarely(t *testing.T) {
	n := newCluster(t, 2)
	now := core.Time(0)
	for node, ledger := range n.ledgers {
		ledger.options.Now = func() core.Time { return now }
		for request := range 3 * maxRecords {
			for incarnation := range 3 {
				ledger.ledger.Merge(quarantine.Record{Key: quarantine.Identity{Path: fmt.Sprint(node, request)}.Names().Exact, Facts: map[quarantine.Incarnation]quarantine.Fact{quarantine.Incarnation(1000*request + incarnation): quarantine.Ended | quarantine.Trial}}, 0)
			}
		}
		ledger.storeSummary()
	}
	asked := 0
	for ; now < time.Minute; now += time.Second {
		if n.ledgers[0].comparisonRequest("other") != nil {
			asked++
		}
	}
	require.LessOrEqual(t, asked, maxDoublings+1)
}

// Malformed records, from another program or a malicious node, must change nothing.
func TestMalformedRecordsChangeNothing(t *testing.T) {
	n := newCluster(t, 3)
	key := make([]byte, 16)
	for _, record := range []*peerpb.QuarantineRecord{
		{}, {Key: key}, {Key: key[:3], Head: key}, {Key: key, Head: key}, {Key: key, Head: key, Lives: []uint64{1, 2}, Marks: []byte{1}}, {Key: key, Head: key, Lives: make([]uint64, 10000), Marks: make([]byte, 10000)},
	} {
		n.ledgers[0].applyRecords("other", &peerpb.QuarantineNews{Records: []*peerpb.QuarantineRecord{record}})
	}
	n.ledgers[0].applyRecords("other", nil)
	require.Zero(t, n.ledgers[0].known.Load())
}
