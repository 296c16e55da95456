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

const patience = 20 * time.Second

// net is a fleet of duties with links in memory. Which messages are lost is drawn from a seed.
type net struct {
	mutex  sync.Mutex
	random *rand.Rand
	// lost is the share of the messages that are lost; parted, when set, tells between which nodes none gets through.
	lost   float64
	parted func(one, other int) bool
	duties []*Duty
	// messages counts those that were sent.
	messages int
}

// neighbours is the number of nodes that each has links to, as many as there are rings of heartbeats.
const neighbours = 4

func newNet(t *testing.T, nodes int) *net {
	t.Helper()
	n := &net{random: rand.New(rand.NewPCG(uint64(nodes), 1))}
	began := time.Now()
	for range nodes {
		n.duties = append(n.duties, New(Options{Now: func() core.Time { return time.Since(began) }}))
	}
	for i, one := range n.duties {
		one.Start(&links{net: n, at: i, to: n.linksOf(i)})
	}
	t.Cleanup(func() {
		for _, one := range n.duties {
			one.Close()
		}
	})
	return n
}

// linksOf draws the links of a node; the first one closes a ring.
func (n *net) linksOf(at int) []int {
	to := []int{(at + 1) % len(n.duties)}
	for len(to) < neighbours {
		to = append(to, n.random.IntN(len(n.duties)))
	}
	return to
}

func (n *net) passes(from, to int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.messages++
	return n.random.Float64() >= n.lost && (n.parted == nil || !n.parted(from, to))
}

// heartbeats lets each node tell those that it has links to its digest.
func (n *net) heartbeats() {
	for i, one := range n.duties {
		links := one.links.(*links)
		for _, to := range links.to {
			if n.passes(i, to) {
				n.duties[to].Heard(target(i), one.Digest())
				one.Heard(target(to), n.duties[to].Digest())
			}
		}
	}
}

// agree reports whether all nodes treat a request alike.
func (n *net) agree(identity quarantine.Identity, standing quarantine.Standing) bool {
	for _, one := range n.duties {
		if one.Assess(func() quarantine.Identity { return identity }, nil).Request != standing {
			return false
		}
	}
	return true
}

type links struct {
	net *net
	at  int
	to  []int
}

func target(node int) peer.Target { return peer.Target{Node: core.NodeID(fmt.Sprint(node))} }

func (l *links) Linked() []peer.Target {
	var targets []peer.Target
	for _, one := range l.to {
		targets = append(targets, target(one))
	}
	return targets
}

type noTicket struct{}

func (noTicket) Cancel() {}

// Ask implements peer.Asker. A message that is lost has no reply.
func (l *links) Ask(to peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Ticket {
	number := 0
	_, _ = fmt.Sscan(string(to.Node), &number)
	if l.net.passes(l.at, number) {
		go l.net.duties[number].Handle(peer.NewInbound(l.net.duties[number].ctx, peer.Identity{Node: target(l.at).Node}, request, func(reply *peerpb.Envelope) { sink(reply, nil) }))
	}
	return noTicket{}
}

var deadly = quarantine.Identity{Method: "GET", Host: "search.example", Path: "/all/deadly"}

// endThree lets three replicas end under the deadly request, each seen by another node, two of them under trials.
func (n *net) endThree() {
	for i := range 3 {
		marks := quarantine.Ended
		if i > 0 {
			marks |= quarantine.Trial
		}
		n.duties[i*(len(n.duties)-1)/2].Seen(deadly, "deadly", "s", replica.Incarnation{ID: fmt.Sprint("i-", i)}, marks)
	}
}

// Each node sees one replica end, and none enough to judge by. All know it within some round trips, at any size.
func TestAllNodesKnowSoonWhatEachSawAPartOf(t *testing.T) {
	for _, nodes := range []int{3, 30, 300, 780} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := newNet(t, nodes)
			n.endThree()
			require.Eventually(t, func() bool { return n.agree(deadly, quarantine.SetAside) }, patience, time.Millisecond)
			n.mutex.Lock()
			defer n.mutex.Unlock()
			t.Logf("%d messages, %.1f a node", n.messages, float64(n.messages)/float64(nodes))
		})
	}
}

// Guards against news that does not reach a node without incoming links, as happens shortly after startup.
func TestNewsReachesANodeWithoutIncomingLinks(t *testing.T) {
	n := &net{random: rand.New(rand.NewPCG(1, 1))}
	began := time.Now()
	var nodes []route.Node
	for i := range 3 {
		nodes = append(nodes, route.Node{ID: target(i).Node})
	}
	for i := range nodes {
		n.duties = append(n.duties, New(Options{Now: func() core.Time { return time.Since(began) }, Self: nodes[i].ID, Nodes: func() []route.Node { return nodes }}))
	}
	for i, to := range [][]int{{1}, {0}, {0}} {
		n.duties[i].Start(&links{net: n, at: i, to: to})
		t.Cleanup(n.duties[i].Close)
	}
	n.duties[0].Seen(deadly, "deadly", "s", replica.Incarnation{ID: "i"}, quarantine.Ended)
	require.Eventually(t, func() bool { return n.agree(deadly, quarantine.Suspect) }, patience, time.Millisecond)
}

