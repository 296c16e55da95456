package owner

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/standin"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

const (
	awaitLimit    = 10 * time.Second
	awaitInterval = 2 * time.Millisecond
)

// fixture is an owner and its surroundings. Unless a test publishes another
// configuration, the service prices has one shard.
type fixture struct {
	t        *testing.T
	owner    *Owner
	belief   *belief.Store
	problems *observe.Problems
	metrics  observe.Registry
	parts    chan *peerpb.Part
}

func startFixture(t *testing.T, addresses ...string) *fixture {
	return startAssessedFixture(t, nil, addresses...)
}

// startAssessedFixture starts a fixture whose owner judges requests by assessor.
func startAssessedFixture(t *testing.T, assessor quarantine.Assessor, addresses ...string) *fixture {
	started := time.Now()
	now := func() core.Time { return time.Since(started) }
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &fixture{t: t, belief: belief.NewStore(), problems: observe.NewProblems(now), metrics: observe.NewRegistry(), parts: make(chan *peerpb.Part, 2*maxQueue)}
	client := upstream.NewClient()
	t.Cleanup(func() { goleak.VerifyNone(t, goleak.IgnoreCurrent()) })
	t.Cleanup(client.Close)
	b.belief.SetSelf(route.Node{ID: "vm-1", DataCentre: "dc1"})
	b.belief.SetView(route.NewView([]route.Node{{ID: "vm-1", DataCentre: "dc1"}}))
	b.publish(addresses...)
	b.owner = New(Options{Self: "vm-1", Belief: b.belief, Upstream: client, Now: now, Log: log, Problems: b.problems, Metrics: b.metrics, Assessor: assessor})
	t.Cleanup(b.owner.Close)
	return b
}

func (b *fixture) publish(addresses ...string) {
	text := "version: 1\nindexes: [i]\nservices:\n  - name: other\n    index: i\n    shards: [{replicas: [{address: \"127.0.0.9:9\"}]}]\n"
	if len(addresses) > 0 {
		text += "  - name: prices\n    index: i\n    shards:\n      - replicas:\n"
	}
	for _, address := range addresses {
		text += fmt.Sprintf("          - {address: %q}\n", address)
	}
	parsed, err := catalog.Parse([]byte(text))
	require.NoError(b.t, err)
	b.setConfig(1, parsed)
}

func (b *fixture) setConfig(revision uint64, parsed *catalog.Catalog) {
	b.belief.SetConfig(&belief.Config{Revision: revision, Catalog: parsed})
}

// ask sends one request to the shard. The reply is sent to b.parts.
func (b *fixture) ask(customer string) {
	message := &peerpb.BundleRequest{
		Customer:   customer,
		RequestId:  customer,
		Bundle:     uint32(b.belief.Config().Catalog.Shard(core.ShardRef{Service: "prices"}).Bundle),
		TimeLeftUs: uint64(time.Minute.Microseconds()),
		Question:   []byte("{}"),
		Asks:       []*peerpb.ShardAsk{{Service: "prices"}},
	}
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_BundleRequest{BundleRequest: message}}
	b.owner.HandleBundle(peer.NewInbound(context.Background(), peer.Identity{}, envelope, func(reply *peerpb.Envelope) { b.parts <- reply.GetPart() }))
}

func (b *fixture) nextPart() *peerpb.Part {
	select {
	case part := <-b.parts:
		return part
	case <-time.After(awaitLimit):
		require.Fail(b.t, "no part arrived within awaitLimit")
		return nil
	}
}

func (b *fixture) await(condition string, holds func() bool) {
	b.t.Helper()
	require.Eventually(b.t, holds, awaitLimit, awaitInterval, condition)
}

func (b *fixture) hasProblem(kind observe.Kind) bool {
	for _, problem := range b.problems.List() {
		if problem.Kind == kind {
			return true
		}
	}
	return false
}

func (b *fixture) counter(name string) int64 { return observe.Counter(b.metrics, name).Count() }

func startReplica(t *testing.T, behaviour standin.Behaviour) *standin.Upstream {
	u, err := standin.StartUpstream("127.0.0.1:0", behaviour)
	require.NoError(t, err)
	t.Cleanup(func() { _ = u.Close() })
	return u
}

