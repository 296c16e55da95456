package scatter

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// fakeChooser has the replicas "SERVICE-0", "SERVICE-1" and so on.
type fakeChooser struct {
	replicas int
	extras   int
	doubtful bool
	// expect is how long the answers of a service's replicas will take: they have work.
	expect map[string]time.Duration
	// unreachable are services whose replicas cannot be reached.
	unreachable []string
	// plenty is set while extra arrivals are not scarce.
	plenty bool
}

func (f *fakeChooser) ExtraScarce(string, core.Time) bool { return !f.plenty }

func (f *fakeChooser) Pick(service string, tried []string, _ core.Time) (replica.Choice, bool) {
	for i := range f.replicas {
		id := service + "-" + string(rune('0'+i))
		if !slices.Contains(tried, id) {
			return replica.Choice{Replica: replica.Replica{ID: id, Service: service}, Degraded: f.doubtful, ExpectedLatency: f.expect[service], Busy: f.expect[service] > 0, Unreachable: slices.Contains(f.unreachable, service)}, true
		}
	}
	return replica.Choice{}, false
}

func (f *fakeChooser) TakeExtra(string, core.Time) bool {
	f.extras--
	return f.extras >= 0
}

const ms = time.Millisecond

func gatherPlan() Plan {
	return Plan{Services: []string{"a", "b", "c", "d"}, MinParts: 3, Idempotent: true, MaxReplicas: 2, Deadline: 600 * ms, PartialAt: 50 * ms, HedgeAfter: 15 * ms}
}

func sends(actions []Action) []Send {
	var found []Send
	for _, action := range actions {
		if one, ok := action.(Send); ok {
			found = append(found, one)
		}
	}
	return found
}

func finish(actions []Action) *Result {
	for _, action := range actions {
		if one, ok := action.(Finish); ok {
			return &one.Result
		}
	}
	return nil
}

func whole(send int) SendEnded { return SendEnded{Send: send, Verdict: Succeeded} }

func TestAWholeAnswerEndsAtOnce(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, extras: 9})
	require.Len(t, sends(m.Step(0, Begin{})), 4)
	for i := range 3 {
		require.Nil(t, finish(m.Step(5*ms, whole(i))))
	}
	result := finish(m.Step(6*ms, whole(3)))
	require.NotNil(t, result)
	require.Equal(t, 4, result.Received)
	require.Equal(t, []int{0, 1, 2, 3}, result.Parts)
	require.Empty(t, m.Step(7*ms, Tick{}), "nothing is done after the end")
}

// One replica of twenty stands still for a moment. The caller would wait for it,
// although another replica has the same part.
func TestALateReplicaIsHedgedAndTheFirstAnswerCounts(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, extras: 9})
	m.Step(0, Begin{})
	for i := range 3 {
		m.Step(5*ms, whole(i))
	}
	actions := m.Step(15*ms, Tick{})
	require.Contains(t, actions, Action(SendOverdue{Send: 3}))
	hedge := sends(actions)
	require.Len(t, hedge, 1)
	require.Equal(t, "d-1", hedge[0].Replica.ID)
	actions = m.Step(20*ms, whole(4))
	require.Contains(t, actions, Action(CancelSend{ID: 3}))
	require.Equal(t, 4, finish(actions).Parts[3])
}

func TestNoHedgeToADoubtfulReplicaOrBeyondTheBound(t *testing.T) {
	for _, chooser := range []*fakeChooser{{replicas: 2, extras: 9, doubtful: true}, {replicas: 2}} {
		m := New(gatherPlan(), chooser)
		m.Step(0, Begin{})
		require.Empty(t, sends(m.Step(15*ms, Tick{})))
	}
}

// All replicas of a shard are gone. A caller that prefers an early answer gets one
// that says what it lacks, at its aim and not at its deadline.
func TestAPartialAnswerIsGivenAtTheAim(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 1})
	m.Step(0, Begin{})
	for i := range 3 {
		require.Nil(t, finish(m.Step(5*ms, whole(i))))
	}
	result := finish(m.Step(50*ms, Tick{}))
	require.NotNil(t, result)
	require.True(t, result.Enough)
	require.Equal(t, []int{0, 1, 2, -1}, result.Parts)
}

func TestAThinAnswerAfterTheAimIsGivenOnceItIsEnough(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 1})
	m.Step(0, Begin{})
	m.Step(5*ms, whole(0))
	require.Nil(t, finish(m.Step(50*ms, Tick{})))
	require.Nil(t, finish(m.Step(70*ms, whole(1))))
	require.NotNil(t, finish(m.Step(80*ms, whole(2))))
}

