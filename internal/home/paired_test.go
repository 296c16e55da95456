package home

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/owner"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/standin"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// pair is a home, vm-1, and the owner of the invoices' shard, vm-2, with a link between
// them that can be cut. vm-1 has the owner role as well.
type pair struct {
	home     *Home
	belief   *belief.Store
	owners   map[core.NodeID]*owner.Owner
	upstream *standin.Upstream

	mutex sync.Mutex
	cut   bool
	// open holds the sinks of the requests sent to vm-2. requests counts requests to owners
	// by target.
	open     []peer.Sink
	requests map[core.NodeID]int
}

// Send implements peer.Sender. A request that is in flight when the link is cut may have
// arrived; a later one has not.
func (p *pair) Send(target peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	if !request.GetSubmitRequest().GetToOwner() {
		p.home.HandleSubmit(peer.NewInbound(context.Background(), peer.Identity{}, request, func(reply *peerpb.Envelope) { sink(reply, nil) }))
		return noopCanceller{}
	}
	p.mutex.Lock()
	p.requests[target.Node]++
	cut := p.cut
	if !cut && target.Node == "vm-2" {
		p.open = append(p.open, sink)
	}
	p.mutex.Unlock()
	if cut && target.Node == "vm-2" {
		sink(nil, &peer.LinkError{Outcome: core.NotRun, Cause: io.ErrClosedPipe})
		return noopCanceller{}
	}
	p.owners[target.Node].HandleSubmit(peer.NewInbound(context.Background(), peer.Identity{}, request, func(reply *peerpb.Envelope) {
		p.mutex.Lock()
		lost := p.cut && target.Node == "vm-2"
		p.mutex.Unlock()
		if !lost {
			sink(reply, nil)
		}
	}))
	return noopCanceller{}
}

// split cuts the link and removes vm-2 from the view of vm-1.
func (p *pair) split() {
	p.mutex.Lock()
	p.cut = true
	open := p.open
	p.open = nil
	p.mutex.Unlock()
	p.belief.SetView(route.NewView([]route.Node{{ID: "vm-1", DataCentre: "dc1"}}))
	for _, sink := range open {
		sink(nil, &peer.LinkError{Outcome: core.Unknown, Cause: io.ErrUnexpectedEOF})
	}
}

func startPair(t *testing.T, hold <-chan struct{}) *pair {
	t.Helper()
	replica, err := standin.StartUpstream("127.0.0.1:0", standin.Behaviour{Versions: []uint64{7}, Hold: hold})
	require.NoError(t, err)
	t.Cleanup(func() { _ = replica.Close() })
	p := &pair{belief: belief.NewStore(), owners: map[core.NodeID]*owner.Owner{}, upstream: replica, requests: map[core.NodeID]int{}}
	config := fmt.Sprintf("version: 1\nindexes: [ledger]\nservices:\n  - name: invoices\n    index: ledger\n    idempotent: false\n    shards:\n      - replicas:\n          - {address: %q, data_centre: dc2}\n", replica.Address())
	parsed, err := catalog.Parse([]byte(config))
	require.NoError(t, err)
	nodes := []route.Node{{ID: "vm-1", DataCentre: "dc1"}, {ID: "vm-2", DataCentre: "dc2"}}
	started := time.Now()
	now := func() core.Time { return time.Since(started) }
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, node := range nodes {
		store := belief.NewStore()
		if node.ID == "vm-1" {
			store = p.belief
		}
		store.SetSelf(node)
		store.SetConfig(&belief.Config{Revision: 1, Catalog: parsed})
		store.SetView(route.NewView(nodes))
		client := upstream.NewClient()
		t.Cleanup(client.Close)
		p.owners[node.ID] = owner.New(owner.Options{Self: node.ID, Belief: store, Upstream: client, Now: now, Log: log, Problems: observe.NewProblems(now), Metrics: observe.NewRegistry()})
		t.Cleanup(p.owners[node.ID].Close)
	}
	p.home, err = New(Options{
		Self: "vm-1", Belief: p.belief, Peers: p, Now: now, Log: log, Limits: once.DefaultLimits(),
		Problems: observe.NewProblems(now), Metrics: observe.NewRegistry(),
	})
	require.NoError(t, err)
	t.Cleanup(p.home.Close)
	return p
}

// A request is running at its upstream when the process of its home is paused and a
// partition isolates the home. After the pause the home owns the shard in its own view,
// and callers on its side of the partition retry. It must not run the request again,
// neither before nor after its state is confirmed, because the other side has run it; it
// answers "unknown".
func TestAWokenHomeThatIsCutOffRunsNothingTwice(t *testing.T) {
	release := make(chan struct{})
	p := startPair(t, release)
	key := p.home.Prefix() + ".a"
	first := make(chan once.Reply, 1)
	go func() { first <- p.home.Submit(context.Background(), request(key)) }()
	require.Eventually(t, func() bool { return p.upstream.Submits()[key] == 1 }, awaitLimit, time.Millisecond)
	p.belief.SetPaused(true)
	p.split()
	require.Equal(t, core.Unknown, (<-first).Outcome)
	close(release)
	for _, paused := range []bool{true, false} {
		p.belief.SetPaused(paused)
		for range 3 {
			reply := p.home.Submit(context.Background(), request(key))
			require.Equal(t, core.Unknown, reply.Outcome)
			require.Equal(t, fault.CodeLost, reply.Code)
		}
	}
	require.Equal(t, map[string]int{key: 1}, p.upstream.Submits())
	require.Zero(t, p.requests["vm-1"], "the home must not send the request to its own node")
}

// The isolated home has a request that has certainly not run. While paused it must not
// send the request to its own replica, because the other side may own the replica by
// now. The outcome "not run" stays after the pause. A new request that arrives after the
// home's state is confirmed runs once.
func TestAWokenHomeSendsNothingBeforeItHasConfirmed(t *testing.T) {
	p := startPair(t, nil)
	p.belief.SetPaused(true)
	p.split()
	key := p.home.Prefix() + ".a"
	reply := p.home.Submit(context.Background(), request(key))
	require.Equal(t, core.NotRun, reply.Outcome, "%+v", reply)
	require.Positive(t, p.requests["vm-1"], "the home asked the owner on its own node")
	require.Empty(t, p.upstream.Submits())

	p.belief.SetPaused(false)
	again := p.home.Submit(context.Background(), request(key))
	require.Equal(t, core.NotRun, again.Outcome)
	require.Empty(t, p.upstream.Submits())
	next := p.home.Prefix() + ".b"
	for range 3 {
		require.Equal(t, core.Done, p.home.Submit(context.Background(), request(next)).Outcome)
	}
	require.Equal(t, map[string]int{next: 1}, p.upstream.Submits())
}
