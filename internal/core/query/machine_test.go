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
	require.Fail(t, "no Finish among the actions")
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

// A supervisor would see cues of two index versions in one list. The index
// moves from 7 to 8 between the replies of two shards, so the first parts
// disagree; the question must settle on one version before it answers.
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

// A thin list must say that it is thin: one shard stays silent until the
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

// The owner of a bundle pauses without closing its connection. Its silence is
// the only sign; the next node is asked, and the late reply is dropped.
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

// lagPlan is one service of three shards, each in its own bundle.
func lagPlan() *Plan {
	service := ServicePlan{Name: "base", Shards: []int{0, 1, 2}}
	var needs []Need
	for i := range 3 {
		needs = append(needs, Need{Ref: core.ShardRef{Service: "base", Shard: i}, Bundle: core.BundleID(i + 1)})
	}
	return NewPlan([]ServicePlan{service}, needs)
}

// A new index is out and one shard lags. The chef must not get a list without
// that shard while version 7 would give a whole one: the question goes back to
// it, and shards that answered at 8 are asked again at 7.
func TestALaggingShardMovesTheQuestionToTheVersionOfAll(t *testing.T) {
	options := testOptions()
	options.Preferred = 8
	w := newWorld(t, lagPlan(), options, 7, 8)
	w.serves[core.ShardRef{Service: "base", Shard: 2}] = []core.Version{7}
	w.step(Started{})
	for len(w.pending) > 0 {
		w.step(w.part(w.take(0), true))
	}
	require.NotNil(t, w.finished)
	require.Equal(t, core.Version(7), w.finished.Version)
	require.Equal(t, 3, w.finished.Coverage.Answered)
	require.Equal(t, 1, w.finished.Switches)
}

// Versions come and go faster than shards answer: each reply names another one.
// A question that followed each would never end; it must settle on what covers
// most, before its deadline, and name the version as gone where it is.
func TestVersionsInFluxEndTheQuestionInTime(t *testing.T) {
	w := newWorld(t, lagPlan(), testOptions(), 7)
	w.step(Started{})
	version := core.Version(7)
	for replies := 0; w.finished == nil && replies < 100; replies++ {
		if len(w.pending) == 0 {
			w.now = w.wake
			w.step(Woken{})
			continue
		}
		version++
		a := w.take(0)
		w.serves[a.plan.Needs[a.need].Ref] = []core.Version{version}
		w.step(w.part(a, true))
	}
	require.NotNil(t, w.finished)
	require.Less(t, w.now, w.options.Deadline)
	require.LessOrEqual(t, w.finished.Switches, w.options.MaxSwitches)
	require.Equal(t, 1, w.finished.Coverage.Answered)
	for _, missing := range w.finished.Coverage.Missing {
		require.Equal(t, core.ReasonVersionGone, missing.Reason)
	}
}

// A chef asks for an early answer and one of twenty shards hangs. Its dependent
// must be asked without it, the answer must name it, and its part, should it
// come after all, must not stand beside a part computed without it.
func TestAnEarlyAnswerLeavesOutTheStraggler(t *testing.T) {
	options := testOptions()
	options.Preference = PreferEarly
	w := newWorld(t, leadPlan(21, 1), options, 7)
	w.step(Started{})
	for range 19 {
		w.step(w.part(w.take(0), true))
	}
	require.Len(t, w.pending, 2, "the hanging shard and the lead")
	w.step(w.part(w.take(0), true))
	require.Equal(t, 1, w.m.dropped)
	w.step(w.part(w.take(0), true))
	require.Equal(t, 20, w.finished.Coverage.Answered)
	require.Equal(t, core.ReasonStraggler, w.finished.Coverage.Missing[0].Reason)
	require.Equal(t, 1, w.finished.Coverage.Incomplete, "the lead lacked a dependency")
	require.False(t, w.finished.BelowLeast)
}

