package scatter

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// fakeChooser offers the replicas "SERVICE-0", "SERVICE-1" and so on for each service.
type fakeChooser struct {
	replicas int
	budget   int
	degraded bool
	// expectedLatency is the expected latency of a service's replicas; a positive one marks them as busy.
	expectedLatency map[string]time.Duration
	// unreachable names the services whose replicas cannot be reached.
	unreachable []string
	admission   placement.Admission
	// extraPlentiful is set while extra sends are not scarce.
	extraPlentiful bool
}

func (f *fakeChooser) Admit(request placement.Request, forecast placement.Forecast, now core.Time) placement.Outcome {
	return f.admission.Decide(now, request, forecast)
}

func (f *fakeChooser) ExtraScarce(string, core.Time) bool { return !f.extraPlentiful }

func (f *fakeChooser) Pick(service string, tried []string, _ core.Time) (replica.Choice, bool) {
	for i := range f.replicas {
		id := service + "-" + string(rune('0'+i))
		if !slices.Contains(tried, id) {
			return replica.Choice{Replica: replica.Replica{ID: id, Service: service}, Degraded: f.degraded, ExpectedLatency: f.expectedLatency[service], Busy: f.expectedLatency[service] > 0, Unreachable: slices.Contains(f.unreachable, service)}, true
		}
	}
	return replica.Choice{}, false
}

func (f *fakeChooser) TakeExtra(string, core.Time) bool {
	f.budget--
	return f.budget >= 0
}

func (f *fakeChooser) ReturnExtra(string, core.Time) { f.budget++ }

const ms = time.Millisecond

func gatherPlan() Plan {
	return Plan{Services: []string{"a", "b", "c", "d"}, MinParts: 3, Idempotent: true, MaxReplicas: 2, Deadline: 600 * ms, PartialAt: 50 * ms, HedgeAfter: 15 * ms}
}

func sends(actions []Action) []Send {
	var found []Send
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			found = append(found, send)
		}
	}
	return found
}

func finishResult(actions []Action) *Result {
	for _, action := range actions {
		if finish, ok := action.(Finish); ok {
			return &finish.Result
		}
	}
	return nil
}

func succeeded(send int) SendEnded { return SendEnded{Send: send, Verdict: Succeeded} }

func TestACompleteAnswerEndsTheRequest(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, budget: 9})
	require.Len(t, sends(m.Step(0, Begin{})), 4)
	for i := range 3 {
		require.Nil(t, finishResult(m.Step(5*ms, succeeded(i))))
	}
	result := finishResult(m.Step(6*ms, succeeded(3)))
	require.NotNil(t, result)
	require.Equal(t, 4, result.Received)
	require.Equal(t, []int{0, 1, 2, 3}, result.Parts)
	require.Empty(t, m.Step(7*ms, Tick{}), "no actions after the end")
}

// Guards against waiting for a briefly paused replica although another one holds the same part.
func TestAnOverdueSendIsHedgedAndTheFirstAnswerCounts(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, budget: 9})
	m.Step(0, Begin{})
	for i := range 3 {
		m.Step(5*ms, succeeded(i))
	}
	actions := m.Step(15*ms, Tick{})
	require.Contains(t, actions, Action(SendOverdue{Send: 3}))
	hedge := sends(actions)
	require.Len(t, hedge, 1)
	require.Equal(t, "d-1", hedge[0].Replica.ID)
	actions = m.Step(20*ms, succeeded(4))
	require.Contains(t, actions, Action(CancelSend{ID: 3}))
	require.Equal(t, 4, finishResult(actions).Parts[3])
}

func TestNoHedgeToADegradedReplicaOrBeyondTheBudget(t *testing.T) {
	for _, chooser := range []*fakeChooser{{replicas: 2, budget: 9, degraded: true}, {replicas: 2}} {
		m := New(gatherPlan(), chooser)
		m.Step(0, Begin{})
		require.Empty(t, sends(m.Step(15*ms, Tick{})))
	}
}

// All replicas of a shard are lost. A caller that prefers an early answer gets an answer that names the
// missing parts at its target latency, not at its deadline.
func TestAPartialAnswerIsGivenAtTheAim(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 1})
	m.Step(0, Begin{})
	for i := range 3 {
		require.Nil(t, finishResult(m.Step(5*ms, succeeded(i))))
	}
	result := finishResult(m.Step(50*ms, Tick{}))
	require.NotNil(t, result)
	require.True(t, result.Enough)
	require.Equal(t, []int{0, 1, 2, -1}, result.Parts)
}

