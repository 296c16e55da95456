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
	configText = "version: 1\nindexes: [ledger]\nservices:\n  - name: invoices\n    index: ledger\n    idempotent: false\n    shards:\n      - replicas:\n          - {address: \"127.0.0.1:9\", data_centre: dc1}\n"
)

// fakePeers replaces the peer transport: requests to the home are passed to it, and
// requests to an owner are kept until the test answers them.
type fakePeers struct {
	mutex sync.Mutex
	home  *Home
	owner chan ownerRequest
	sent  int
}

type ownerRequest struct {
	message *peerpb.SubmitRequest
	sink    peer.Sink
}

type noopCanceller struct{}

func (noopCanceller) Cancel() {}

func (f *fakePeers) Send(target peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	message := request.GetSubmitRequest()
	if !message.GetToOwner() {
		f.home.HandleSubmit(peer.NewInbound(context.Background(), peer.Identity{}, request, func(reply *peerpb.Envelope) { sink(reply, nil) }))
		return noopCanceller{}
	}
	f.mutex.Lock()
	f.sent++
	f.mutex.Unlock()
	f.owner <- ownerRequest{message: message, sink: sink}
	return noopCanceller{}
}

func (f *fakePeers) sentToOwner() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.sent
}

func startHome(t *testing.T) (*Home, *fakePeers) {
	t.Helper()
	parsed, err := catalog.Parse([]byte(configText))
	require.NoError(t, err)
	store := belief.NewStore()
	store.SetConfig(&belief.Config{Revision: 1, Catalog: parsed})
	store.SetView(route.NewView([]route.Node{{ID: "vm-1", DataCentre: "dc1"}}))
	log := logrus.New()
	log.SetOutput(io.Discard)
	peers := &fakePeers{owner: make(chan ownerRequest, 8)}
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

// The link to the owner breaks after a request was written, so the owner may have run it.
// However often the caller retries, the home must not send it again and answers
// "unknown".
func TestALostLinkIsNeverFollowedByASecondSend(t *testing.T) {
	h, peers := startHome(t)
	key := h.Prefix() + ".a"
	go func() {
		received := <-peers.owner
		received.sink(nil, &peer.LinkError{Outcome: core.Unknown, Cause: io.ErrUnexpectedEOF})
	}()
	for range 3 {
		reply := h.Submit(context.Background(), request(key))
		require.Equal(t, core.Unknown, reply.Outcome)
		require.Equal(t, fault.CodeLost, reply.Code)
	}
	require.Equal(t, 1, peers.sentToOwner())
	require.Equal(t, observe.KindOutcomeUnknown, h.options.Problems.List()[0].Kind)
}

// Guards against a home that answers a submit that the owner knows to be set aside with another code, or sends it again.
func TestASubmitThatTheOwnerRefusesAsSetAsideIsSentOnce(t *testing.T) {
	h, peers := startHome(t)
	go func() {
		received := <-peers.owner
		received.sink(&peerpb.Envelope{Body: &peerpb.Envelope_SubmitReply{SubmitReply: &peerpb.SubmitReply{Outcome: uint32(core.NotRun), Code: string(core.ReasonSetAside)}}}, nil)
	}()
	reply := h.Submit(context.Background(), request(h.Prefix()+".a"))
	require.Equal(t, core.NotRun, reply.Outcome)
	require.Equal(t, fault.CodeSetAside, reply.Code)
	require.Positive(t, reply.RetryAfter)
	require.Equal(t, 1, peers.sentToOwner())
}

// A caller disconnects while its request is running and later retries. The request must
// have continued, and the retry gets its outcome.
func TestARunOutlivesItsCaller(t *testing.T) {
	h, peers := startHome(t)
	key := h.Prefix() + ".a"
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan once.Reply, 1)
	go func() { gone <- h.Submit(ctx, request(key)) }()
	received := <-peers.owner
	require.Positive(t, received.message.GetTimeLeftUs())
	cancel()
	require.Equal(t, core.Unknown, (<-gone).Outcome)
	received.sink(&peerpb.Envelope{Body: &peerpb.Envelope_SubmitReply{SubmitReply: &peerpb.SubmitReply{Outcome: uint32(core.Done), Payload: []byte("7")}}}, nil)
	reply := h.Submit(context.Background(), request(key))
	require.Equal(t, core.Done, reply.Outcome)
	require.Equal(t, "7", string(reply.Payload))
	require.Equal(t, 1, peers.sentToOwner())
}

// A home restarts under the same address. A retry of a key of the earlier process reaches
// the new process, which must neither run the key nor answer "not run".
func TestARestartedHomeDoesNotRunFormerKeys(t *testing.T) {
	former, _ := startHome(t)
	h, peers := startHome(t)
	reply := h.Submit(context.Background(), request(former.Prefix()+".a"))
	require.Equal(t, core.Unknown, reply.Outcome)
	require.Equal(t, fault.CodeHomeGone, reply.Code)
	require.Equal(t, core.NotRun, reply.ThisAttempt)
	require.Zero(t, peers.sentToOwner())
}