// Two shards have lost all their replicas, which is one too many. Waiting for the
// deadline would only keep the caller from trying elsewhere.
func TestAnAnswerThatCannotBecomeEnoughEndsAtOnce(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 1})
	m.Step(0, Begin{})
	require.Nil(t, finish(m.Step(ms, SendEnded{Send: 0, Verdict: Unreached})))
	result := finish(m.Step(2*ms, SendEnded{Send: 1, Verdict: Unreached}))
	require.NotNil(t, result)
	require.False(t, result.Enough)
}

func plainPlan(idempotent bool) Plan {
	return Plan{Services: []string{"a"}, MinParts: 1, Idempotent: idempotent, MaxReplicas: 2, Deadline: time.Second}
}

// An invoice is posted, its answer is lost, and the request is sent again: the
// invoice is counted twice.
func TestWhatMayHaveRunIsNotSentAgain(t *testing.T) {
	m := New(plainPlan(false), &fakeChooser{replicas: 3, extras: 9})
	m.Step(0, Begin{})
	result := finish(m.Step(ms, SendEnded{Send: 0, Verdict: Failed}))
	require.NotNil(t, result)
	require.True(t, result.MayHaveRun)
}

func TestWhatDidNotRunIsTriedElsewhere(t *testing.T) {
	for _, verdict := range []Verdict{Refused, Unreached} {
		m := New(plainPlan(false), &fakeChooser{replicas: 3, extras: 9})
		m.Step(0, Begin{})
		again := sends(m.Step(ms, SendEnded{Send: 0, Verdict: verdict}))
		require.Len(t, again, 1)
		require.Equal(t, "a-1", again[0].Replica.ID)
		require.True(t, finish(m.Step(2*ms, whole(1))).Enough)
	}
}

func TestAReplicaThatIsFullIsAskedAgainWhenThereIsNoOther(t *testing.T) {
	m := New(plainPlan(true), &fakeChooser{replicas: 1, extras: 1})
	m.Step(0, Begin{})
	require.Nil(t, finish(m.Step(ms, SendEnded{Send: 0, Verdict: Refused})))
	require.Len(t, sends(m.Step(ms+refusedPause, Tick{})), 1)
	result := finish(m.Step(30*ms, SendEnded{Send: 1, Verdict: Refused}))
	if result == nil {
		result = finish(m.Step(30*ms+refusedPause, Tick{}))
	}
	require.NotNil(t, result)
	require.False(t, result.MayHaveRun)
	require.True(t, result.BudgetSpent)
}

func TestNoReplicaIsSaidAtOnce(t *testing.T) {
	m := New(plainPlan(true), &fakeChooser{})
	result := finish(m.Step(0, Begin{}))
	require.NotNil(t, result)
	require.True(t, result.NoReplica)
	require.False(t, result.MayHaveRun)
}

// Any order of ends and ticks: a request that must not be repeated is never sent
// after it may have run, no service gets more sends than allowed plus those that
// never left, and "not run" is only said when every send proved it.
func TestEndsInAnyOrderKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := Plan{Services: []string{"a", "b"}, MinParts: rapid.IntRange(1, 2).Draw(t, "least"), Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxReplicas: 2, Deadline: time.Second, HedgeAfter: 15 * ms}
		m := New(plan, &fakeChooser{replicas: 3, extras: rapid.IntRange(0, 4).Draw(t, "extras")})
		var live []Send
		var result *Result
		mayHaveRun := map[int]bool{}
		now := core.Time(0)
		take := func(actions []Action) {
			for _, one := range sends(actions) {
				require.False(t, !plan.Idempotent && mayHaveRun[one.Service], "sent again")
				live = append(live, one)
			}
			result = finish(actions)
		}
		take(m.Step(now, Begin{}))
		for range 200 {
			if result != nil {
				break
			}
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * ms
			if len(live) == 0 || rapid.IntRange(0, 3).Draw(t, "tick") == 0 {
				take(m.Step(now, Tick{}))
				continue
			}
			i := rapid.IntRange(0, len(live)-1).Draw(t, "which")
			one := live[i]
			live = slices.Delete(live, i, i+1)
			verdict := Verdict(rapid.IntRange(0, 3).Draw(t, "verdict"))
			if verdict == Failed {
				mayHaveRun[one.Service] = true
			}
			take(m.Step(now, SendEnded{Send: one.ID, Verdict: verdict}))
		}
		if result != nil && !result.MayHaveRun {
			require.Empty(t, mayHaveRun)
		}
	})
}

// The process is about to end while answers are out. Each request ends now, with what is
// certain of it and without a further send, though a hedge would just be due.
func TestGivingUpEndsAsAtTheDeadline(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, extras: 9})
	m.Step(0, Begin{})
	m.Step(5*ms, whole(0))
	actions := m.Step(20*ms, GiveUp{})
	require.Empty(t, sends(actions))
	result := finish(actions)
	require.NotNil(t, result)
	require.False(t, result.Enough)
	require.True(t, result.PastDeadline)
	require.True(t, result.MayHaveRun)

	enough := New(gatherPlan(), &fakeChooser{replicas: 2, extras: 9})
	enough.Step(0, Begin{})
	for i := range 3 {
		enough.Step(5*ms, whole(i))
	}
	require.True(t, finish(enough.Step(20*ms, GiveUp{})).Enough, "three of four parts are the least")
}

