package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
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
