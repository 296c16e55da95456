package memory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
)

func priority(p int) placement.Claim { return placement.Claim{Priority: p} }

func budget(limit int64, priorities ...int) *Budget {
	b := New(limit)
	b.SetPriorities(priorities)
	return b
}

// fill opens holdings of one byte until one is rejected, and returns their number and the decision.
func fill(b *Budget, claim placement.Claim) (held int64, decision placement.Decision) {
	for ; held <= b.Limit(); held++ {
		var h *Holding
		if h, decision = b.Open(0, claim, 1, 0); h == nil {
			break
		}
	}
	return held, decision
}

// Guards against callers of a less urgent route taking all of a node's memory.
func TestTheLeastUrgentGiveWayFirst(t *testing.T) {
	b := budget(1000, 0, 1, 2)
	least, decision := fill(b, priority(2))
	require.Equal(t, int64(700), least)
	require.Equal(t, placement.Reject, decision.Verdict)
	require.Equal(t, placement.Memory, decision.Short)
	require.GreaterOrEqual(t, decision.RetryAfter, minRetryAfter)
	middle, _ := fill(b, priority(1))
	require.Equal(t, int64(150), middle)
	urgent, _ := fill(b, priority(0))
	require.Equal(t, int64(150), urgent)
	require.Equal(t, int64(1000), b.Used())
}

// Guards against a less urgent route that gets nothing while a more urgent one fills the memory.
func TestEachPriorityKeepsALeastShare(t *testing.T) {
	b := budget(900, 0, 1, 2)
	urgent, _ := fill(b, priority(0))
	require.Equal(t, int64(780), urgent)
	for _, less := range []int{1, 2} {
		held, _ := fill(b, priority(less))
		require.Equal(t, int64(60), held, less)
	}
	require.LessOrEqual(t, b.Used(), b.Limit())
}

// Guards against a route whose replicas hang: its requests would hold all memory, and those of other routes be refused.
func TestOneRouteLeavesRoomForTheOthers(t *testing.T) {
	b := budget(1000, 1)
	b.SetRoutes(2)
	hanging, decision := fill(b, placement.Claim{Priority: 1, Route: "hanging"})
	require.Equal(t, int64(700), hanging)
	require.Equal(t, placement.Reject, decision.Verdict)
	require.GreaterOrEqual(t, decision.RetryAfter, minRetryAfter)
	other, _ := fill(b, placement.Claim{Priority: 1, Route: "other"})
	require.Equal(t, int64(300), other)
	alone := budget(1000, 1)
	alone.SetRoutes(1)
	held, _ := fill(alone, placement.Claim{Priority: 1, Route: "hanging"})
	require.Equal(t, int64(1000), held)
}

// Guards against a caller over its share using the room that is kept for urgent routes.
func TestACallerOverItsShareIsTheLeastUrgent(t *testing.T) {
	b := budget(1000, 0, 1)
	held, _ := fill(b, placement.Claim{Priority: 0, OverShare: true})
	require.Equal(t, int64(700), held)
}

// Where no priority is stated, or all routes have the same one, the whole limit is one room.
func TestWithoutPrioritiesAllIsOneRoom(t *testing.T) {
	for _, b := range []*Budget{budget(100), budget(100, 7)} {
		held, _ := fill(b, priority(7))
		require.Equal(t, int64(100), held)
	}
}

// A missing or meaningless bound selects the default, and a VM's memory gives its share.
func TestABoundOfZeroIsTheDefault(t *testing.T) {
	for _, limit := range []int64{0, -5} {
		require.Equal(t, int64(DefaultLimitBytes), New(limit).Limit())
		require.Equal(t, int64(DefaultLimitBytes), LimitBytes(limit))
	}
	require.Equal(t, int64(20<<20), LimitBytes(100<<20))
}

// Guards against a request that is longer than the limit never being served.
func TestAnIdleNodeTakesAnyRequest(t *testing.T) {
	b := budget(10, 0, 1)
	h, _ := b.Open(0, priority(1), 500, 0)
	require.NotNil(t, h)
	second, _ := b.Open(0, priority(0), 1, 0)
	require.Nil(t, second)
	b.Release(0, h)
	b.Release(0, h)
	require.Zero(t, b.Used())
}

