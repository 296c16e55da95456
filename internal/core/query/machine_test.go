package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
)

func twoServicePlan() *Plan {
	return NewPlan(
		[]ServicePlan{
			{Name: "base", Shards: []int{0, 1}},
			{Name: "top", DependsOn: []int{0}, Shards: []int{2}},
		},
		[]Need{
			{Ref: core.ShardRef{Service: "base", Shard: 0}, Bundle: 1, Service: 0},
			{Ref: core.ShardRef{Service: "base", Shard: 1}, Bundle: 1, Service: 0},
			{Ref: core.ShardRef{Service: "top", Shard: 0}, Bundle: 2, Service: 1},
		},
	)
}

func testOptions() Options {
	return Options{Deadline: time.Second, MaxTries: 3, MaxSwitches: 3, RetryPause: 5 * time.Millisecond}
}

func sendsOf(actions []Action) []Send {
	var sends []Send
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			sends = append(sends, send)
		}
	}
	return sends
}

func answerOf(t *testing.T, actions []Action) Answer {
	t.Helper()
	for _, action := range actions {
		if finish, ok := action.(Finish); ok {
			return finish.Answer
		}
	}
	require.Fail(t, "the actions contain no Finish")
	return Answer{}
}

func TestDependenciesAreAskedFirst(t *testing.T) {
	m := New(twoServicePlan(), testOptions())
	sends := sendsOf(m.Step(0, Started{}))
	require.Len(t, sends, 1)
	require.Equal(t, []int{0, 1}, sends[0].Needs)
	require.Empty(t, sendsOf(m.Step(1, PartArrived{Send: 1, Need: 0, Version: 7, Payload: []byte("a")})))
	sends = sendsOf(m.Step(2, PartArrived{Send: 1, Need: 1, Version: 7, Payload: []byte("b")}))
	require.Len(t, sends, 1)
	require.Equal(t, core.Version(7), sends[0].Version)
	answer := answerOf(t, m.Step(3, PartArrived{Send: 2, Need: 2, Version: 7, Payload: []byte("c")}))
	require.Equal(t, 3, answer.Coverage.Answered)
	require.Empty(t, answer.Coverage.Missing)
}

// Guards against an answer that mixes index versions. The index moves from 7 to 8 between the
// replies of two shards, so the first parts differ; the query must settle on one version.
func TestVersionChangeMidQueryNeverMixes(t *testing.T) {
	m := New(twoServicePlan(), testOptions())
	m.Step(0, Started{})
	m.Step(1, PartArrived{Send: 1, Need: 0, Version: 7, Serves: []core.Version{7, 8}})
	sends := sendsOf(m.Step(2, PartArrived{Send: 1, Need: 1, Version: 8, Serves: []core.Version{8}}))
	require.Len(t, sends, 1, "only the shard without a part of version 8 is asked again")
	require.Equal(t, core.Version(8), sends[0].Version)
	require.Equal(t, []int{0}, sends[0].Needs)
	m.Step(3, PartArrived{Send: sends[0].ID, Need: 0, Version: 8})
	answer := answerOf(t, m.Step(4, PartArrived{Send: 3, Need: 2, Version: 8}))
	require.Equal(t, core.Version(8), answer.Version)
	require.Equal(t, 3, answer.Coverage.Answered)
}

// Guards against an incomplete answer that looks complete: one shard does not reply until the
// caller's deadline, and the answer names it with the reason.
func TestDeadlineReportsMissingShard(t *testing.T) {
	m := New(twoServicePlan(), testOptions())
	m.Step(0, Started{})
	m.Step(1, PartArrived{Send: 1, Need: 0, Version: 7})
	answer := answerOf(t, m.Step(time.Second, Woken{}))
	require.Equal(t, 1, answer.Coverage.Answered)
	require.Len(t, answer.Coverage.Missing, 2)
	require.Equal(t, core.ReasonDeadline, answer.Coverage.Missing[0].Reason)
}

