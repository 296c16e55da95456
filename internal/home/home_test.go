package home

import (
	"context"
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
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

const (
	awaitLimit = 10 * time.Second
	text       = "version: 1\nindexes: [ledger]\nservices:\n  - name: invoices\n    index: ledger\n    idempotent: false\n    shards:\n      - replicas:\n          - {address: \"127.0.0.1:9\", data_centre: dc1}\n"
)

// fakePeers takes the place of the peer transport: asks of the home go to the
// home, asks of an owner are kept until the test ends them.
type fakePeers struct {
	mutex sync.Mutex
	home  *Home
	owner chan ownerAsk
	asked int
}

type ownerAsk struct {
	message *peerpb.SubmitRequest
	sink    peer.Sink
}

type noTicket struct{}

func (noTicket) Cancel() {}

func (f *fakePeers) Ask(target peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Ticket {
	message := request.GetSubmitRequest()
	if !message.GetToOwner() {
		f.home.HandleSubmit(peer.NewInbound(context.Background(), peer.Identity{}, request, func(reply *peerpb.Envelope) { sink(reply, nil) }))
		return noTicket{}
	}
	f.mutex.Lock()
	f.asked++
	f.mutex.Unlock()
	f.owner <- ownerAsk{message: message, sink: sink}
	return noTicket{}
}

func (f *fakePeers) ownerAsks() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.asked
}

func startHome(t *testing.T) (*Home, *fakePeers) {
	t.Helper()
	parsed, err := catalog.Parse([]byte(text))
	require.NoError(t, err)
	store := belief.NewStore()
	store.SetConfig(&belief.Config{Revision: 1, Catalog: parsed})
	store.SetView(route.NewView([]route.Node{{ID: "vm-1", DataCentre: "dc1"}}))
	log := logrus.New()
	log.SetOutput(io.Discard)
	peers := &fakePeers{owner: make(chan ownerAsk, 8)}
	started := time.Now()
	now := func() core.Time { return time.Since(started) }
	h, err := New(Options{
		Self: "vm-1", Belief: store, Peers: peers, Now: now, Log: log, Limits: once.DefaultLimits(),
		Problems: observe.NewProblems(now), Metrics: observe.NewRegistry(),
	})
	require.NoError(t, err)
	t.Cleanup(h.Close)
	peers.home = h
	return h, peers
}

func request(key string) Request {
	return Request{Customer: "ham house", Key: key, Service: "invoices", Payload: []byte("12"), Timeout: awaitLimit}
}

// An invoice is sent, and the link to the owner breaks after the request was
// written: the owner may have recorded it. However often the caller retries, the
// home does not send it again and says "unknown".
func TestALostLinkIsNeverFollowedByASecondSend(t *testing.T) {
	h, peers := startHome(t)
	key := h.Prefix() + ".a"
	go func() {
		ask := <-peers.owner
		ask.sink(nil, &peer.LinkError{Outcome: core.Unknown, Cause: io.ErrUnexpectedEOF})
	}()
	for range 3 {
		reply := h.Submit(context.Background(), request(key))
		require.Equal(t, core.Unknown, reply.Outcome)
		require.Equal(t, fault.CodeLost, reply.Code)
	}
	require.Equal(t, 1, peers.ownerAsks())
	require.Equal(t, observe.KindOutcomeUnknown, h.options.Problems.List()[0].Kind)
}

// A caller goes away while its invoice is being recorded, and comes back through
// another entry. The run went on and its outcome is told.
func TestARunOutlivesItsCaller(t *testing.T) {
	h, peers := startHome(t)
	key := h.Prefix() + ".a"
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan once.Reply, 1)
	go func() { gone <- h.Submit(ctx, request(key)) }()
	ask := <-peers.owner
	require.Positive(t, ask.message.GetTimeLeftUs())
	cancel()
	require.Equal(t, core.Unknown, (<-gone).Outcome)
	ask.sink(&peerpb.Envelope{Body: &peerpb.Envelope_SubmitReply{SubmitReply: &peerpb.SubmitReply{Outcome: uint32(core.Done), Payload: []byte("7")}}}, nil)
	reply := h.Submit(context.Background(), request(key))
	require.Equal(t, core.Done, reply.Outcome)
	require.Equal(t, "7", string(reply.Payload))
	require.Equal(t, 1, peers.ownerAsks())
}

// A home restarts under the same address. A retry of a key of the former process
// reaches the new one, which must neither run it nor call it not run.
func TestARestartedHomeDoesNotRunFormerKeys(t *testing.T) {
	former, _ := startHome(t)
	h, peers := startHome(t)
	reply := h.Submit(context.Background(), request(former.Prefix()+".a"))
	require.Equal(t, core.Unknown, reply.Outcome)
	require.Equal(t, fault.CodeHomeGone, reply.Code)
	require.Equal(t, core.NotRun, reply.ThisAttempt)
	require.Zero(t, peers.ownerAsks())
}