// One of two replicas refuses connections because its process has ended. The request is
// known not to have run and is redispatched to the other replica. The replica is
// reported as down until the configuration no longer lists it.
func TestRefusedConnectionIsRedispatchedToTheOtherReplica(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := listener.Addr().String()
	require.NoError(t, listener.Close())
	good := startReplica(t, standin.Behaviour{Versions: []uint64{7}})
	b := startFixture(t, dead, good.Address())
	for range 5 {
		b.ask("chef")
		require.EqualValues(t, core.Done, b.nextPart().GetOutcome())
	}
	require.Positive(t, b.counter("owner_refused_connections_total"))
	require.Positive(t, b.counter("owner_redispatches_total"))
	require.True(t, b.hasProblem(observe.KindReplicaDown))
	require.Equal(t, "down", b.owner.Dump()[0].Replicas[0].State)

	b.publish(good.Address())
	b.await("the dead replica is removed", func() bool {
		return !b.hasProblem(observe.KindReplicaDown) && len(b.owner.Dump()[0].Replicas) == 1
	})
}

// The large customer has filled the queue of a shard whose replica does not answer. A
// request of another customer takes the place of the newest one of the large customer,
// which is refused at once with a retry-after time.
func TestFullQueueShedsTheLargeCustomer(t *testing.T) {
	silent := startReplica(t, standin.Behaviour{Silent: true, Versions: []uint64{7}})
	b := startFixture(t, silent.Address())
	for range maxQueue + 1 {
		b.ask("large")
	}
	b.await("the queue is full", func() bool { return len(b.owner.Dump()) == 1 && b.owner.Dump()[0].Waiting == maxQueue })
	b.ask("chef")
	part := b.nextPart()
	require.EqualValues(t, core.NotRun, part.GetOutcome())
	require.Equal(t, string(core.ReasonOverloaded), part.GetReason())
	require.Positive(t, part.GetRetryAfterMs())
	require.True(t, b.hasProblem(observe.KindOverloaded))
	customers := b.owner.Dump()[0].Customers
	require.Len(t, customers, 2)
	require.Equal(t, 1, customers[0].Waiting, "the query of chef is queued")
	require.Equal(t, maxQueue-1, customers[1].Waiting)
	require.EqualValues(t, maxQueue, observe.Gauge(b.metrics, "owner_queue_depth").Value())
}

// A service is removed from the configuration. Its shard must be removed from memory,
// with no problem left listed for it.
func TestRemovedServiceIsForgotten(t *testing.T) {
	good := startReplica(t, standin.Behaviour{Versions: []uint64{7}})
	b := startFixture(t, good.Address())
	b.ask("chef")
	b.nextPart()
	require.Len(t, b.owner.Dump(), 1)
	b.publish()
	b.await("the shard is removed", func() bool { return len(b.owner.Dump()) == 0 })
	require.Empty(t, b.problems.List())
}

// A shard is reported as overloaded while it refuses requests. The report must be
// cleared overloadReportFor after the last refusal, also if no further request arrives.
func TestOverloadReportIsClearedAfterTheLastRefusal(t *testing.T) {
	now := core.Time(0)
	clock := func() core.Time { return now }
	b := &fixture{t: t, belief: belief.NewStore(), problems: observe.NewProblems(clock)}
	b.publish("127.0.0.1:9")
	client := upstream.NewClient()
	defer client.Close()
	l := newLoop(context.Background(), Options{Belief: b.belief, Upstream: client, Now: clock, Problems: b.problems, Metrics: observe.NewRegistry()})
	s := l.shard(b.belief.Config().Catalog, core.ShardRef{Service: "prices"})
	l.refuse(s, admit.Refuse{Reason: core.ReasonOverloaded})
	now = overloadReportFor - 1
	l.wake()
	require.True(t, b.hasProblem(observe.KindOverloaded))
	l.refuse(s, admit.Refuse{Reason: core.ReasonOverloaded})
	now = overloadReportFor + 1
	l.wake()
	require.True(t, b.hasProblem(observe.KindOverloaded), "another request was refused in the meantime")
	now = 2 * overloadReportFor
	l.wake()
	require.Empty(t, b.problems.List())
}