// A request whose announced body does not fit is rejected before the body is read.
func TestAnAnnouncedBodyThatDoesNotFitIsRejected(t *testing.T) {
	b := budget(100, 0)
	first, _ := b.Open(0, priority(0), 50, 0)
	rejected, _ := b.Open(0, priority(0), 10, 45)
	require.Nil(t, rejected)
	require.Equal(t, int64(50), b.Used())
	require.Equal(t, placement.Send, b.Grow(0, first, 50).Verdict)
	require.Equal(t, placement.Reject, b.Grow(0, first, 1).Verdict)
}

// Unread answers give way: first those of less urgent routes, then, among equals, the one that has been unread for longest.
func TestUnreadAnswersGiveWay(t *testing.T) {
	b := budget(100, 0, 1)
	open := func(p int, at core.Time, bytes int64) *Holding {
		h, _ := b.Open(at, priority(p), 0, 0)
		_, fits := b.Answer(at, h, bytes)
		require.True(t, fits)
		return h
	}
	stalled := open(0, 0, 30)
	lessUrgent := open(1, time.Second, 30)
	recent, _ := b.Open(time.Second, priority(0), 0, 0)
	cut, fits := b.Answer(time.Second, recent, 60)
	require.True(t, fits)
	require.Equal(t, []*Holding{lessUrgent}, cut)
	next, _ := b.Open(time.Second, priority(0), 0, 0)
	cut, fits = b.Answer(time.Second, next, 30)
	require.True(t, fits)
	require.Equal(t, []*Holding{stalled}, cut)
	last, _ := b.Open(time.Second, priority(0), 0, 0)
	cut, fits = b.Answer(time.Second, last, 30)
	require.False(t, fits, "the others have been unread for a short time only")
	require.Empty(t, cut)
	b.Release(time.Second, last)
	require.Equal(t, int64(90), b.Used())
}

// The time to return follows the rate at which bytes are given back.
func TestRetryAfterFollowsTheRate(t *testing.T) {
	wait := func(released int64) time.Duration {
		b := budget(1000)
		former, _ := b.Open(0, priority(0), released, 0)
		b.Release(0, former)
		_, _ = b.Open(0, priority(0), 1000, 0)
		_, decision := b.Open(0, priority(0), 500, 0)
		return decision.RetryAfter
	}
	require.Equal(t, maxRetryAfter, wait(0))
	require.Equal(t, 500*time.Millisecond, wait(1000))
	require.Equal(t, minRetryAfter, wait(1_000_000))
}

// Whatever requests do, the limit holds and all bytes are given back.
func TestAnyOrderKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget(1000, 0, 1, 2)
		var open []*Holding
		now := core.Time(0)
		for range 60 {
			now += core.Time(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			bytes := rapid.Int64Range(0, 300).Draw(t, "bytes")
			claim := placement.Claim{Priority: rapid.IntRange(0, 2).Draw(t, "priority"), OverShare: rapid.Bool().Draw(t, "over")}
			switch {
			case len(open) == 0 || rapid.Bool().Draw(t, "open"):
				if h, _ := b.Open(now, claim, bytes, 0); h != nil {
					open = append(open, h)
				}
			case rapid.Bool().Draw(t, "answer"):
				_, _ = b.Answer(now, open[0], bytes)
			default:
				b.Release(now, open[0])
				open = open[1:]
			}
			require.LessOrEqual(t, b.Used(), b.Limit())
		}
		for _, h := range open {
			b.Release(now, h)
		}
		require.Zero(t, b.Used())
		require.Empty(t, b.byPriority)
		require.Empty(t, b.answers)
	})
}

func BenchmarkOpenAndRelease(b *testing.B) {
	budget := budget(1<<30, 0, 1, 2)
	b.ReportAllocs()
	for range b.N {
		h, _ := budget.Open(0, priority(1), 100, 0)
		budget.Release(0, h)
	}
}
