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

// pair is a home, vm-1, and the owner of its invoices' shard, vm-2, with a link
// that can be cut. vm-1 has an owner's role as well.
type pair struct {
	home     *Home
	belief   *belief.Store
	owners   map[core.NodeID]*owner.Owner
	upstream *standin.Upstream

	mutex sync.Mutex
	cut   bool
	// open are the sinks of the asks that vm-2 has not answered.
	open []peer.Sink
	asks map[core.NodeID]int
}

// Send implements peer.Sender. What is under way when the link is cut may have
// arrived; what comes later has not.
func (p *pair) Send(target peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	if !request.GetSubmitRequest().GetToOwner() {
		p.home.HandleSubmit(peer.NewInbound(context.Background(), peer.Identity{}, request, func(reply *peerpb.Envelope) { sink(reply, nil) }))
		return noTicket{}
	}
	p.mutex.Lock()
	p.asks[target.Node]++
	cut := p.cut
	if !cut && target.Node == "vm-2" {
		p.open = append(p.open, sink)
	}
	p.mutex.Unlock()
	if cut && target.Node == "vm-2" {
		sink(nil, &peer.LinkError{Outcome: core.NotRun, Cause: io.ErrClosedPipe})
		return noTicket{}
	}
	p.owners[target.Node].HandleSubmit(peer.NewInbound(context.Background(), peer.Identity{}, request, func(reply *peerpb.Envelope) {
		p.mutex.Lock()
		lost := p.cut && target.Node == "vm-2"
		p.mutex.Unlock()
		if !lost {
			sink(reply, nil)
		}
	}))
	return noTicket{}
}

// split cuts the link and leaves vm-1 alone in its own view.
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
	p := &pair{belief: belief.NewStore(), owners: map[core.NodeID]*owner.Owner{}, upstream: replica, asks: map[core.NodeID]int{}}
	written := fmt.Sprintf("version: 1\nindexes: [ledger]\nservices:\n  - name: invoices\n    index: ledger\n    idempotent: false\n    shards:\n      - replicas:\n          - {address: %q, data_centre: dc2}\n", replica.Address())
	parsed, err := catalog.Parse([]byte(written))
	require.NoError(t, err)
	nodes := []route.Node{{ID: "vm-1", DataCentre: "dc1"}, {ID: "vm-2", DataCentre: "dc2"}}
	began := time.Now()
	now := func() core.Time { return time.Since(began) }
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

// An invoice is at its upstream when its home stands still and a partition cuts
// it off. The home wakes alone: by its view it owns the shard now, and callers on
// its side retry. It must not record the invoice again, neither before nor after
// it has confirmed its beliefs, since the other side has; it says "unknown".
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
	require.Zero(t, p.asks["vm-1"], "it did not send to itself")
}

// The cut-off home has an invoice that provably ran nowhere. Standing still it
// may not send it to its own replica: the other side may own that by now. What
// it says then stays so; a new invoice after it has confirmed runs once.
func TestAWokenHomeSendsNothingBeforeItHasConfirmed(t *testing.T) {
	p := startPair(t, nil)
	p.belief.SetPaused(true)
	p.split()
	key := p.home.Prefix() + ".a"
	reply := p.home.Submit(context.Background(), request(key))
	require.Equal(t, core.NotRun, reply.Outcome, "%+v", reply)
	require.Positive(t, p.asks["vm-1"], "it turned to itself")
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