// Least coverage is reached before the service that was asked has its turn. An
// early answer without the very part that the chef asked for would be useless.
func TestAnEarlyAnswerWaitsForTheServiceAsked(t *testing.T) {
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
	w := newWorld(t, NewPlan(services, needs), options, 7)
	w.step(Started{})
	w.step(w.part(w.take(0), true))
	w.step(w.part(w.take(0), true))
	w.step(w.part(w.take(2), true))
	require.Nil(t, w.finished, "half is there, the service asked is not")
	w.step(w.part(w.take(2), true))
	require.Equal(t, 4, w.finished.Coverage.Answered)
	require.Equal(t, 2, w.finished.Coverage.Incomplete)
}

// As many shards have lost 7 as never got 8. To move would ask all again and
// cover no more; the question stays.
func TestAnEqualVersionIsNoReasonToSwitch(t *testing.T) {
	options := testOptions()
	options.Preferred = 7
	w := newWorld(t, lagPlan(), options, 7)
	w.serves[core.ShardRef{Service: "base"}] = []core.Version{8}
	w.step(Started{})
	w.step(w.part(w.take(1), true))
	w.step(w.part(w.take(0), true))
	require.Zero(t, w.m.switches)
	require.Equal(t, core.Version(7), w.m.target)
}

// A shard's first try fails and its second one hangs. What keeps the part out
// is the deadline, and an operator must not be sent after the first failure.
func TestTheReasonIsThatOfTheLastTry(t *testing.T) {
	w := newWorld(t, lagPlan(), testOptions(), 7)
	w.step(Started{})
	w.step(SendFailed{Send: 1, Reason: core.ReasonPeerLost})
	w.now = w.wake
	w.step(Woken{})
	require.Equal(t, 4, w.sent)
	w.now = w.options.Deadline
	w.step(Woken{})
	require.Equal(t, core.ReasonDeadline, w.finished.Coverage.Missing[0].Reason)
}

// An owner says to come back after the caller's deadline. Nothing more can
// come, so the answer is given at once rather than at the deadline.
func TestARetryPastTheDeadlineIsNotWaitedFor(t *testing.T) {
	w := newWorld(t, lagPlan(), testOptions(), 7)
	w.step(Started{})
	for range 2 {
		w.step(w.part(w.take(0), true))
	}
	w.step(SendFailed{Send: 3, Outcome: core.NotRun, Reason: core.ReasonOverloaded, RetryAfter: 2 * time.Second})
	require.Equal(t, 2, w.finished.Coverage.Answered)
	require.Equal(t, core.ReasonOverloaded, w.finished.Coverage.Missing[0].Reason)
}

// A caller wants nine tenths and only two shards of three can be had. What is
// there is worth more than nothing: it is returned, marked, without waiting.
func TestAnAnswerBelowTheLeastCoverageIsMarked(t *testing.T) {
	options := testOptions()
	options.LeastCoverage = 0.9
	options.MaxTries = 1
	w := newWorld(t, lagPlan(), options, 7)
	w.step(Started{})
	w.step(w.part(w.take(0), true))
	w.step(w.part(w.take(0), true))
	a := w.take(0)
	w.step(PartFailed{Send: a.send.ID, Need: a.need, Outcome: core.Unknown, Reason: core.ReasonUpstreamFailed, Last: true})
	require.True(t, w.finished.BelowLeast)
	require.Equal(t, 2, w.finished.Coverage.Answered)
	require.Empty(t, w.finished.Reason)
}

// All that a service depends on is lost. It would compute from nothing, so it
// is not asked, and the answer says that its dependency is missing.
func TestAServiceWithoutAnyDependencyIsNotAsked(t *testing.T) {
	options := testOptions()
	options.MaxTries = 1
	w := newWorld(t, twoServicePlan(), options, 7)
	w.step(Started{})
	w.step(SendFailed{Send: 1, Reason: core.ReasonPeerLost})
	require.Equal(t, 1, w.finished.Sends)
	require.Zero(t, w.finished.Version)
	require.Equal(t, core.ReasonPeerLost, w.finished.Coverage.Missing[0].Reason)
	require.Equal(t, core.ReasonDependency, w.finished.Coverage.Missing[2].Reason)
}