func TestAThinAnswerAfterTheAimIsGivenOnceItIsEnough(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 1})
	m.Step(0, Begin{})
	m.Step(5*ms, succeeded(0))
	require.Nil(t, finishResult(m.Step(50*ms, Tick{})))
	require.Nil(t, finishResult(m.Step(70*ms, succeeded(1))))
	require.NotNil(t, finishResult(m.Step(80*ms, succeeded(2))))
}

// Two shards have lost all their replicas, one more than may be missing. Waiting for the deadline would
// only delay the caller's retry elsewhere.
func TestAnAnswerThatCannotBecomeEnoughEndsAtOnce(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 1})
	m.Step(0, Begin{})
	require.Nil(t, finishResult(m.Step(ms, SendEnded{Send: 0, Verdict: Unreached})))
	result := finishResult(m.Step(2*ms, SendEnded{Send: 1, Verdict: Unreached}))
	require.NotNil(t, result)
	require.False(t, result.Enough)
}

func plainPlan(idempotent bool) Plan {
	return Plan{Services: []string{"a"}, MinParts: 1, Idempotent: idempotent, MaxReplicas: 2, Deadline: time.Second}
}

// Guards against duplicate execution: an invoice is posted, the answer is lost, and resending the request
// would post the invoice twice.
func TestWhatMayHaveRunIsNotSentAgain(t *testing.T) {
	m := New(plainPlan(false), &fakeChooser{replicas: 3, budget: 9})
	m.Step(0, Begin{})
	result := finishResult(m.Step(ms, SendEnded{Send: 0, Verdict: Failed}))
	require.NotNil(t, result)
	require.True(t, result.MayHaveRun)
}

func TestWhatDidNotRunIsTriedElsewhere(t *testing.T) {
	for _, verdict := range []Verdict{Refused, Unreached} {
		m := New(plainPlan(false), &fakeChooser{replicas: 3, budget: 9})
		m.Step(0, Begin{})
		retried := sends(m.Step(ms, SendEnded{Send: 0, Verdict: verdict}))
		require.Len(t, retried, 1)
		require.Equal(t, "a-1", retried[0].Replica.ID)
		require.True(t, finishResult(m.Step(2*ms, succeeded(1))).Enough)
	}
}

func TestAFullReplicaIsRetriedWhenThereIsNoOther(t *testing.T) {
	m := New(plainPlan(true), &fakeChooser{replicas: 1, budget: 1})
	m.Step(0, Begin{})
	require.Nil(t, finishResult(m.Step(ms, SendEnded{Send: 0, Verdict: Refused})))
	require.Len(t, sends(m.Step(ms+refusedRetryDelay, Tick{})), 1)
	result := finishResult(m.Step(30*ms, SendEnded{Send: 1, Verdict: Refused}))
	if result == nil {
		result = finishResult(m.Step(30*ms+refusedRetryDelay, Tick{}))
	}
	require.NotNil(t, result)
	require.False(t, result.MayHaveRun)
	require.True(t, result.BudgetSpent)
}

func TestNoReplicaIsSaidAtOnce(t *testing.T) {
	m := New(plainPlan(true), &fakeChooser{})
	result := finishResult(m.Step(0, Begin{}))
	require.NotNil(t, result)
	require.True(t, result.NoReplica)
	require.False(t, result.MayHaveRun)
}

// For any order of send ends and ticks: a non-idempotent request is never resent after it may have run, no
// service gets more sends than allowed plus the unreached ones, and a request is reported as not run only
// when every send proved it.
func TestEndsInAnyOrderKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := Plan{Services: []string{"a", "b"}, MinParts: rapid.IntRange(1, 2).Draw(t, "least"), Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxReplicas: 2, Deadline: time.Second, HedgeAfter: 15 * ms}
		m := New(plan, &fakeChooser{replicas: 3, budget: rapid.IntRange(0, 4).Draw(t, "extras")})
		var live []Send
		var result *Result
		mayHaveRun := map[int]bool{}
		now := core.Time(0)
		take := func(actions []Action) {
			for _, send := range sends(actions) {
				require.False(t, !plan.Idempotent && mayHaveRun[send.Service], "resent after it may have run")
				live = append(live, send)
			}
			result = finishResult(actions)
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
			send := live[i]
			live = slices.Delete(live, i, i+1)
			verdict := Verdict(rapid.IntRange(0, 3).Draw(t, "verdict"))
			if verdict == Failed {
				mayHaveRun[send.Service] = true
			}
			take(m.Step(now, SendEnded{Send: send.ID, Verdict: verdict}))
		}
		if result != nil && !result.MayHaveRun {
			require.Empty(t, mayHaveRun)
		}
	})
}

