package entry

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
	"github.com/pistachiopier/pistachiopier/internal/core/entrylimit"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// config returns a configuration of one service, prices, with the given number of shards
// and a bundle size of 4. Customer chef may have one request in flight.
func config(t *testing.T, revision uint64, shards int) *belief.Config {
	t.Helper()
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [i]\npolicy: {bundle_size: 4}\ncustomers: [{name: chef, in_flight: 1}]\n")
	b.WriteString("services:\n  - name: prices\n    index: i\n    timeout: 5s\n    shards:\n")
	for i := range shards {
		fmt.Fprintf(&b, "      - replicas: [{address: \"127.0.0.1:%d\"}]\n", 9000+i)
	}
	parsed, err := catalog.Parse([]byte(b.String()))
	require.NoError(t, err)
	return &belief.Config{Revision: revision, Catalog: parsed}
}

// owners is a peer.Sender that answers all requests with one function, regardless of the
// target.
type owners func(request *peerpb.BundleRequest, sink peer.Sink)

// nodes is a peer.Sender that answers by target node.
type nodes map[core.NodeID]owners

// Send implements peer.Sender.
func (n nodes) Send(target peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	return n[target.Node].Send(target, request, sink)
}

type noopCanceller struct{}

func (noopCanceller) Cancel() {}

// Send implements peer.Sender.
func (o owners) Send(_ peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	o(request.GetBundleRequest(), sink)
	return noopCanceller{}
}

func part(ask *peerpb.ShardAsk, last bool) *peerpb.Envelope {
	return &peerpb.Envelope{Last: last, Body: &peerpb.Envelope_Part{Part: &peerpb.Part{
		Service: ask.GetService(), Shard: ask.GetShard(), Version: 7, Serves: []uint64{7}, Outcome: uint32(core.Done),
	}}}
}

func refusal(ask *peerpb.ShardAsk, reason core.Reason, last bool) *peerpb.Envelope {
	return &peerpb.Envelope{Last: last, Body: &peerpb.Envelope_Part{Part: &peerpb.Part{
		Service: ask.GetService(), Shard: ask.GetShard(), Outcome: uint32(core.NotRun), Reason: string(reason),
	}}}
}

// answerAll answers each requested shard, except those for which refuse returns a reason.
func answerAll(refuse func(*peerpb.ShardAsk) core.Reason) owners {
	return func(request *peerpb.BundleRequest, sink peer.Sink) {
		for i, ask := range request.GetAsks() {
			last := i+1 == len(request.GetAsks())
			if reason := refuse(ask); reason != core.ReasonNone {
				sink(refusal(ask, reason, last), nil)
				continue
			}
			sink(part(ask, last), nil)
		}
	}
}

type fixture struct {
	*Entry
	belief   *belief.Store
	problems *observe.Problems
	metrics  observe.Registry
}

func start(t *testing.T, first *belief.Config, peers peer.Sender, change ...func(*Options)) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := time.Now()
	now := func() core.Time { return time.Since(started) }
	f := &fixture{belief: belief.NewStore(), problems: observe.NewProblems(now), metrics: observe.NewRegistry()}
	f.belief.SetConfig(first)
	f.belief.SetView(route.NewView([]route.Node{{ID: "vm-1"}}))
	options := Options{Self: "vm-1", Belief: f.belief, Peers: peers, Now: now, Log: log, Problems: f.problems, Metrics: f.metrics}
	for _, apply := range change {
		apply(&options)
	}
	f.Entry = New(options)
	t.Cleanup(f.Close)
	return f
}

func (f *fixture) count(name string) int64 { return observe.Counter(f.metrics, name).Count() }

func (f *fixture) ask(t *testing.T) *Result {
	t.Helper()
	result, err := f.Ask(context.Background(), Query{Service: "prices", Customer: "chef"})
	require.NoError(t, err)
	return result
}

// Guards against an incomplete answer that counts as complete. The service is split from
// two shards into four while a query is planned with the old configuration, and shard 0
// of two holds other data than shard 0 of four. The owner has the new configuration and
// refuses; the entry must replan and ask all four shards.
func TestAServiceRepartitionedMidQuestionIsAskedAnew(t *testing.T) {
	var f *fixture
	after := config(t, 2, 4)
	f = start(t, config(t, 1, 2), answerAll(func(ask *peerpb.ShardAsk) core.Reason {
		if ask.GetShards() == 4 {
			return core.ReasonNone
		}
		f.belief.SetConfig(after)
		return core.ReasonLayout
	}))
	result := f.ask(t)
	require.Equal(t, 4, result.Coverage.Asked)
	require.Equal(t, 4, result.Coverage.Answered)
	require.EqualValues(t, 2, result.Revision)
	require.Equal(t, 1, result.Replans)
	require.EqualValues(t, 1, f.count("entry_replans_total"))
}

