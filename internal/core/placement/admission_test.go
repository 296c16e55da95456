package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/comeback"
)

// forecastOf expects enough answers after a time, for which one of twenty services is needed that is slow.
func forecastOf(needed time.Duration) Forecast {
	waits := make([]time.Duration, 20)
	waits[18], waits[19] = needed, time.Hour
	return Forecast{Waits: waits, MinParts: 19}
}

// requestAt is a request that arrives at a time with a target of 100 ms and a deadline of a second.
func requestAt(now core.Time, key comeback.Key) Request {
	return Request{Claim: Claim{TargetAt: now + 100*ms, Deadline: now + time.Second}, Key: func() comeback.Key { return key }}
}

// A request that was refused and returned as told is lost if it is refused again, though its caller would still wait.
func TestWhoReturnsAsToldIsServedLateWhereRoomIsLeftOver(t *testing.T) {
	a := &Admission{}
	first := a.Decide(0, requestAt(0, 2), forecastOf(200*ms))
	require.Equal(t, Reject, first.Verdict)
	require.Equal(t, Shards, first.Short)
	require.Equal(t, comeback.Unknown, first.Return)
	returned := requestAt(first.RetryAfter, 2)
	returned.Deadline = time.Second
	second := a.Decide(first.RetryAfter, returned, forecastOf(200*ms))
	require.Equal(t, Send, second.Verdict)
	require.Equal(t, comeback.InTime, second.Return)
}

// lateRequest is a request that waited, of which a tenth of the services are expected late.
func lateRequest(now core.Time, priority int) (Request, Forecast) {
	late := requestAt(now, 0)
	late.Key, late.Waited, late.Priority = nil, 500*ms, priority
	return late, Forecast{Waits: []time.Duration{0, 0, 0, 0, 0, 0, 0, 0, 0, 200 * ms}, MinParts: 10}
}

// Late requests lengthen the queues for those in time: a shortage that lasts leaves no room for them.
func TestLateRequestsAreBoundedByTheRoomLeftOver(t *testing.T) {
	a := &Admission{}
	admitted := func() int {
		count := 0
		for range 20 {
			late, forecast := lateRequest(0, 0)
			if a.Decide(0, late, forecast).Verdict == Send {
				count++
			}
			a.Decide(0, requestAt(0, 1), forecastOf(90*ms))
		}
		return count
	}
	require.Equal(t, 5, admitted(), "each takes a tenth of its services")
	require.Zero(t, admitted())
	for range 51 {
		a.Decide(0, requestAt(0, 1), forecastOf(0))
	}
	require.Equal(t, 1, admitted(), "short queues give room back")
}

// Less urgent late requests must not take the room that a more urgent one may need.
func TestLateRoomIsKeptForTheMoreUrgent(t *testing.T) {
	a := &Admission{}
	admitted := func(priority int) int {
		count := 0
		for range 10 {
			if late, forecast := lateRequest(0, priority); a.Decide(0, late, forecast).Verdict == Send {
				count++
			}
		}
		return count
	}
	require.Equal(t, 3, admitted(3))
	require.Equal(t, 1, admitted(2))
	require.Zero(t, admitted(1))
	require.Equal(t, 1, admitted(0), "the last of the room is for the most urgent")
}

// What cannot be answered by the deadline is rejected at once, also for a caller that waited.
func TestWhatCannotBeServedIsRejectedAtOnce(t *testing.T) {
	a := &Admission{}
	late := requestAt(0, 2)
	late.Waited = 500 * ms
	require.Equal(t, Reject, a.Decide(0, late, forecastOf(1100*ms)).Verdict)
	past := requestAt(0, 3)
	past.Deadline = -5 * ms
	require.Equal(t, Reject, a.Decide(0, past, forecastOf(time.Millisecond)).Verdict)
}

// A caller that repeats at once ignores its time. It must neither get room by it nor change the others' times.
func TestWhoRepeatsAtOnceKeepsItsTime(t *testing.T) {
	a := &Admission{}
	first := a.Decide(0, requestAt(0, 2), forecastOf(200*ms))
	for now := 5 * ms; now < first.RetryAfter; now += 5 * ms {
		repeated := a.Decide(now, requestAt(now, 2), forecastOf(20*ms))
		require.Equal(t, Reject, repeated.Verdict)
		require.Equal(t, comeback.Early, repeated.Return)
		require.Equal(t, first.RetryAfter-now, repeated.RetryAfter)
	}
	other := a.Decide(20*ms, requestAt(20*ms, 3), forecastOf(200*ms))
	require.Equal(t, 100*ms, other.RetryAfter, "when there may be room, as without the repeats")
	require.Equal(t, Send, a.Decide(first.RetryAfter, requestAt(first.RetryAfter, 2), forecastOf(20*ms)).Verdict)
}

// A caller over its share takes nothing while room is short; where nothing is short it is not held back.
func TestACallerOverItsShareGetsNoShortRoom(t *testing.T) {
	a := &Admission{}
	over := requestAt(0, 2)
	over.OverShare = true
	require.Equal(t, Send, a.Decide(0, over, forecastOf(50*ms)).Verdict)
	queued := a.Decide(0, over, forecastOf(80*ms))
	require.Equal(t, Reject, queued.Verdict)
	require.Equal(t, CallerShare, queued.Short)
	require.Equal(t, Send, a.Decide(0, requestAt(0, 3), forecastOf(80*ms)).Verdict, "within its share")
	a.Decide(0, requestAt(0, 4), forecastOf(200*ms))
	require.Equal(t, Reject, a.Decide(0, over, forecastOf(10*ms)).Verdict, "others lacked room a moment ago")
	later := requestAt(time.Second, 2)
	later.OverShare = true
	require.Equal(t, Send, a.Decide(time.Second, later, forecastOf(10*ms)).Verdict, "the shortage has ended")
}

// The node that told callers to return has ended, or all nodes have started anew. Another one knows a caller by the time
// that it has spent; without even that it is treated as a new one, and not worse.
func TestAnotherNodeKnowsWhoReturnsByTheTimeItSpent(t *testing.T) {
	a := &Admission{}
	returned := requestAt(0, 2)
	returned.Waited = 120 * ms
	outcome := a.Decide(0, returned, forecastOf(200*ms))
	require.Equal(t, Send, outcome.Verdict)
	require.Equal(t, comeback.InTime, outcome.Return)
	unknown, fresh := &Admission{}, &Admission{}
	require.Equal(t, fresh.Decide(0, requestAt(0, 3), forecastOf(200*ms)), unknown.Decide(0, requestAt(0, 2), forecastOf(200*ms)))
}

// A configuration may change the priority of a route while callers are away. The priority at the return counts.
func TestThePriorityAtTheReturnCounts(t *testing.T) {
	a := &Admission{}
	a.lateUsed = 0.35
	first := requestAt(0, 2)
	first.Priority = 2
	told := a.Decide(0, first, forecastOf(200*ms)).RetryAfter
	returned := requestAt(told, 2)
	returned.Priority = 2
	require.Equal(t, Reject, a.Decide(told, returned, forecastOf(200*ms)).Verdict)
	again := requestAt(told+100*ms, 2)
	again.Priority = 0
	require.Equal(t, Send, a.Decide(told+100*ms, again, forecastOf(200*ms)).Verdict)
}
