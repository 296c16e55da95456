package scatter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func broken(send int) SendEnded { return SendEnded{Send: send, Verdict: Failed, Broken: true} }

// A query crashes each replica that begins to run it. The first sends crash one replica of each shard and the next
// send one more; the others survive.
func TestAQuestionThatEndsReplicasEndsOneOfEachShardAndOneMore(t *testing.T) {
	chooser := &fakeChooser{replicas: 2, budget: 9}
	m := New(gatherPlan(), chooser)
	require.Len(t, sends(m.Step(0, Begin{})), 4)
	for i := range 3 {
		require.Empty(t, sends(m.Step(5*ms, broken(i))), "other sends are still in flight")
	}
	further := sends(m.Step(6*ms, broken(3)))
	require.Len(t, further, 1)
	require.True(t, further[0].Alone)
	actions := m.Step(9*ms, broken(4))
	require.Empty(t, sends(actions))
	result := finishResult(actions)
	require.NotNil(t, result, "the request ends, since no further send is made")
	require.True(t, result.MayHaveRun)
}

// A replica crashes for an unrelated reason while running a query. The other shards answer, and its shard is retried.
func TestACrashUnderAQueryThatOtherShardsAnswerIsRetried(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, budget: 9})
	m.Step(0, Begin{})
	require.Empty(t, sends(m.Step(5*ms, broken(0))))
	further := sends(m.Step(6*ms, succeeded(1)))
	require.Len(t, further, 1)
	require.Equal(t, "a", m.plan.Services[further[0].Service])
	require.False(t, further[0].Alone)
	require.Len(t, sends(m.Step(7*ms, broken(2))), 1, "later crashes are retried immediately")
}

// All replicas of a query's first sends crash for an unrelated reason, such as the loss of their data centre. One
// answered trial shows that the query is harmless, and all shards are retried.
func TestAnAnsweredTrialReleasesTheHeldSends(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, budget: 9})
	m.Step(0, Begin{})
	for i := range 4 {
		m.Step(5*ms, broken(i))
	}
	require.Len(t, sends(m.Step(9*ms, succeeded(4))), 3)
}

// A suspected query goes to one replica, and to the other shards once that one has answered. The held first sends do
// not count as extra sends.
func TestASuspectedQueryGoesToOneReplicaFirst(t *testing.T) {
	plan := gatherPlan()
	plan.Suspect = true
	m := New(plan, &fakeChooser{replicas: 2})
	first := sends(m.Step(0, Begin{}))
	require.Len(t, first, 1)
	require.True(t, first[0].Alone)
	require.Empty(t, sends(m.Step(15*ms, Tick{})), "no hedge")
	others := sends(m.Step(16*ms, succeeded(0)))
	require.Len(t, others, 3)
	for _, send := range others {
		require.Equal(t, First, send.Cause)
	}
}

// A full replica refuses the trial of a suspected request. This shows nothing about the request, and the trial moves to
// the next replica.
func TestARefusedTrialIsMadeAtAnotherReplica(t *testing.T) {
	plan := gatherPlan()
	plan.Suspect = true
	m := New(plan, &fakeChooser{replicas: 2, budget: 9})
	m.Step(0, Begin{})
	next := sends(m.Step(2*ms, SendEnded{Send: 0, Verdict: Refused}))
	require.Len(t, next, 1)
	require.True(t, next[0].Alone)
}

// Hedges of a query that no shard has answered could crash the second replica of every shard before the first ones have
// ended.
func TestNoHedgeBeforeAnyShardHasAnswered(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, budget: 9})
	m.Step(0, Begin{})
	require.Empty(t, sends(m.Step(15*ms, Tick{})))
	m.Step(16*ms, succeeded(0))
	require.Len(t, sends(m.Step(30*ms, Tick{})), 3)
}

// A request to one service crashes at most two replicas.
func TestARequestToOneServiceEndsTwoReplicasAtMost(t *testing.T) {
	plan := plainPlan(true)
	plan.MaxReplicas = 5
	m := New(plan, &fakeChooser{replicas: 5, budget: 9})
	m.Step(0, Begin{})
	require.Len(t, sends(m.Step(5*ms, broken(0))), 1)
	actions := m.Step(9*ms, broken(1))
	require.Empty(t, sends(actions))
	require.NotNil(t, finishResult(actions))
}

// Guards against a request that crashes all replicas of one shard while the other shards answer it: the shard gets one
// more send, and the request is answered without it.
func TestARequestThatEndsTheReplicasOfOneShardIsAnsweredWithoutIt(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 3, budget: 9})
	m.Step(0, Begin{})
	m.Step(5*ms, broken(0))
	further := sends(m.Step(6*ms, succeeded(1)))
	require.Len(t, further, 1)
	require.True(t, further[0].ShardAlone)
	require.Empty(t, sends(m.Step(7*ms, broken(4))), "the only send in flight at the shard failed")
	m.Step(8*ms, succeeded(2))
	result := finishResult(m.Step(8*ms, succeeded(3)))
	require.NotNil(t, result)
	require.Equal(t, 3, result.Received)
}

// Guards against hedges and retries at a shard whose replicas ended under the request in an earlier attempt. Other
// shards are not restricted.
func TestAShardWhereReplicasEndedBeforeHasOneSendAtATime(t *testing.T) {
	plan := gatherPlan()
	plan.SuspectShards = map[int]bool{0: true}
	m := New(plan, &fakeChooser{replicas: 3, budget: 9})
	first := sends(m.Step(0, Begin{}))
	require.Len(t, first, 4)
	for i, send := range first {
		require.Equal(t, i == 0, send.ShardAlone)
	}
	m.Step(5*ms, succeeded(1))
	for at := 10 * ms; at < 400*ms; at += 10 * ms {
		for _, send := range sends(m.Step(at, Tick{})) {
			require.NotZero(t, send.Service, "the suspect shard is not hedged")
		}
	}
	require.Empty(t, sends(m.Step(400*ms, broken(0))))
}

// Guards against sending a request to a shard where it is set aside.
func TestARequestIsNotSentToAShardWhereItIsSetAside(t *testing.T) {
	plan := gatherPlan()
	plan.SetAsideShards = map[int]bool{2: true}
	m := New(plan, &fakeChooser{replicas: 3, budget: 9})
	actions := m.Step(0, Begin{})
	require.Len(t, sends(actions), 3)
	for _, send := range sends(actions) {
		require.NotEqual(t, 2, send.Service)
	}
	for i := range 2 {
		m.Step(5*ms, succeeded(i))
	}
	result := finishResult(m.Step(5*ms, succeeded(2)))
	require.Equal(t, 3, result.Received)
}