// Guards against waiting for the owner of a bundle that pauses without closing its connection. The
// next node is asked, and the late reply is dropped.
func TestSilentOwnerFallsBack(t *testing.T) {
	options := testOptions()
	options.FallbackAfter = 50 * time.Millisecond
	m := New(twoServicePlan(), options)
	m.Step(0, Started{})
	sends := sendsOf(m.Step(50*time.Millisecond, Woken{}))
	require.Len(t, sends, 1)
	require.Equal(t, 1, sends[0].Rank)
	m.Step(51*time.Millisecond, PartArrived{Send: 2, Need: 0, Version: 7})
	sends = sendsOf(m.Step(52*time.Millisecond, PartArrived{Send: 2, Need: 1, Version: 7}))
	require.Len(t, sends, 1, "the dependent service starts on the second node's parts")
	m.Step(53*time.Millisecond, PartArrived{Send: 1, Need: 0, Version: 7})
	answer := answerOf(t, m.Step(54*time.Millisecond, PartArrived{Send: sends[0].ID, Need: 2, Version: 7}))
	require.Equal(t, 3, answer.Coverage.Answered)
	require.Equal(t, 1, answer.Dropped)
}

// threeShardPlan returns a plan of one service with three shards, each in its own bundle.
func threeShardPlan() *Plan {
	service := ServicePlan{Name: "base", Shards: []int{0, 1, 2}}
	var needs []Need
	for i := range 3 {
		needs = append(needs, Need{Ref: core.ShardRef{Service: "base", Shard: i}, Bundle: core.BundleID(i + 1)})
	}
	return NewPlan([]ServicePlan{service}, needs)
}

// Guards against leaving out a lagging shard while an older version covers all shards. The query
// returns to version 7, and shards that answered at 8 are asked again at 7.
func TestALaggingShardMovesTheQuestionToTheVersionOfAll(t *testing.T) {
	options := testOptions()
	options.Preferred = 8
	h := newHarness(t, threeShardPlan(), options, 7, 8)
	h.serves[core.ShardRef{Service: "base", Shard: 2}] = []core.Version{7}
	h.step(Started{})
	for len(h.pending) > 0 {
		h.step(h.honestReply(h.take(0), true))
	}
	require.NotNil(t, h.finished)
	require.Equal(t, core.Version(7), h.finished.Version)
	require.Equal(t, 3, h.finished.Coverage.Answered)
	require.Equal(t, 1, h.finished.Switches)
}

// Guards against a query that never ends: versions change faster than shards answer, and each reply
// names another one. The query must settle on the version that covers most before its deadline, and
// report the version as gone for the other shards.
func TestVersionsInFluxEndTheQuestionInTime(t *testing.T) {
	h := newHarness(t, threeShardPlan(), testOptions(), 7)
	h.step(Started{})
	version := core.Version(7)
	for replies := 0; h.finished == nil && replies < 100; replies++ {
		if len(h.pending) == 0 {
			h.now = h.wake
			h.step(Woken{})
			continue
		}
		version++
		a := h.take(0)
		h.serves[a.plan.Needs[a.need].Ref] = []core.Version{version}
		h.step(h.honestReply(a, true))
	}
	require.NotNil(t, h.finished)
	require.Less(t, h.now, h.options.Deadline)
	require.LessOrEqual(t, h.finished.Switches, h.options.MaxSwitches)
	require.Equal(t, 1, h.finished.Coverage.Answered)
	for _, missing := range h.finished.Coverage.Missing {
		require.Equal(t, core.ReasonVersionGone, missing.Reason)
	}
}

// Guards against an early answer that waits for a straggler: one of twenty shards hangs. Its
// dependent must be asked without it, the answer must name it, and its late part must not be merged
// with a part that was computed without it.
func TestAnEarlyAnswerLeavesOutTheStraggler(t *testing.T) {
	options := testOptions()
	options.Preference = PreferEarly
	h := newHarness(t, aggregatorPlan(21, 1), options, 7)
	h.step(Started{})
	for range 19 {
		h.step(h.honestReply(h.take(0), true))
	}
	require.Len(t, h.pending, 2, "the hanging shard and the aggregator")
	h.step(h.honestReply(h.take(0), true))
	require.Equal(t, 1, h.m.dropped)
	h.step(h.honestReply(h.take(0), true))
	require.Equal(t, 20, h.finished.Coverage.Answered)
	require.Equal(t, core.ReasonStraggler, h.finished.Coverage.Missing[0].Reason)
	require.Equal(t, 1, h.finished.Coverage.Incomplete, "the aggregator lacked a dependency")
	require.False(t, h.finished.BelowLeast)
}

