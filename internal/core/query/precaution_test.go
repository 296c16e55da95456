package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// shardedPlan returns a plan in which the queried service top depends on a service of four shards,
// each in its own bundle.
func shardedPlan() *Plan {
	needs := []Need{{Ref: core.ShardRef{Service: "top"}, Bundle: 9, Service: 1}}
	var shards []int
	for i := range 4 {
		shards = append(shards, len(needs))
		needs = append(needs, Need{Ref: core.ShardRef{Service: "base", Shard: i}, Bundle: core.BundleID(i), Service: 0})
	}
	return NewPlan([]ServicePlan{{Name: "base", Shards: shards}, {Name: "top", DependsOn: []int{0}, Shards: []int{0}}}, needs)
}

func closedReply(send Send) PartFailed {
	return PartFailed{Send: send.ID, Need: send.Needs[0], Reason: core.ReasonUpstreamFailed, Broken: true, Last: true}
}

func partReply(send Send) PartArrived {
	return PartArrived{Send: send.ID, Need: send.Needs[0], Version: 7, Payload: []byte("p"), Last: true}
}

// Guards against retries crashing all replicas of a service: the first sends crash one replica of
// each shard, the next send crashes one more, and no further send is made.
func TestAQuestionThatEndsReplicasEndsOneOfEachShardAndOneMore(t *testing.T) {
	m := New(shardedPlan(), testOptions())
	first := sendsOf(m.Step(0, Started{}))
	require.Len(t, first, 4)
	for _, send := range first {
		require.Nil(t, send.Trials)
		require.Empty(t, sendsOf(m.Step(1, closedReply(send))))
	}
	further := sendsOf(m.Step(testOptions().RetryPause+1, Woken{}))
	require.Len(t, further, 1)
	require.Equal(t, []Trial{QueryTrial}, further[0].Trials)
	actions := m.Step(testOptions().RetryPause+2, closedReply(further[0]))
	require.Empty(t, sendsOf(actions))
	require.Zero(t, answerOf(t, actions).Coverage.Answered)
}

// Guards against repeated sends to a shard whose replicas the query crashes while other shards
// answer: the shard is asked once more, on trial, and the answer names it as missing.
func TestQueryCrashingReplicasOfOneShardIsAnsweredWithoutIt(t *testing.T) {
	m := New(shardedPlan(), testOptions())
	first := sendsOf(m.Step(0, Started{}))
	m.Step(1, closedReply(first[0]))
	for _, send := range first[1:] {
		m.Step(2, partReply(send))
	}
	further := sendsOf(m.Step(testOptions().RetryPause+2, Woken{}))
	require.Len(t, further, 1)
	require.Equal(t, []Trial{ShardTrial}, further[0].Trials)
	top := sendsOf(m.Step(testOptions().RetryPause+3, closedReply(further[0])))
	require.Len(t, top, 1)
	require.Equal(t, []int{0}, top[0].Needs)
	answer := answerOf(t, m.Step(testOptions().RetryPause+4, partReply(top[0])))
	require.Equal(t, []Missing{{Ref: core.ShardRef{Service: "base"}, Reason: core.ReasonUpstreamFailed}}, answer.Coverage.Missing)
}

// Guards against a suspect query crashing a replica of each shard: one replica of the service is
// asked first, the other shards only after it has answered.
func TestSuspectServiceIsAskedOfOneReplicaFirst(t *testing.T) {
	options := testOptions()
	options.Precautions = Precautions{SuspectServices: map[int]bool{0: true}, SuspectNeeds: map[int]bool{1: true}}
	m := New(shardedPlan(), options)
	first := sendsOf(m.Step(0, Started{}))
	require.Len(t, first, 1)
	require.Equal(t, []int{2}, first[0].Needs, "a shard that is not suspect comes first")
	require.Equal(t, []Trial{ServiceTrial}, first[0].Trials)
	others := sendsOf(m.Step(1, partReply(first[0])))
	require.Len(t, others, 3)
	for _, send := range others {
		if send.Needs[0] == 1 {
			require.Equal(t, []Trial{ShardTrial}, send.Trials)
		} else {
			require.Nil(t, send.Trials)
		}
	}
}