// The owner has a newer configuration that this node does not receive in time. The answer
// is incomplete, gives the reason, and is sent long before the deadline.
func TestARepartitionNotYetSeenHereEndsThin(t *testing.T) {
	f := start(t, config(t, 1, 2), answerAll(func(*peerpb.ShardAsk) core.Reason { return core.ReasonLayout }))
	result := f.ask(t)
	require.Zero(t, result.Coverage.Answered)
	require.Equal(t, core.ReasonLayout, result.Coverage.Missing[0].Reason)
	require.Empty(t, result.Reason, "the entry must not wait for the deadline")
}

// Guards against incomplete answers that no operator notices. The thin service must be
// reported while its shard is missing from answers, and cleared after a complete one.
func TestAThinServiceIsReportedUntilWhole(t *testing.T) {
	var broken atomic.Bool
	f := start(t, config(t, 1, 3), answerAll(func(ask *peerpb.ShardAsk) core.Reason {
		if broken.Load() && ask.GetShard() == 2 {
			return core.ReasonNoReplica
		}
		return core.ReasonNone
	}))
	broken.Store(true)
	for range 2 * defaultLoops {
		require.Equal(t, 2, f.ask(t).Coverage.Answered)
	}
	require.Len(t, f.problems.List(), 1)
	require.Equal(t, observe.KindThinService, f.problems.List()[0].Kind)
	require.Equal(t, "prices", f.problems.List()[0].Subject)
	require.EqualValues(t, 2*defaultLoops, f.count("entry_answers_thin_total"))
	broken.Store(false)
	for range 2 * defaultLoops {
		f.ask(t)
	}
	require.Empty(t, f.problems.List())
}

// Guards against a problem that stays listed after the shard has recovered: each loop
// knew only its own reports, and complete answers on other loops did not clear them. One
// complete answer on any loop must clear the report.
func TestOneCompleteAnswerClearsAThinService(t *testing.T) {
	var broken atomic.Bool
	f := start(t, config(t, 1, 3), answerAll(func(ask *peerpb.ShardAsk) core.Reason {
		if broken.Load() && ask.GetShard() == 2 {
			return core.ReasonNoReplica
		}
		return core.ReasonNone
	}))
	for thin := 1; thin <= defaultLoops; thin++ {
		broken.Store(true)
		for range thin {
			f.ask(t)
		}
		require.Len(t, f.problems.List(), 1)
		broken.Store(false)
		f.ask(t)
		require.Empty(t, f.problems.List(), "after %d incomplete answers", thin)
	}
}

// An owner ends its reply after the first of two shards. The entry must ask for the other
// shard again at once, not wait for it until the deadline.
func TestACutReplyIsAskedAgainAtOnce(t *testing.T) {
	var messages atomic.Int64
	f := start(t, config(t, 1, 2), owners(func(request *peerpb.BundleRequest, sink peer.Sink) {
		if messages.Add(1) == 1 {
			sink(part(request.GetAsks()[0], true), nil)
			return
		}
		answerAll(func(*peerpb.ShardAsk) core.Reason { return core.ReasonNone })(request, sink)
	}))
	result := f.ask(t)
	require.Equal(t, 2, result.Coverage.Answered)
	require.Equal(t, 1, result.Retries)
	require.Less(t, result.Elapsed, 5*time.Second)
}

// Every shard fails and each query is retried. The retries of the node must stay within
// one budget. With a budget for each of its four loops, the failing upstreams would get
// four times the floor from every node.
func TestRetriesOfANodeStayWithinOneBudget(t *testing.T) {
	const queries = 60
	f := start(t, config(t, 1, 1), owners(func(request *peerpb.BundleRequest, sink peer.Sink) {
		failed := refusal(request.GetAsks()[0], core.ReasonUpstreamFailed, true)
		failed.GetPart().Outcome = uint32(core.Unknown)
		sink(failed, nil)
	}))
	extra := 0
	for range queries {
		extra += f.ask(t).Retries
	}
	require.LessOrEqual(t, extra, queries/10+budget.DefaultFloor)
	require.GreaterOrEqual(t, extra, budget.DefaultFloor)
}