// Guards against an early answer without the queried service, if the least coverage is reached
// before that service is asked.
func TestEarlyAnswerWaitsForQueriedService(t *testing.T) {
	services := []ServicePlan{
		{Name: "base", Shards: []int{0, 1, 2, 3}},
		{Name: "mid", DependsOn: []int{0}, Shards: []int{4}},
		{Name: "top", DependsOn: []int{1}, Shards: []int{5}},
	}
	var needs []Need
	for i, service := range []int{0, 0, 0, 0, 1, 2} {
		needs = append(needs, Need{Ref: core.ShardRef{Service: services[service].Name, Shard: i}, Bundle: core.BundleID(i), Service: service})
	}
	options := testOptions()
	options.Preference = PreferEarly
	options.LeastCoverage = 0.5
	h := newHarness(t, NewPlan(services, needs), options, 7)
	h.step(Started{})
	h.step(h.honestReply(h.take(0), true))
	h.step(h.honestReply(h.take(0), true))
	h.step(h.honestReply(h.take(2), true))
	require.Nil(t, h.finished, "half of the shards have answered, the queried service has not")
	h.step(h.honestReply(h.take(2), true))
	require.Equal(t, 4, h.finished.Coverage.Answered)
	require.Equal(t, 2, h.finished.Coverage.Incomplete)
}

// Guards against a switch that asks all shards again without a gain in coverage: as many shards
// have lost 7 as lack 8.
func TestEqualCoverageDoesNotSwitchVersion(t *testing.T) {
	options := testOptions()
	options.Preferred = 7
	h := newHarness(t, threeShardPlan(), options, 7)
	h.serves[core.ShardRef{Service: "base"}] = []core.Version{8}
	h.step(Started{})
	h.step(h.honestReply(h.take(1), true))
	h.step(h.honestReply(h.take(0), true))
	require.Zero(t, h.m.switches)
	require.Equal(t, core.Version(7), h.m.target)
}

// Guards against reporting the reason of an earlier failure: a shard's first attempt fails and its
// second one hangs, so the part is missing because of the deadline.
func TestTheReasonIsThatOfTheLastTry(t *testing.T) {
	h := newHarness(t, threeShardPlan(), testOptions(), 7)
	h.step(Started{})
	h.step(SendFailed{Send: 1, Reason: core.ReasonPeerLost})
	h.now = h.wake
	h.step(Woken{})
	require.Equal(t, 4, h.sendCount)
	h.now = h.options.Deadline
	h.step(Woken{})
	require.Equal(t, core.ReasonDeadline, h.finished.Coverage.Missing[0].Reason)
}

// Guards against waiting for nothing: an owner asks for a retry after the caller's deadline, so the
// answer is returned at once.
func TestRetryPastDeadlineIsNotAwaited(t *testing.T) {
	h := newHarness(t, threeShardPlan(), testOptions(), 7)
	h.step(Started{})
	for range 2 {
		h.step(h.honestReply(h.take(0), true))
	}
	h.step(SendFailed{Send: 3, Outcome: core.NotRun, Reason: core.ReasonOverloaded, RetryAfter: 2 * time.Second})
	require.Equal(t, 2, h.finished.Coverage.Answered)
	require.Equal(t, core.ReasonOverloaded, h.finished.Coverage.Missing[0].Reason)
}

// Guards against withholding or not marking an answer below the least coverage: the caller requires
// 0.9, and only two shards of three are available. The answer is returned without waiting, and
// marked.
func TestAnAnswerBelowTheLeastCoverageIsMarked(t *testing.T) {
	options := testOptions()
	options.LeastCoverage = 0.9
	options.MaxTries = 1
	h := newHarness(t, threeShardPlan(), options, 7)
	h.step(Started{})
	h.step(h.honestReply(h.take(0), true))
	h.step(h.honestReply(h.take(0), true))
	a := h.take(0)
	h.step(PartFailed{Send: a.send.ID, Need: a.need, Outcome: core.Unknown, Reason: core.ReasonUpstreamFailed, Last: true})
	require.True(t, h.finished.BelowLeast)
	require.Equal(t, 2, h.finished.Coverage.Answered)
	require.Empty(t, h.finished.Reason)
}

// Guards against asking a service of which no dependency has a part. It would have no input, so the
// answer reports its dependency as missing.
func TestAServiceWithoutAnyDependencyIsNotAsked(t *testing.T) {
	options := testOptions()
	options.MaxTries = 1
	h := newHarness(t, twoServicePlan(), options, 7)
	h.step(Started{})
	h.step(SendFailed{Send: 1, Reason: core.ReasonPeerLost})
	require.Equal(t, 1, h.finished.Sends)
	require.Zero(t, h.finished.Version)
	require.Equal(t, core.ReasonPeerLost, h.finished.Coverage.Missing[0].Reason)
	require.Equal(t, core.ReasonDependency, h.finished.Coverage.Missing[2].Reason)
}