// The question moves from 7 to 8 and back to 7, where the dependent has already
// answered without a shard that lacked 7 then. Should that shard now answer at
// 7, the dependent's part would stand beside a part that it was not given.
func TestAReturnToAVersionAddsNothingToAnsweredDependents(t *testing.T) {
	options := testOptions()
	options.MaxTries = 1
	w := newWorld(t, twoServicePlan(), options, 7)
	second := core.ShardRef{Service: "base", Shard: 1}
	w.step(Started{})
	w.step(w.part(w.take(0), false))
	a := w.take(0)
	w.step(PartFailed{Send: a.send.ID, Need: a.need, Outcome: core.Unknown, Reason: core.ReasonUpstreamFailed, Last: true})
	w.serves[core.ShardRef{Service: "top"}] = []core.Version{8}
	top := w.take(0)
	w.m.needs[2].parts = append(w.m.needs[2].parts, versionPart{version: 7, payload: w.partAt(top, 7, false).(PartArrived).Payload})
	w.m.switchTo(8)
	w.m.switchTo(7)
	w.step(Woken{})
	require.NotNil(t, w.finished)
	require.Equal(t, core.Version(7), w.finished.Version)
	require.Equal(t, 2, w.finished.Coverage.Answered)
	require.Equal(t, second, w.finished.Coverage.Missing[0].Ref)
	require.Equal(t, core.ReasonUpstreamFailed, w.finished.Coverage.Missing[0].Reason)
}

// Shards fail and the fleet is sick. Once the budget of extra tries is spent,
// what may have run is not sent again, while "not owner" still is.
func TestASpentBudgetEndsRetriesOfWhatMayHaveRun(t *testing.T) {
	options := testOptions()
	options.MaxReroutes = 2
	options.Budget = &countedBudget{bucket: spentBudget()}
	w := newWorld(t, lagPlan(), options, 7)
	w.step(Started{})
	w.step(SendFailed{Send: 1, Outcome: core.Unknown, Reason: core.ReasonPeerLost})
	w.step(SendFailed{Send: 2, Outcome: core.NotRun, Reason: core.ReasonOverloaded})
	w.step(SendFailed{Send: 3, Outcome: core.NotRun, Reason: core.ReasonNotOwner})
	w.now = w.wake
	w.step(Woken{})
	require.Equal(t, 4, w.sent)
	require.Equal(t, 2, w.pending[len(w.pending)-1].need)
}

// Every shard fails every time. Retried freely, the sick fleet gets three times
// its load and does not recover; by the budget it gets a tenth more.
func TestASickFleetIsNotAskedThreeTimes(t *testing.T) {
	const questions, shards = 200, 20
	load := func(b Budget) float64 {
		asked := 0
		for range questions {
			options := testOptions()
			options.Budget = b
			w := newWorld(t, leadPlan(shards+1, 1), options, 7)
			w.step(Started{})
			for w.finished == nil {
				for len(w.pending) > 0 {
					asked++
					w.step(SendFailed{Send: w.take(0).send.ID, Reason: core.ReasonUpstreamFailed})
				}
				if w.finished == nil {
					w.now = w.wake
					w.step(Woken{})
				}
			}
		}
		return float64(asked) / (questions * shards)
	}
	free, bounded := load(nil), load(&countedBudget{bucket: budget.New(budget.Config{})})
	t.Logf("load over first tries: %.3f without a budget, %.3f with one", free, bounded)
	require.Equal(t, 3.0, free)
	require.LessOrEqual(t, bounded, 1+budget.DefaultRatio+budget.DefaultFloor/float64(questions*shards))
}

func spentBudget() *budget.Budget {
	b := budget.New(budget.Config{Floor: 1, Ratio: 0.001})
	b.TryExtra()
	return b
}

func TestKnowledgeIsBoundedAndForgets(t *testing.T) {
	k := NewShardVersions()
	k.limit = 2
	for i := range 5 {
		k.Update(core.ShardRef{Service: "base", Shard: i}, []core.Version{7, 8})
	}
	require.Equal(t, 2, k.Len())
	require.Equal(t, core.Version(8), k.Preferred(lagPlan()))
	k.Update(core.ShardRef{Service: "base"}, []core.Version{7})
	require.Equal(t, core.Version(7), k.Preferred(lagPlan()), "the newest that all serve")
	k.Retain(func(ref core.ShardRef) bool { return ref.Shard == 1 })
	require.Equal(t, 1, k.Len())
}
