package scatter

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/placement"
)

// shortPlan is the plan of a query over forty shards that may lack two, and a chooser to which the first ones are short.
func shortPlan(short int) (Plan, *fakeChooser) {
	chooser := &fakeChooser{replicas: 1, expectedLatency: map[string]time.Duration{}}
	plan := Plan{MinParts: 38, Idempotent: true, MaxReplicas: 1, Deadline: time.Second, Spread: 1, Admission: placement.Request{Claim: placement.Claim{TargetAt: 100 * time.Millisecond}}}
	for shard := range 40 {
		name := strconv.Itoa(shard)
		plan.Services = append(plan.Services, name)
		if shard < short {
			chooser.expectedLatency[name] = 80 * time.Millisecond
		}
	}
	return plan, chooser
}

// firstSends returns the shards that a query is sent to.
func firstSends(plan Plan, chooser Chooser) map[int]bool {
	sent := map[int]bool{}
	for _, action := range New(plan, chooser).Step(0, Begin{}) {
		if send, ok := action.(Send); ok {
			sent[send.Service] = true
		}
	}
	return sent
}

// Guards against queries that all queue at the same few short shards, of which each needs only some.
func TestQueriesShareTheRoomOfShortShards(t *testing.T) {
	plan, chooser := shortPlan(4)
	require.Len(t, firstSends(plan, chooser), 40, "three of four are needed: leaving one out relieves too little")

	plan.MinParts, plan.Spread = 37, 1
	counts := map[int]int{}
	const queries = 40
	for range queries {
		plan.Spread++
		sent := firstSends(plan, chooser)
		require.Len(t, sent, 36+1+spareShortShards)
		for shard := range sent {
			counts[shard]++
		}
	}
	for shard := range 4 {
		require.Equal(t, queries/2, counts[shard], "each short shard gets half of the queries")
	}
	require.Equal(t, queries, counts[9], "the others get all")
}

func TestNothingIsLeftOutWhereTheAnswerMayLackAllShortShards(t *testing.T) {
	plan, chooser := shortPlan(2)
	require.Len(t, firstSends(plan, chooser), 40)
}

func TestUnreachableShardsAreLeftOutFirst(t *testing.T) {
	plan, chooser := shortPlan(4)
	plan.MinParts = 37
	chooser.unreachable = []string{"1", "2"}
	for range 4 {
		plan.Spread++
		sent := firstSends(plan, chooser)
		require.True(t, sent[0] && sent[3] && !sent[1] && !sent[2], sent)
	}
}

// Guards against answers that lack many shards for the sake of a few that are late.
func TestFewShardsAreLeftOut(t *testing.T) {
	plan, chooser := shortPlan(6)
	plan.MinParts = 35
	require.Len(t, firstSends(plan, chooser), 40, "four of forty would be left out")
}

// Guards against an answer that fails with the short shards that it was sent to, while others were left out.
func TestAShardThatWasLeftOutIsAskedOnceItIsNeeded(t *testing.T) {
	plan, chooser := shortPlan(4)
	plan.MinParts = 37
	m := New(plan, chooser)
	var short []Send
	for _, action := range m.Step(0, Begin{}) {
		if send, ok := action.(Send); ok && send.Service < 4 {
			short = append(short, send)
		}
	}
	require.Len(t, short, 2)
	require.Empty(t, sendsTo(m.Step(ms, SendEnded{Send: short[0].ID, Verdict: Failed})), "the other one suffices")
	asked := sendsTo(m.Step(ms, SendEnded{Send: short[1].ID, Verdict: Failed}))
	require.Len(t, asked, 1)
	require.NotContains(t, []int{short[0].Service, short[1].Service}, asked[0])
	require.Less(t, asked[0], 4)
}

// sendsTo returns the services that actions send to.
func sendsTo(actions []Action) (services []int) {
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			services = append(services, send.Service)
		}
	}
	return services
}