// On call, a part that was late and not hedged has its reason in the story.
func TestASendThatIsNotMadeSaysWhy(t *testing.T) {
	reason := func(plan Plan, chooser *fakeChooser) Reason {
		m := New(plan, chooser)
		m.Step(0, Begin{})
		m.Step(5*ms, whole(0))
		for _, action := range m.Step(15*ms, Tick{}) {
			if withheld, ok := action.(Withheld); ok {
				return withheld.Why
			}
		}
		return ""
	}
	once, single := gatherPlan(), gatherPlan()
	once.Idempotent, single.MaxReplicas = false, 1
	require.Equal(t, NotIdempotent, reason(once, &fakeChooser{replicas: 2, extras: 9}))
	require.Equal(t, AttemptsUsed, reason(single, &fakeChooser{replicas: 2, extras: 9}))
	require.Equal(t, NoOtherReplica, reason(gatherPlan(), &fakeChooser{replicas: 1, extras: 9}))
	require.Equal(t, OtherDegraded, reason(gatherPlan(), &fakeChooser{replicas: 2, extras: 9, doubtful: true}))
	require.Equal(t, BudgetSpent, reason(gatherPlan(), &fakeChooser{replicas: 2}))
	require.Empty(t, reason(gatherPlan(), &fakeChooser{replicas: 2, extras: 9}))
}

// Of one shard more than may be missing only replicas are left that answer long after the aim.
// Sent all the same, the question would wait for them, take the room of others, and be late.
func TestAQuestionThatCannotComeInTimeIsRejectedBeforeAnythingIsSent(t *testing.T) {
	plan := gatherPlan()
	plan.TargetLatency = 50 * ms
	chooser := &fakeChooser{replicas: 2, extras: 9, expect: map[string]time.Duration{"a": 80 * ms, "b": 200 * ms}}
	actions := New(plan, chooser).Step(0, Begin{})
	require.Empty(t, sends(actions))
	result := finish(actions)
	require.NotNil(t, result)
	require.True(t, result.Rejected)
	require.False(t, result.MayHaveRun)
	require.Equal(t, leastRetryAfter, result.RetryAfter, "the better of the two is late by 30 ms")
	chooser.unreachable = []string{"a", "b"}
	require.Equal(t, mostRetryAfter, finish(New(plan, chooser).Step(0, Begin{})).RetryAfter)
}

// As many shards as may be missing are slow: the answer comes in time without them.
func TestWhatMayBeMissingRejectsNothing(t *testing.T) {
	plan := gatherPlan()
	plan.TargetLatency = 50 * ms
	slow := &fakeChooser{replicas: 2, extras: 9, expect: map[string]time.Duration{"a": time.Minute}}
	require.Len(t, sends(New(plan, slow).Step(0, Begin{})), 4)
	away := &fakeChooser{replicas: 2, extras: 9, unreachable: []string{"b"}}
	require.Len(t, sends(New(plan, away).Step(0, Begin{})), 4)
}

// A slow replica with nothing in work is asked: only a request can tell that it is fast again.
func TestAReplicaWithoutWorkIsTried(t *testing.T) {
	plan := gatherPlan()
	plan.TargetLatency = 50 * ms
	chooser := &fakeChooser{replicas: 2, extras: 9, unreachable: []string{"a"}}
	require.Len(t, sends(New(plan, chooser).Step(0, Begin{})), 4)
}

func TestASingleRequestIsRejectedOnlyWhenItsDeadlineCannotBeKept(t *testing.T) {
	plan := plainPlan(false)
	chooser := &fakeChooser{replicas: 2, expect: map[string]time.Duration{"a": 900 * ms}}
	require.Len(t, sends(New(plan, chooser).Step(0, Begin{})), 1)
	chooser.expect["a"] = 1100 * ms
	result := finish(New(plan, chooser).Step(0, Begin{}))
	require.True(t, result.Rejected)
	require.Equal(t, 100*ms, result.RetryAfter)
}

// All replicas are many times slower. A hedge would come too late itself and take the room of a first send.
func TestNoScarceHedgeToAReplicaThatIsExpectedToBeSlow(t *testing.T) {
	chooser := &fakeChooser{replicas: 2, extras: 9, expect: map[string]time.Duration{"d": 31 * ms}}
	m := New(gatherPlan(), chooser)
	m.Step(0, Begin{})
	for i := range 3 {
		m.Step(5*ms, whole(i))
	}
	require.Empty(t, sends(m.Step(15*ms, Tick{})))
	chooser.plenty = true
	require.Len(t, sends(m.Step(30*ms, Tick{})), 1, "with plenty of extra arrivals it is worth a try")
}
