package scatter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

func noPlace(send int) SendEnded { return SendEnded{Send: send, Verdict: NoPlace} }

// Guards against a full replica that costs the request an extra send or one of the replicas that it may use: nothing arrived.
func TestASendWithoutAPlaceMovesToAnotherReplicaForFree(t *testing.T) {
	plan := gatherPlan()
	plan.MaxReplicas = 1
	m := New(plan, &fakeChooser{replicas: 2})
	m.Step(0, Begin{})
	again := sends(m.Step(ms, noPlace(3)))
	require.Len(t, again, 1)
	require.Equal(t, "d-1", again[0].Replica.ID)
	require.Equal(t, First, again[0].Cause, "so that it may wait and travel as the first one would have")
	require.False(t, again[0].Last)
}

// Guards against hedges without a place that use up the bound on extra sends, which counts arrivals.
func TestAnExtraSendWithoutAPlaceIsNotSpent(t *testing.T) {
	plan := gatherPlan()
	plan.MaxReplicas = 3
	chooser := &fakeChooser{replicas: 3, budget: 1}
	m := New(plan, chooser)
	m.Step(0, Begin{})
	for i := range 3 {
		m.Step(ms, succeeded(i))
	}
	hedge := sends(m.Step(15*ms, Tick{}))
	require.Len(t, hedge, 1)
	require.True(t, hedge[0].Extra, "it does not wait")
	again := sends(m.Step(16*ms, noPlace(4)))
	require.Len(t, again, 1)
	require.Equal(t, "d-2", again[0].Replica.ID)
	require.Zero(t, chooser.budget)
	m.Step(17*ms, noPlace(again[0].ID))
	require.Equal(t, 1, chooser.budget, "another request may have it")
}

// Guards against a request whose only other send is with a helper that has fallen silent: a hedge that finds the other replica
// full is made again and then waits.
func TestAHedgeWaitsOnceTheFirstSendIsLongOverdue(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2, budget: 9})
	m.Step(0, Begin{})
	for i := range 3 {
		m.Step(ms, succeeded(i))
	}
	require.Len(t, sends(m.Step(15*ms, Tick{})), 1)
	require.Empty(t, sends(m.Step(16*ms, noPlace(4))))
	again := sends(m.Step(16*ms+refusedRetryDelay, Tick{}))
	require.Len(t, again, 1)
	require.Equal(t, "d-1", again[0].Replica.ID)
	require.False(t, again[0].Extra)
}

func TestARequestWithoutAnyPlaceIsTriedAgainAndHasNotRun(t *testing.T) {
	plan := gatherPlan()
	plan.MinParts = 1
	m := New(plan, &fakeChooser{replicas: 1})
	m.Step(0, Begin{})
	for i := range 4 {
		m.Step(ms, noPlace(i))
	}
	again := sends(m.Step(ms+refusedRetryDelay, Tick{}))
	require.Len(t, again, 4)
	require.True(t, again[0].Last)
	var result *Result
	for _, send := range again {
		if result != nil {
			break
		}
		require.Nil(t, result)
		result = finishResult(m.Step(plan.Deadline-10*ms, noPlace(send.ID)))
	}
	require.NotNil(t, result, "too late for another try")
	require.False(t, result.MayHaveRun)
	require.False(t, result.BudgetSpent)
}

// A part for which there is no place is left out once the answer has enough others.
func TestAPartWithoutAPlaceIsLeftOut(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 1})
	m.Step(0, Begin{})
	for i := range 3 {
		m.Step(ms, succeeded(i))
	}
	m.Step(2*ms, noPlace(3))
	result := finishResult(m.Step(50*ms, Tick{}))
	require.NotNil(t, result)
	require.True(t, result.Enough)
	require.Equal(t, 3, result.Received)
}

// Guards against a request that is told "may have run" because of sends that were still waiting for a place.
func TestTheEndTellsWhetherOnlyWithdrawnSendsMayHaveRun(t *testing.T) {
	m := New(gatherPlan(), &fakeChooser{replicas: 2})
	m.Step(0, Begin{})
	result := finishResult(m.Step(gatherPlan().Deadline, Tick{}))
	require.NotNil(t, result)
	require.True(t, result.MayHaveRun)
	require.True(t, result.OnlyWithdrawn)
	require.Equal(t, []int{0, 1, 2, 3}, result.Withdrawn)

	m = New(gatherPlan(), &fakeChooser{replicas: 1})
	m.Step(0, Begin{})
	m.Step(ms, SendEnded{Send: 0, Verdict: Failed})
	result = finishResult(m.Step(gatherPlan().Deadline, Tick{}))
	require.True(t, result.MayHaveRun)
	require.False(t, result.OnlyWithdrawn, "one has failed")
}

// Guards against a request that grows with each try while it waits for a place.
func TestTriesWithoutAPlaceUseOneID(t *testing.T) {
	plan := gatherPlan()
	plan.MinParts, plan.Deadline = 1, core.Time(time.Hour)
	m := New(plan, &fakeChooser{replicas: 1})
	tried := sends(m.Step(0, Begin{}))
	now := core.Time(0)
	for range 1000 {
		require.Len(t, tried, 4)
		for _, send := range tried {
			require.Less(t, send.ID, 4)
			m.Step(now, noPlace(send.ID))
		}
		now += refusedRetryDelay
		tried = sends(m.Step(now, Tick{}))
	}
	require.Len(t, m.sends, 4)
	require.Len(t, m.services[0].tried, 1)
}