// Guards against merging a part with a dependent's part that was computed without it. The query
// switches from 7 to 8 and back to 7, where the dependent has already answered without the part of
// a shard that had none at 7 then.
func TestAReturnToAVersionAddsNothingToAnsweredDependents(t *testing.T) {
	options := testOptions()
	options.MaxTries = 1
	h := newHarness(t, twoServicePlan(), options, 7)
	second := core.ShardRef{Service: "base", Shard: 1}
	h.step(Started{})
	h.step(h.honestReply(h.take(0), false))
	a := h.take(0)
	h.step(PartFailed{Send: a.send.ID, Need: a.need, Outcome: core.Unknown, Reason: core.ReasonUpstreamFailed, Last: true})
	h.serves[core.ShardRef{Service: "top"}] = []core.Version{8}
	top := h.take(0)
	h.m.needs[2].parts = append(h.m.needs[2].parts, versionPart{version: 7, payload: h.replyAt(top, 7, false).(PartArrived).Payload})
	h.m.switchTo(8)
	h.m.switchTo(7)
	h.step(Woken{})
	require.NotNil(t, h.finished)
	require.Equal(t, core.Version(7), h.finished.Version)
	require.Equal(t, 2, h.finished.Coverage.Answered)
	require.Equal(t, second, h.finished.Coverage.Missing[0].Ref)
	require.Equal(t, core.ReasonUpstreamFailed, h.finished.Coverage.Missing[0].Reason)
}

// Guards against retries without a token: once the budget is exhausted, an attempt that may have
// run, or was refused because of overload, is not repeated, while "not owner" still is.
func TestExhaustedBudgetStopsUnsafeRetries(t *testing.T) {
	options := testOptions()
	options.MaxReroutes = 2
	options.Budget = &countingBudget{bucket: exhaustedBudget()}
	h := newHarness(t, threeShardPlan(), options, 7)
	h.step(Started{})
	h.step(SendFailed{Send: 1, Outcome: core.Unknown, Reason: core.ReasonPeerLost})
	h.step(SendFailed{Send: 2, Outcome: core.NotRun, Reason: core.ReasonOverloaded})
	h.step(SendFailed{Send: 3, Outcome: core.NotRun, Reason: core.ReasonNotOwner})
	h.now = h.wake
	h.step(Woken{})
	require.Equal(t, 4, h.sendCount)
	require.Equal(t, 2, h.pending[len(h.pending)-1].need)
}

// Guards against retries overloading a failing fleet. If every attempt fails and retries are
// unlimited, the fleet receives three times its load and does not recover; with the budget it
// receives a tenth more.
func TestASickFleetIsNotAskedThreeTimes(t *testing.T) {
	const queries, shards = 200, 20
	load := func(b Budget) float64 {
		asked := 0
		for range queries {
			options := testOptions()
			options.Budget = b
			h := newHarness(t, aggregatorPlan(shards+1, 1), options, 7)
			h.step(Started{})
			for h.finished == nil {
				for len(h.pending) > 0 {
					asked++
					h.step(SendFailed{Send: h.take(0).send.ID, Reason: core.ReasonUpstreamFailed})
				}
				if h.finished == nil {
					h.now = h.wake
					h.step(Woken{})
				}
			}
		}
		return float64(asked) / (queries * shards)
	}
	free, bounded := load(nil), load(&countingBudget{bucket: budget.New(budget.Config{})})
	t.Logf("attempts per first attempt: %.3f without a budget, %.3f with one", free, bounded)
	require.Equal(t, 3.0, free)
	require.LessOrEqual(t, bounded, 1+budget.DefaultRatio+budget.DefaultFloor/float64(queries*shards))
}

func exhaustedBudget() *budget.Budget {
	b := budget.New(budget.Config{Floor: 1, Ratio: 0.001})
	b.TakeExtra()
	return b
}

func TestShardVersionsBoundedAndPruned(t *testing.T) {
	versions := NewShardVersions()
	versions.limit = 2
	for i := range 5 {
		versions.Update(core.ShardRef{Service: "base", Shard: i}, []core.Version{7, 8})
	}
	require.Equal(t, 2, versions.Len())
	require.Equal(t, core.Version(8), versions.Preferred(threeShardPlan()))
	versions.Update(core.ShardRef{Service: "base"}, []core.Version{7})
	require.Equal(t, core.Version(7), versions.Preferred(threeShardPlan()), "the newest version that all shards serve")
	versions.Retain(func(ref core.ShardRef) bool { return ref.Shard == 1 })
	require.Equal(t, 1, versions.Len())
}