// Guards against asking a shard for which the query is set aside: the answer names it as missing.
func TestSetAsideShardIsNotAsked(t *testing.T) {
	options := testOptions()
	options.Precautions = Precautions{SetAside: map[int]bool{3: true}}
	m := New(shardedPlan(), options)
	first := sendsOf(m.Step(0, Started{}))
	require.Len(t, first, 3)
	var top []Send
	for _, send := range first {
		require.NotEqual(t, 3, send.Needs[0])
		top = sendsOf(m.Step(1, partReply(send)))
	}
	answer := answerOf(t, m.Step(2, partReply(top[0])))
	require.Equal(t, []Missing{{Ref: core.ShardRef{Service: "base", Shard: 2}, Reason: core.ReasonSetAside}}, answer.Coverage.Missing)
}

// Guards against asking another node for a shard whose owner knows that the query is set aside: the answer names the shard
// as missing, at once.
func TestAShardWhoseOwnerRefusesTheQueryAsSetAsideIsNotAskedAgain(t *testing.T) {
	options := testOptions()
	options.Deadline = time.Hour
	m := New(shardedPlan(), options)
	first := sendsOf(m.Step(0, Started{}))
	var top []Send
	for i, send := range first {
		if i == 0 {
			refused := PartFailed{Send: send.ID, Need: send.Needs[0], Outcome: core.NotRun, Reason: core.ReasonSetAside, RetryAfter: time.Minute, Last: true}
			require.Empty(t, sendsOf(m.Step(1, refused)))
			continue
		}
		top = sendsOf(m.Step(1, partReply(send)))
	}
	require.Len(t, top, 1)
	require.Equal(t, []int{0}, top[0].Needs)
	answer := answerOf(t, m.Step(2, partReply(top[0])))
	require.Equal(t, []Missing{{Ref: core.ShardRef{Service: "base"}, Reason: core.ReasonSetAside}}, answer.Coverage.Missing)
}

// Guards against two replicas crashing at once: while the owner of a shard on trial is silent, no
// other node is asked.
func TestShardOnTrialHasNoFallback(t *testing.T) {
	options := testOptions()
	options.FallbackAfter = options.Deadline / 4
	options.Precautions = Precautions{SuspectServices: map[int]bool{0: true}}
	m := New(shardedPlan(), options)
	m.Step(0, Started{})
	for at := options.FallbackAfter; at < options.Deadline; at += options.FallbackAfter {
		require.Empty(t, sendsOf(m.Step(at, Woken{})))
	}
}

// singleShardPlan returns a plan in which the queried service top depends on four services of one
// shard each, each in its own bundle.
func singleShardPlan() *Plan {
	needs := []Need{{Ref: core.ShardRef{Service: "top"}, Bundle: 9, Service: 4}}
	var services []ServicePlan
	var dependencies []int
	for i := range 4 {
		name := string(rune('a' + i))
		services = append(services, ServicePlan{Name: name, Shards: []int{len(needs)}})
		needs = append(needs, Need{Ref: core.ShardRef{Service: name}, Bundle: core.BundleID(i), Service: i})
		dependencies = append(dependencies, i)
	}
	return NewPlan(append(services, ServicePlan{Name: "top", DependsOn: dependencies, Shards: []int{0}}), needs)
}

// Guards against a separate trial for each service if the query crashes the replicas of all
// services: the first sends crash one replica of each service, the next send crashes one more, and
// no further send is made.
func TestQueryCrashingAllServicesStopsAfterOneTrial(t *testing.T) {
	m := New(singleShardPlan(), testOptions())
	for _, send := range sendsOf(m.Step(0, Started{})) {
		require.Empty(t, sendsOf(m.Step(1, closedReply(send))))
	}
	further := sendsOf(m.Step(testOptions().RetryPause+1, Woken{}))
	require.Len(t, further, 1)
	require.Equal(t, []Trial{QueryTrial}, further[0].Trials)
	answer := answerOf(t, m.Step(testOptions().RetryPause+2, closedReply(further[0])))
	require.Zero(t, answer.Coverage.Answered)
}

// Guards against several services being asked at the same time if the query has crashed replicas of
// several services before: one replica is asked first, and the others once it has answered.
func TestSuspectQueryIsAskedOfOneReplicaFirst(t *testing.T) {
	options := testOptions()
	options.Precautions = Precautions{Suspect: true, SuspectServices: map[int]bool{0: true, 1: true}}
	m := New(singleShardPlan(), options)
	first := sendsOf(m.Step(0, Started{}))
	require.Len(t, first, 1)
	require.Equal(t, []int{3}, first[0].Needs, "a service that is not suspect comes first")
	require.Len(t, sendsOf(m.Step(1, partReply(first[0]))), 3)
}
