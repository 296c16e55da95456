package membership

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const (
	awaitLimit = 20 * time.Second
	pollPause  = time.Millisecond
)

// others answers every heartbeat for the nodes asked, with the asker's view and
// a revision, unless they are quiet.
type others struct {
	store    *belief.Store
	revision atomic.Uint64
	quiet    atomic.Bool
}

type noTicket struct{}

func (noTicket) Cancel() {}

func (o *others) Send(target peer.Target, _ *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	if o.quiet.Load() {
		return noTicket{}
	}
	message := &member.Message{
		From:        route.Node{ID: target.Node, PeerAddress: target.Address},
		Incarnation: 1,
		Revision:    o.revision.Load(),
		View:        o.store.View().ID(),
	}
	sink(&peerpb.Envelope{Last: true, Body: &peerpb.Envelope_Heartbeat{Heartbeat: Encode(message)}}, nil)
	return noTicket{}
}

// clock runs with the real one and can jump, as a monotonic clock does for a
// process that was stopped.
type clock struct {
	began time.Time
	jump  atomic.Int64
}

func (c *clock) now() core.Time { return time.Since(c.began) + core.Time(c.jump.Load()) }

func startDuty(t *testing.T) (*Duty, *others, *clock) {
	t.Helper()
	stand, err := standin.StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = stand.Close() })
	stand.SetVMs([]confservice.VM{
		{ID: "vm-1", State: confservice.VMLive, PeerAddress: "10.0.0.1:1"},
		{ID: "vm-2", State: confservice.VMLive, PeerAddress: "10.0.0.2:1"},
		{ID: "vm-3", State: confservice.VMLive, PeerAddress: "10.0.0.3:1"},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := belief.NewStore()
	time := &clock{began: time.Now()}
	peers := &others{store: store}
	client := confservice.NewClient(stand.URL())
	t.Cleanup(client.Close)
	d := Start(Options{
		Self:        route.Node{ID: "vm-1", PeerAddress: "10.0.0.1:1"},
		Incarnation: 1,
		List:        client,
		Belief:      store,
		Peers:       peers,
		Now:         time.now,
		Log:         log,
		Problems:    observe.NewProblems(time.now),
	})
	t.Cleanup(d.Close)
	require.Eventually(t, func() bool { return len(store.View().Nodes()) == 3 }, awaitLimit, pollPause)
	return d, peers, time
}

// A process stands still for ten seconds, and others take over what it owned
// under a newer text. When it wakes, no role may act before the beliefs are
// confirmed: the node counts as paused the moment the clock has jumped, before any
// duty has run, and acts again only when the newer text is in force here.
func TestAWokenProcessIsGatedUntilConfirmed(t *testing.T) {
	d, peers, clock := startDuty(t)
	store := d.options.Belief
	require.False(t, store.Paused())
	store.SetConfig(&belief.Config{Revision: 4})
	peers.revision.Store(5)
	clock.jump.Add(int64(10 * time.Second))
	require.True(t, store.Paused())
	require.Eventually(t, func() bool { return len(d.options.Problems.List()) == 1 }, awaitLimit, pollPause)
	require.Equal(t, observe.KindPaused, d.options.Problems.List()[0].Kind)
	require.True(t, store.Paused(), "others run by a newer text")
	store.SetConfig(&belief.Config{Revision: 5})
	require.Eventually(t, func() bool { return !store.Paused() }, awaitLimit, pollPause)
	require.Len(t, store.View().Nodes(), 3)
}

// A node that is alone after a pause must not stay closed for good: nobody can
// tell it anything newer, and callers have nobody else.
func TestAWokenProcessThatReachesNobodyServesOn(t *testing.T) {
	d, peers, clock := startDuty(t)
	peers.quiet.Store(true)
	clock.jump.Add(int64(10 * time.Second))
	require.True(t, d.options.Belief.Paused())
	require.Eventually(t, func() bool { return !d.options.Belief.Paused() }, awaitLimit, pollPause)
}

func TestHeartbeatsSurviveTheCodec(t *testing.T) {
	message := &member.Message{
		From:        route.Node{ID: "vm-1", DataCentre: "dc1", PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2"},
		Incarnation: 7, Version: 3, Revision: 9, Digest: 11, View: 13, Leaving: true,
		Updates: []member.Update{{Node: route.Node{ID: "vm-2"}, Incarnation: 5, Version: 2, Standing: member.StandingDead,
			Witnesses: [2]member.Witness{{Node: 17, Term: 19}, {Node: 23, Term: 29}}}},
		Drains:  []member.Drain{{Address: "10.0.0.9:80", Version: 4, Draining: true}},
		Probe:   "vm-3",
		Reached: true,

		Exchange: true, Mark: 31, Seen: 37, SeenOf: 41,
	}
	require.Equal(t, message, Decode(Encode(message)))
}

// A node tells more states in one heartbeat than this one takes. Those that were not taken must be told
// again, or this node never hears of them.
func TestStatesThatWereNotTakenDoNotCountAsHeard(t *testing.T) {
	message := &member.Message{From: route.Node{ID: "vm-1"}, Exchange: true, Mark: 1000, Updates: make([]member.Update, maxListed+1)}
	got := Decode(Encode(message))
	require.Len(t, got.Updates, maxListed)
	require.Zero(t, got.Mark)
}

// A VM that the list shows leaving and that is none of the tier's nodes is an
// upstream's: its replicas count as draining, whatever the text says.
func TestLeavingUpstreamsAreFoundInTheList(t *testing.T) {
	text := testCatalog(t)
	list := confservice.VMList{VMs: []confservice.VM{
		{ID: "up-1", State: confservice.VMLeaving, CallerAddress: "10.0.1.1:0"},
		{ID: "vm-1", State: confservice.VMLeaving, CallerAddress: "10.0.1.2:7001", PeerAddress: "10.0.1.2:7002"},
	}}
	require.Equal(t, []string{"10.0.1.1:9000"}, leavingUpstreams(list, text))
	require.Len(t, listedNodes(list).Nodes, 1)
}

func testCatalog(t *testing.T) *catalog.Catalog {
	t.Helper()
	text, err := catalog.Parse([]byte("version: 1\nindexes: [i]\nservices:\n  - name: a\n    index: i\n    shards:\n      - replicas:\n" +
		"          - {address: \"10.0.1.1:9000\", data_centre: dc1}\n          - {address: \"10.0.1.2:9000\", data_centre: dc1}\n"))
	require.NoError(t, err)
	return text
}