// One loop has learnt of a new version. The next query runs on another loop and must ask
// for that version at once.
func TestVersionsAreSharedBetweenLoops(t *testing.T) {
	var asked []uint64
	whole := answerAll(func(*peerpb.ShardAsk) core.Reason { return core.ReasonNone })
	f := start(t, config(t, 1, 1), owners(func(request *peerpb.BundleRequest, sink peer.Sink) {
		asked = append(asked, request.GetVersion())
		whole(request, sink)
	}))
	f.ask(t)
	f.ask(t)
	require.Equal(t, []uint64{0, 7}, asked)
}

// A customer over its limit is refused at once, with a retry-after time.
func TestCustomerOverItsLimitIsRefusedWithRetryAfter(t *testing.T) {
	release := make(chan peer.Sink, 1)
	asks := make(chan *peerpb.BundleRequest, 1)
	f := start(t, config(t, 1, 1), owners(func(request *peerpb.BundleRequest, sink peer.Sink) {
		asks <- request
		release <- sink
	}))
	done := make(chan query.Coverage, 1)
	go func() {
		result, _ := f.Ask(context.Background(), Query{Service: "prices", Customer: "chef"})
		done <- result.Coverage
	}()
	request := <-asks
	_, err := f.Ask(context.Background(), Query{Service: "prices", Customer: "chef"})
	typed := fault.As(err)
	require.Equal(t, fault.CodeOverloaded, typed.Code)
	require.Equal(t, core.NotRun, typed.Outcome)
	require.Positive(t, typed.RetryAfter)
	require.EqualValues(t, 1, f.count("entry_refused_total"))
	(<-release)(part(request.GetAsks()[0], true), nil)
	require.Equal(t, 1, (<-done).Answered)
	require.Zero(t, f.InFlight())
}

// The settings allow two queries in flight. The first customer is limited to its share,
// the second one fills the entry, and the third is refused at once. Each refusal is
// counted under its cause.
func TestInFlightLimitsAreThoseOfTheSettings(t *testing.T) {
	asks, release := make(chan *peerpb.BundleRequest, 2), make(chan peer.Sink, 2)
	f := start(t, config(t, 1, 1), owners(func(request *peerpb.BundleRequest, sink peer.Sink) {
		asks <- request
		release <- sink
	}), func(o *Options) { o.Limits = entrylimit.Config{MaxInFlight: 2, Headroom: 1} })
	var held sync.WaitGroup
	hold := func(customer core.Customer) *peerpb.BundleRequest {
		held.Go(func() { _, _ = f.Ask(context.Background(), Query{Service: "prices", Customer: customer}) })
		return <-asks
	}
	refused := func(customer core.Customer) {
		_, err := f.Ask(context.Background(), Query{Service: "prices", Customer: customer})
		require.Equal(t, fault.CodeOverloaded, fault.As(err).Code)
	}
	request := hold("import")
	refused("import")
	require.EqualValues(t, 1, f.count("entry_refused_share_total"))
	hold("waiter")
	refused("other")
	require.EqualValues(t, 1, f.count("entry_refused_full_total"))
	for range 2 {
		(<-release)(part(request.GetAsks()[0], true), nil)
	}
	held.Wait()
	require.Zero(t, f.InFlight())
}

// The owner of a shard has changed. The query must be rerouted to the new owner with the
// current view, not the view that it was planned with.
func TestNotOwnerIsReroutedByTheCurrentView(t *testing.T) {
	var f *fixture
	whole := answerAll(func(*peerpb.ShardAsk) core.Reason { return core.ReasonNone })
	f = start(t, config(t, 1, 2), nodes{
		"vm-1": func(_ *peerpb.BundleRequest, sink peer.Sink) {
			f.belief.SetView(route.NewView([]route.Node{{ID: "vm-2"}}))
			refused := peer.NewRefusal(core.ReasonNotOwner)
			refused.Last = true
			sink(refused, nil)
		},
		"vm-2": whole,
	})
	result := f.ask(t)
	require.Equal(t, 2, result.Coverage.Answered)
	require.Equal(t, 2, result.Sends)
}