// The process stops while sends are in flight. Each request ends immediately with its known state and
// without a further send, even if a hedge is due.
func TestGivingUpEndsAsAtTheDeadline(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, budget: 9})
	m.Step(0, Begin{})
	m.Step(5*ms, succeeded(0))
	actions := m.Step(20*ms, GiveUp{})
	require.Empty(t, sends(actions))
	result := finishResult(actions)
	require.NotNil(t, result)
	require.False(t, result.Enough)
	require.True(t, result.PastDeadline)
	require.True(t, result.MayHaveRun)

	enough := New(gatherPlan(), &fakeChooser{replicas: 2, budget: 9})
	enough.Step(0, Begin{})
	for i := range 3 {
		enough.Step(5*ms, succeeded(i))
	}
	require.True(t, finishResult(enough.Step(20*ms, GiveUp{})).Enough, "three of four parts suffice")
}

// Operators need the reason why an overdue part was not hedged.
func TestAWithheldSendReportsItsReason(t *testing.T) {
	reason := func(plan Plan, chooser *fakeChooser) Reason {
		m := New(plan, chooser)
		m.Step(0, Begin{})
		m.Step(5*ms, succeeded(0))
		for _, action := range m.Step(15*ms, Tick{}) {
			if withheld, ok := action.(Withheld); ok {
				return withheld.Why
			}
		}
		return ""
	}
	once, single := gatherPlan(), gatherPlan()
	once.Idempotent, single.MaxReplicas = false, 1
	require.Equal(t, NotIdempotent, reason(once, &fakeChooser{replicas: 2, budget: 9}))
	require.Equal(t, AttemptsUsed, reason(single, &fakeChooser{replicas: 2, budget: 9}))
	require.Equal(t, NoOtherReplica, reason(gatherPlan(), &fakeChooser{replicas: 1, budget: 9}))
	require.Equal(t, OtherDegraded, reason(gatherPlan(), &fakeChooser{replicas: 2, budget: 9, degraded: true}))
	require.Equal(t, BudgetSpent, reason(gatherPlan(), &fakeChooser{replicas: 2}))
	require.Empty(t, reason(gatherPlan(), &fakeChooser{replicas: 2, budget: 9}))
}

// One shard more than may be missing has only replicas left that answer long after the target latency.
// If sent, the query would wait for them, take capacity from other requests, and be late.
func TestAQuestionThatCannotComeInTimeIsRejectedBeforeAnythingIsSent(t *testing.T) {
	plan := gatherPlan()
	plan.Admission.TargetAt = 50 * ms
	chooser := &fakeChooser{replicas: 2, budget: 9, expectedLatency: map[string]time.Duration{"a": 80 * ms, "b": 200 * ms}}
	actions := New(plan, chooser).Step(0, Begin{})
	require.Empty(t, sends(actions))
	result := finishResult(actions)
	require.NotNil(t, result)
	require.True(t, result.Rejected)
	require.False(t, result.MayHaveRun)
	require.Equal(t, 50*ms, result.Admission.RetryAfter, "the faster of the two misses the target by 30 ms")
	chooser.unreachable = []string{"a", "b"}
	told := finishResult(New(plan, chooser).Step(0, Begin{})).Admission.RetryAfter
	require.GreaterOrEqual(t, told, plan.Deadline/6)
	require.LessOrEqual(t, told, plan.Deadline/3, "no longer than the caller honours")
}

