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

// fakePeers answers every heartbeat in place of its target, with the sender's view
// and a set revision, unless silent.
type fakePeers struct {
	store    *belief.Store
	revision atomic.Uint64
	silent   atomic.Bool
}

type noopCanceller struct{}

func (noopCanceller) Cancel() {}

func (p *fakePeers) Send(target peer.Target, _ *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	if p.silent.Load() {
		return noopCanceller{}
	}
	message := &member.Message{
		From:        route.Node{ID: target.Node, PeerAddress: target.Address},
		Incarnation: 1,
		Revision:    p.revision.Load(),
		View:        p.store.View().ID(),
	}
	sink(&peerpb.Envelope{Last: true, Body: &peerpb.Envelope_Heartbeat{Heartbeat: Encode(message)}}, nil)
	return noopCanceller{}
}

// clock follows real time plus an offset, which models the jump that a paused
// process sees.
type clock struct {
	startedAt time.Time
	offset    atomic.Int64
}

func (c *clock) now() core.Time { return time.Since(c.startedAt) + core.Time(c.offset.Load()) }

func startManager(t *testing.T) (*Manager, *fakePeers, *clock) {
	t.Helper()
	platform, err := standin.StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = platform.Close() })
	platform.SetVMs([]confservice.VM{
		{ID: "vm-1", State: confservice.VMLive, PeerAddress: "10.0.0.1:1"},
		{ID: "vm-2", State: confservice.VMLive, PeerAddress: "10.0.0.2:1"},
		{ID: "vm-3", State: confservice.VMLive, PeerAddress: "10.0.0.3:1"},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := belief.NewStore()
	fakeClock := &clock{startedAt: time.Now()}
	peers := &fakePeers{store: store}
	client := confservice.NewClient(platform.URL())
	t.Cleanup(client.Close)
	m := Start(Options{
		Self:        route.Node{ID: "vm-1", PeerAddress: "10.0.0.1:1"},
		Incarnation: 1,
		Lister:      client,
		Belief:      store,
		Peers:       peers,
		Now:         fakeClock.now,
		Log:         log,
		Problems:    observe.NewProblems(fakeClock.now),
	})
	t.Cleanup(m.Close)
	require.Eventually(t, func() bool { return len(store.View().Nodes()) == 3 }, awaitLimit, pollPause)
	return m, peers, fakeClock
}

// A process is paused for ten seconds, and others take over its work under a newer
// configuration. When it resumes, no role may act before its state is confirmed: the
// node counts as paused as soon as the clock has jumped, before any goroutine has
// run, until the newer configuration is in force here.
func TestAResumedProcessIsGatedUntilConfirmed(t *testing.T) {
	m, peers, clock := startManager(t)
	store := m.options.Belief
	require.False(t, store.Paused())
	store.SetConfig(&belief.Config{Revision: 4})
	peers.revision.Store(5)
	clock.offset.Add(int64(10 * time.Second))
	require.True(t, store.Paused())
	require.Eventually(t, func() bool { return len(m.options.Problems.List()) == 1 }, awaitLimit, pollPause)
	require.Equal(t, observe.KindPaused, m.options.Problems.List()[0].Kind)
	require.True(t, store.Paused(), "other nodes have a newer revision in force")
	store.SetConfig(&belief.Config{Revision: 5})
	require.Eventually(t, func() bool { return !store.Paused() }, awaitLimit, pollPause)
	require.Len(t, store.View().Nodes(), 3)
}

// A node that reaches no peer after a pause must not stay gated: no peer can send
// it a newer state, and its callers have no other node.
func TestAResumedProcessWithoutPeersServesAgain(t *testing.T) {
	m, peers, clock := startManager(t)
	peers.silent.Store(true)
	clock.offset.Add(int64(10 * time.Second))
	require.True(t, m.options.Belief.Paused())
	require.Eventually(t, func() bool { return !m.options.Belief.Paused() }, awaitLimit, pollPause)
}

func TestHeartbeatCodecRoundTrip(t *testing.T) {
	message := &member.Message{
		From:        route.Node{ID: "vm-1", DataCentre: "dc1", PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2"},
		Incarnation: 7, Version: 3, Revision: 9, Digest: 11, View: 13, Leaving: true, Starting: true,
		Updates: []member.Update{{Node: route.Node{ID: "vm-2"}, Incarnation: 5, Version: 2, Standing: member.StandingDead,
			Witnesses: [2]member.Witness{{Node: 17, Term: 19}, {Node: 23, Term: 29}}}},
		Drains:  []member.Drain{{Address: "10.0.0.9:80", Version: 4, Draining: true}},
		Probe:   "vm-3",
		Reached: true,

		Exchange: true, Mark: 31, Seen: 37, SeenOf: 41,
	}
	require.Equal(t, message, Decode(Encode(message)))
}

// A heartbeat has more updates than are taken from one. The remaining ones must not be acknowledged,
// or the sender never repeats them.
func TestTruncatedUpdatesAreNotAcknowledged(t *testing.T) {
	message := &member.Message{From: route.Node{ID: "vm-1"}, Exchange: true, Mark: 1000, Updates: make([]member.Update, maxHeartbeatItems+1)}
	got := Decode(Encode(message))
	require.Len(t, got.Updates, maxHeartbeatItems)
	require.Zero(t, got.Mark)
}

// A leaving VM that is not one of the tier's nodes belongs to an upstream: its
// replicas count as draining, whatever the configuration says.
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
