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

// config is a text of one service, prices, with the given number of shards in
// bundles of two or more; customer chef may have one request in flight.
func config(t *testing.T, revision uint64, shards int) *belief.Config {
	t.Helper()
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [i]\npolicy: {bundle_size: 4}\ncustomers: [{name: chef, in_flight: 1}]\n")
	b.WriteString("services:\n  - name: prices\n    index: i\n    timeout: 5s\n    shards:\n")
	for i := range shards {
		fmt.Fprintf(&b, "      - replicas: [{address: \"127.0.0.1:%d\"}]\n", 9000+i)
	}
	text, err := catalog.Parse([]byte(b.String()))
	require.NoError(t, err)
	return &belief.Config{Revision: revision, Catalog: text}
}

// owners answers the entry's messages by a function, whichever node is asked.
type owners func(request *peerpb.BundleRequest, sink peer.Sink)

// nodes answers by the node that is asked.
type nodes map[core.NodeID]owners

// Ask implements peer.Asker.
func (n nodes) Ask(target peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Ticket {
	return n[target.Node].Ask(target, request, sink)
}

type noTicket struct{}

func (noTicket) Cancel() {}

// Ask implements peer.Asker.
func (o owners) Ask(_ peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Ticket {
	o(request.GetBundleRequest(), sink)
	return noTicket{}
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

// answerAll answers each shard but those that the function refuses.
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

func start(t *testing.T, first *belief.Config, peers peer.Asker, alter ...func(*Options)) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	began := time.Now()
	now := func() core.Time { return time.Since(began) }
	f := &fixture{belief: belief.NewStore(), problems: observe.NewProblems(now), metrics: observe.NewRegistry()}
	f.belief.SetConfig(first)
	f.belief.SetView(route.NewView([]route.Node{{ID: "vm-1"}}))
	options := Options{Self: "vm-1", Belief: f.belief, Peers: peers, Now: now, Log: log, Problems: f.problems, Metrics: f.metrics}
	for _, one := range alter {
		one(&options)
	}
	f.Entry = New(options)
	t.Cleanup(f.Close)
	return f
}

func (f *fixture) count(name string) int64 { return observe.Counter(f.metrics, name).Count() }

func (f *fixture) ask(t *testing.T) *Result {
	t.Helper()
	result, err := f.Ask(context.Background(), Question{Service: "prices", Customer: "chef"})
	require.NoError(t, err)
	return result
}

// A supervisor's list would miss half a catalogue and call itself whole: the
// service is split from two shards into four while the question is planned by
// the old text, and shard 0 of two is not shard 0 of four. The owner, which has
// the new text, refuses; the entry must plan anew and ask all four.
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

// The owner has a newer text that this node never gets in time. The answer is
// thin and says why, long before the deadline.
func TestARepartitionNotYetSeenHereEndsThin(t *testing.T) {
	f := start(t, config(t, 1, 2), answerAll(func(*peerpb.ShardAsk) core.Reason { return core.ReasonLayout }))
	result := f.ask(t)
	require.Zero(t, result.Coverage.Answered)
	require.Equal(t, core.ReasonLayout, result.Coverage.Missing[0].Reason)
	require.Empty(t, result.Reason, "the deadline was not waited for")
}

// A thin list went unnoticed overnight. The problem must stand while answers
// lack the service's shard, and go once one is whole.
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

// An operator mends the shard, sees whole answers and still finds the problem
// listed: the questions went to other loops than the thin one's, and each loop
// knew only its own reports. One whole answer must clear it, on whichever loop.
func TestOneWholeAnswerClearsAThinService(t *testing.T) {
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
		require.Empty(t, f.problems.List(), "after %d thin answers", thin)
	}
}

// An owner ends its reply after the first of two shards. Without a guard the
// other shard is waited for until the deadline although nothing can come.
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

// Every shard fails and each question is tried again. The retries that the node
// adds must stay under one bound, not under one for each of its loops: the sick
// upstreams would get the floor four times over from every node.
func TestRetriesOfANodeStayUnderOneBound(t *testing.T) {
	const questions = 60
	f := start(t, config(t, 1, 1), owners(func(request *peerpb.BundleRequest, sink peer.Sink) {
		failed := refusal(request.GetAsks()[0], core.ReasonUpstreamFailed, true)
		failed.GetPart().Outcome = uint32(core.Unknown)
		sink(failed, nil)
	}))
	extra := 0
	for range questions {
		extra += f.ask(t).Retries
	}
	require.LessOrEqual(t, extra, questions/10+budget.DefaultFloor)
	require.GreaterOrEqual(t, extra, budget.DefaultFloor)
}

// A new version was learnt by one loop. The next question, on another loop, must
// ask for it at once.
func TestAVersionIsLearntForTheWholeNode(t *testing.T) {
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

// A customer over its limit is told so at once, with when to come back.
func TestOverTheLimitIsRefusedWithAWayBack(t *testing.T) {
	release := make(chan peer.Sink, 1)
	asks := make(chan *peerpb.BundleRequest, 1)
	f := start(t, config(t, 1, 1), owners(func(request *peerpb.BundleRequest, sink peer.Sink) {
		asks <- request
		release <- sink
	}))
	done := make(chan query.Coverage, 1)
	go func() {
		result, _ := f.Ask(context.Background(), Question{Service: "prices", Customer: "chef"})
		done <- result.Coverage
	}()
	request := <-asks
	_, err := f.Ask(context.Background(), Question{Service: "prices", Customer: "chef"})
	typed := fault.As(err)
	require.Equal(t, fault.CodeOverloaded, typed.Code)
	require.Equal(t, core.NotRun, typed.Outcome)
	require.Positive(t, typed.RetryAfter)
	require.EqualValues(t, 1, f.count("entry_refused_total"))
	(<-release)(part(request.GetAsks()[0], true), nil)
	require.Equal(t, 1, (<-done).Answered)
	require.Zero(t, f.InFlight())
}

// An operator gives a small VM room for two questions. One customer may hold no
// more than its share of them, a second one takes the last place, and a third is
// refused at once; each refusal is counted by its cause.
func TestThePlacesAreThoseOfTheSettings(t *testing.T) {
	asks, release := make(chan *peerpb.BundleRequest, 2), make(chan peer.Sink, 2)
	f := start(t, config(t, 1, 1), owners(func(request *peerpb.BundleRequest, sink peer.Sink) {
		asks <- request
		release <- sink
	}), func(o *Options) { o.Limits = entrylimit.Config{MaxInFlight: 2, Headroom: 1} })
	var held sync.WaitGroup
	hold := func(customer core.Customer) *peerpb.BundleRequest {
		held.Go(func() { _, _ = f.Ask(context.Background(), Question{Service: "prices", Customer: customer}) })
		return <-asks
	}
	refused := func(customer core.Customer) {
		_, err := f.Ask(context.Background(), Question{Service: "prices", Customer: customer})
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

// The owner of a shard has just handed it over. The question must follow to the
// new owner by the view in force now, not by the one it was planned with.
func TestNotOwnerIsAskedAgainByTheNewestView(t *testing.T) {
	var f *fixture
	whole := answerAll(func(*peerpb.ShardAsk) core.Reason { return core.ReasonNone })
	f = start(t, config(t, 1, 2), nodes{
		"vm-1": func(_ *peerpb.BundleRequest, sink peer.Sink) {
			f.belief.SetView(route.NewView([]route.Node{{ID: "vm-2"}}))
			refused := peer.Refused(core.ReasonNotOwner)
			refused.Last = true
			sink(refused, nil)
		},
		"vm-2": whole,
	})
	result := f.ask(t)
	require.Equal(t, 2, result.Coverage.Answered)
	require.Equal(t, 2, result.Sends)
}
