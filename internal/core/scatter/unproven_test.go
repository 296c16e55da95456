package scatter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func broken(send int) SendEnded { return SendEnded{Send: send, Verdict: Failed, Broken: true} }

// A question ends each replica that begins it. One of each shard ends under the first sends and one under the next;
// the others live on.
func TestAQuestionThatEndsReplicasEndsOneOfEachShardAndOneMore(t *testing.T) {
	chooser := &fakeChooser{replicas: 2, extras: 9}
	m := New(gatherPlan(), chooser)
	require.Len(t, sends(m.Step(0, Begin{})), 4)
	for i := range 3 {
		require.Empty(t, sends(m.Step(5*ms, broken(i))), "others are still in work")
	}
	further := sends(m.Step(6*ms, broken(3)))
	require.Len(t, further, 1)
	require.True(t, further[0].Alone)
	actions := m.Step(9*ms, broken(4))
	require.Empty(t, sends(actions))
	result := finish(actions)
	require.NotNil(t, result, "nothing more is sent, so that no answer can come")
	require.True(t, result.MayHaveRun)
}

// A replica crashes by itself under a question. The other shards answer, and its shard is asked again.
func TestACrashUnderAQuestionThatOthersAnswerIsRetried(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, extras: 9})
	m.Step(0, Begin{})
	require.Empty(t, sends(m.Step(5*ms, broken(0))))
	further := sends(m.Step(6*ms, whole(1)))
	require.Len(t, further, 1)
	require.Equal(t, "a", m.plan.Services[further[0].Service])
	require.False(t, further[0].Alone)
	require.Len(t, sends(m.Step(7*ms, broken(2))), 1, "it is retried at once from now on")
}

// All replicas of a question's first sends crash by themselves, as with their data centre. One trial shows that it
// is not the question, and all shards are asked again.
func TestATrialThatIsAnsweredSetsTheOthersFree(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, extras: 9})
	m.Step(0, Begin{})
	for i := range 4 {
		m.Step(5*ms, broken(i))
	}
	require.Len(t, sends(m.Step(9*ms, whole(4))), 3)
}

// A question that is suspected goes to one replica, and to the other shards once that has answered. The later first
// sends are no extra arrivals.
func TestASuspectedQuestionGoesToOneReplicaFirst(t *testing.T) {
	plan := gatherPlan()
	plan.Suspect = true
	m := New(plan, &fakeChooser{replicas: 2})
	first := sends(m.Step(0, Begin{}))
	require.Len(t, first, 1)
	require.True(t, first[0].Alone)
	require.Empty(t, sends(m.Step(15*ms, Tick{})), "no hedge")
	others := sends(m.Step(16*ms, whole(0)))
	require.Len(t, others, 3)
	for _, one := range others {
		require.Equal(t, First, one.Cause)
	}
}

// The trial of a suspected request is refused by a full replica: that says nothing, and the next one is tried.
func TestARefusedTrialIsMadeElsewhere(t *testing.T) {
	plan := gatherPlan()
	plan.Suspect = true
	m := New(plan, &fakeChooser{replicas: 2, extras: 9})
	m.Step(0, Begin{})
	next := sends(m.Step(2*ms, SendEnded{Send: 0, Verdict: Refused}))
	require.Len(t, next, 1)
	require.True(t, next[0].Alone)
}

// Hedges of a question that no shard has answered would end the other replicas of all shards before the first
// ones have ended.
func TestNoHedgeBeforeAnyShardHasAnswered(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, extras: 9})
	m.Step(0, Begin{})
	require.Empty(t, sends(m.Step(15*ms, Tick{})))
	m.Step(16*ms, whole(0))
	require.Len(t, sends(m.Step(30*ms, Tick{})), 3)
}

// A request to one service ends two replicas and no third.
func TestAPlainRequestEndsTwoReplicasAtMost(t *testing.T) {
	plan := plainPlan(true)
	plan.MaxReplicas = 5
	m := New(plan, &fakeChooser{replicas: 5, extras: 9})
	m.Step(0, Begin{})
	require.Len(t, sends(m.Step(5*ms, broken(0))), 1)
	actions := m.Step(9*ms, broken(1))
	require.Empty(t, sends(actions))
	require.NotNil(t, finish(actions))
}

// Guards against a request ending all replicas of one shard that the other shards answer: the shard gets one more send,
// and the request is answered without it.
func TestARequestThatEndsTheReplicasOfOneShardIsAnsweredWithoutIt(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 3, extras: 9})
	m.Step(0, Begin{})
	m.Step(5*ms, broken(0))
	further := sends(m.Step(6*ms, whole(1)))
	require.Len(t, further, 1)
	require.True(t, further[0].ShardAlone)
	require.Empty(t, sends(m.Step(7*ms, broken(4))), "the only send in flight at the shard failed")
	m.Step(8*ms, whole(2))
	result := finish(m.Step(8*ms, whole(3)))
	require.NotNil(t, result)
	require.Equal(t, 3, result.Received)
}

// Guards against hedges and retries at a shard whose replicas ended under the request before. Other shards are not
// restricted.
func TestAShardWhereReplicasEndedBeforeHasOneSendAtATime(t *testing.T) {
	plan := gatherPlan()
	plan.SuspectShards = map[int]bool{0: true}
	m := New(plan, &fakeChooser{replicas: 3, extras: 9})
	first := sends(m.Step(0, Begin{}))
	require.Len(t, first, 4)
	for i, one := range first {
		require.Equal(t, i == 0, one.ShardAlone)
	}
	m.Step(5*ms, whole(1))
	for at := 10 * ms; at < 400*ms; at += 10 * ms {
		for _, one := range sends(m.Step(at, Tick{})) {
			require.NotZero(t, one.Service, "the suspect shard is not hedged")
		}
	}
	require.Empty(t, sends(m.Step(400*ms, broken(0))))
}

// Guards against sending a request to a shard where it is set aside.
func TestARequestIsNotSentToAShardWhereItIsSetAside(t *testing.T) {
	plan := gatherPlan()
	plan.SetAsideShards = map[int]bool{2: true}
	m := New(plan, &fakeChooser{replicas: 3, extras: 9})
	actions := m.Step(0, Begin{})
	require.Len(t, sends(actions), 3)
	for _, one := range sends(actions) {
		require.NotEqual(t, 2, one.Service)
	}
	for i := range 2 {
		m.Step(5*ms, whole(i))
	}
	result := finish(m.Step(5*ms, whole(2)))
	require.Equal(t, 3, result.Received)
}