// Half of all messages are lost, and so is most of the news. Heartbeats find the nodes that differ.
func TestLostNewsIsFoundByComparing(t *testing.T) {
	n := newNet(t, 30)
	n.lost = 0.5
	n.endThree()
	require.Eventually(t, func() bool {
		n.heartbeats()
		return n.agree(deadly, quarantine.SetAside)
	}, patience, 50*time.Millisecond)
}

// The fleet is cut in halves while replicas end in both. Once they meet again all know of all.
func TestHalvesThatMeetAgainAgree(t *testing.T) {
	n := newNet(t, 30)
	n.parted = func(one, other int) bool { return one%2 != other%2 }
	other := quarantine.Identity{Path: "/other"}
	for i := range 3 {
		n.duties[0].Seen(deadly, "deadly", "s", replica.Incarnation{ID: fmt.Sprint("i-", i)}, quarantine.Ended|quarantine.Trial)
		n.duties[1].Seen(other, "other", "s", replica.Incarnation{ID: fmt.Sprint("j-", i)}, quarantine.Ended|quarantine.Trial)
	}
	require.Eventually(t, func() bool { return n.duties[0].Digest() != 0 && n.duties[1].Digest() != 0 }, patience, time.Millisecond)
	n.mutex.Lock()
	n.parted = nil
	n.mutex.Unlock()
	require.Eventually(t, func() bool {
		n.heartbeats()
		return n.agree(deadly, quarantine.SetAside) && n.agree(other, quarantine.SetAside)
	}, patience, 50*time.Millisecond)
}

// A data centre loses its replicas at once, with popular questions in work at hundreds of them. No node refuses one,
// and an answer at any node clears it there.
func TestPopularQuestionsAtALossOfADataCentreAreNotRefused(t *testing.T) {
	n := newNet(t, 30)
	popular := func(i int) quarantine.Identity { return quarantine.Identity{Path: fmt.Sprint("/popular/", i)} }
	for lost := range 200 {
		for question := range 3 {
			n.duties[lost%30].Seen(popular(question), "popular", "s", replica.Incarnation{ID: fmt.Sprint("i-", lost)}, quarantine.Ended)
		}
	}
	require.Eventually(t, func() bool { return n.agree(popular(0), quarantine.Suspect) }, patience, time.Millisecond)
	for question := range 3 {
		require.True(t, n.agree(popular(question), quarantine.Suspect))
	}
	require.Zero(t, n.duties[0].Digest())
	n.duties[7].Answered(func() quarantine.Names { return popular(0).Names() }, "s")
	require.Equal(t, quarantine.Trusted, n.duties[7].Assess(func() quarantine.Identity { return popular(0) }, nil).Request)
}

// More requests are set aside than a message holds, and two nodes know different ones. They do not tell each other
// tens of kilobytes each second for that.
func TestNodesThatCannotAgreeCompareSeldom(t *testing.T) {
	n := newNet(t, 2)
	now := core.Time(0)
	for node, one := range n.duties {
		one.options.Now = func() core.Time { return now }
		for request := range 3 * maxWhole {
			for life := range 3 {
				one.ledger.Merge(quarantine.Record{Key: quarantine.Identity{Path: fmt.Sprint(node, request)}.Names().Exact, Facts: map[quarantine.Incarnation]quarantine.Fact{quarantine.Incarnation(1000*request + life): quarantine.Ended | quarantine.Trial}}, 0)
			}
		}
		one.note()
	}
	asked := 0
	for ; now < time.Minute; now += time.Second {
		if n.duties[0].compareWith("other") != nil {
			asked++
		}
	}
	require.LessOrEqual(t, asked, maxDoublings+1)
}

// Messages of other programs, or of a node that means ill, name no request and change nothing.
func TestRecordsThatDoNotFitTogetherChangeNothing(t *testing.T) {
	n := newNet(t, 3)
	key := make([]byte, 16)
	for _, one := range []*peerpb.QuarantineRecord{
		{}, {Key: key}, {Key: key[:3], Head: key}, {Key: key, Head: key}, {Key: key, Head: key, Lives: []uint64{1, 2}, Marks: []byte{1}}, {Key: key, Head: key, Lives: make([]uint64, 10000), Marks: make([]byte, 10000)},
	} {
		n.duties[0].takeUp("other", &peerpb.QuarantineNews{Records: []*peerpb.QuarantineRecord{one}})
	}
	n.duties[0].takeUp("other", nil)
	require.Zero(t, n.duties[0].known.Load())
}