// No more shards are slow than may be missing: the answer is in time without them.
func TestSlowShardsThatMayBeMissingRejectNothing(t *testing.T) {
	plan := gatherPlan()
	plan.Admission.TargetAt = 50 * ms
	slow := &fakeChooser{replicas: 2, budget: 9, expectedLatency: map[string]time.Duration{"a": time.Minute}}
	require.Len(t, sends(New(plan, slow).Step(0, Begin{})), 4)
	unreachable := &fakeChooser{replicas: 2, budget: 9, unreachable: []string{"b"}}
	require.Len(t, sends(New(plan, unreachable).Step(0, Begin{})), 4)
}

// An idle slow replica gets requests, since only a request can show that it is fast again.
func TestAnIdleReplicaIsSentTo(t *testing.T) {
	plan := gatherPlan()
	plan.Admission.TargetAt = 50 * ms
	chooser := &fakeChooser{replicas: 2, budget: 9, unreachable: []string{"a"}}
	require.Len(t, sends(New(plan, chooser).Step(0, Begin{})), 4)
}

func TestASingleRequestIsRejectedOnlyWhenItsDeadlineCannotBeKept(t *testing.T) {
	plan := plainPlan(false)
	chooser := &fakeChooser{replicas: 2, expectedLatency: map[string]time.Duration{"a": 900 * ms}}
	require.Len(t, sends(New(plan, chooser).Step(0, Begin{})), 1)
	chooser.expectedLatency["a"] = 1100 * ms
	result := finishResult(New(plan, chooser).Step(0, Begin{}))
	require.True(t, result.Rejected)
	require.Equal(t, 100*ms, result.Admission.RetryAfter)
}

// All replicas are many times slower than usual. A hedge would be late itself and take capacity from a first send.
func TestNoScarceHedgeToAReplicaThatIsExpectedToBeSlow(t *testing.T) {
	chooser := &fakeChooser{replicas: 2, budget: 9, expectedLatency: map[string]time.Duration{"d": 31 * ms}}
	m := New(gatherPlan(), chooser)
	m.Step(0, Begin{})
	for i := range 3 {
		m.Step(5*ms, succeeded(i))
	}
	require.Empty(t, sends(m.Step(15*ms, Tick{})))
	chooser.extraPlentiful = true
	require.Len(t, sends(m.Step(30*ms, Tick{})), 1, "the hedge is sent while the budget is plentiful")
}

// A request ends at its deadline with sends in flight. Whether it may have run then depends on these alone, unless another
// send has run or may have.
func TestWithdrawnSendsAreToldApartFromThoseThatMayHaveRun(t *testing.T) {
	for _, test := range []struct {
		name          string
		plan          Plan
		ends          []SendEnded
		withdrawn     []int
		onlyWithdrawn bool
	}{
		{"the one send is in flight", plainPlan(false), nil, []int{0}, true},
		{"refused once, then in flight", plainPlan(false), []SendEnded{{Send: 0, Verdict: Refused}}, []int{1}, true},
		{"never left, then in flight", plainPlan(false), []SendEnded{{Send: 0, Verdict: Unreached}}, []int{1}, true},
		{"failed once, then in flight", plainPlan(true), []SendEnded{{Send: 0, Verdict: Failed}}, []int{1}, false},
		{"one part has come", gatherPlan(), []SendEnded{succeeded(0)}, []int{1, 2, 3}, false},
	} {
		m := New(test.plan, &fakeChooser{replicas: 2, budget: 9})
		m.Step(0, Begin{})
		for _, end := range test.ends {
			require.Nil(t, finishResult(m.Step(ms, end)), test.name)
		}
		result := finishResult(m.Step(2*ms, GiveUp{}))
		require.NotNil(t, result, test.name)
		require.True(t, result.MayHaveRun, test.name)
		require.Equal(t, test.withdrawn, result.Withdrawn, test.name)
		require.Equal(t, test.onlyWithdrawn, result.OnlyWithdrawn, test.name)
	}
}

// Guards against "not run" for a question that one shard has answered while the others cannot be reached.
func TestAQuestionThatOneShardAnsweredHasRun(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 1})
	m.Step(0, Begin{})
	m.Step(ms, succeeded(0))
	m.Step(ms, SendEnded{Send: 1, Verdict: Unreached})
	result := finishResult(m.Step(ms, SendEnded{Send: 2, Verdict: Unreached}))
	require.NotNil(t, result)
	require.False(t, result.Enough)
	require.True(t, result.MayHaveRun)
}
