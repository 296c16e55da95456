package comeback

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// refuseAll returns the times told to a number of callers that are refused in one moment.
func refuseAll(s *Schedule, count int, refusal Refusal) []time.Duration {
	var told []time.Duration
	for range count {
		told = append(told, s.RetryAfter(0, refusal))
	}
	slices.Sort(told)
	return told
}

// mostWithin returns the greatest number of times within a window.
func mostWithin(sorted []time.Duration, window time.Duration) int {
	most := 0
	for i := range sorted {
		end, _ := slices.BinarySearch(sorted, sorted[i]+window)
		most = max(most, end-i)
	}
	return most
}

// All callers that are refused in one moment would return in one moment, and be refused again.
func TestCallersRefusedInOneMomentReturnApart(t *testing.T) {
	const window = 100 * ms
	told := refuseAll(&Schedule{}, 60, Refusal{Remaining: 3 * time.Second})
	require.LessOrEqual(t, mostWithin(told, window), int(window/spacing)+1)
	require.Equal(t, minRetryAfter, told[0], "the first returns as soon as there may be room")
	// More callers than turns: those without a turn are even over the second half of what they honour.
	const many = 300
	told = refuseAll(&Schedule{}, many, Refusal{Remaining: 3 * time.Second})
	longest := time.Second
	require.LessOrEqual(t, mostWithin(told, window), int(window/spacing)+1+int(many*window/(longest/2))+2)
}

// A caller that is told more than it honours returns earlier than told, together with all the others.
func TestNobodyIsToldMoreThanItHonours(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Schedule
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "refusals") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * ms
			if rapid.Bool().Draw(t, "short") {
				s.RecordShortage(now)
			}
			remaining := time.Duration(rapid.IntRange(-100, 5000).Draw(t, "remaining")) * ms
			told := s.RetryAfter(now, Refusal{FreeAfter: time.Duration(rapid.IntRange(0, 4000).Draw(t, "free")) * ms, Priority: rapid.IntRange(-3, 9).Draw(t, "priority"), Waited: rapid.Bool().Draw(t, "waited"), Remaining: remaining})
			require.GreaterOrEqual(t, told, time.Duration(0))
			require.LessOrEqual(t, told, max(remaining, 0)/3)
			require.LessOrEqual(t, told, time.Second)
		}
	})
}

// Less urgent callers that were refused first would otherwise take the room before the most urgent.
func TestTheMostUrgentAndThoseWhoWaitedReturnFirst(t *testing.T) {
	var s Schedule
	lessUrgent := refuseAll(&s, 10, Refusal{Priority: 2, Remaining: 3 * time.Second})
	urgent := refuseAll(&s, 2, Refusal{Priority: 0, Remaining: 3 * time.Second})
	require.Less(t, urgent[1], lessUrgent[9])
	require.Equal(t, minRetryAfter, urgent[0])
	waited := s.RetryAfter(0, Refusal{Priority: 2, Waited: true, Remaining: 2 * time.Second})
	require.Equal(t, minRetryAfter, waited)
	require.Equal(t, minRetryAfter+spacing, s.RetryAfter(0, Refusal{Waited: true, Remaining: 2 * time.Second}), "apart as well")
	next := s.RetryAfter(0, Refusal{Priority: 2, Remaining: 3 * time.Second})
	require.Equal(t, lessUrgent[9]+spacing, next)
}

// A shortage that has lasted for a while will not be over in 50 ms: callers told so would be refused again.
func TestTheLongerTheShortageTheLaterTheReturn(t *testing.T) {
	var s Schedule
	for now := time.Duration(0); now <= 400*ms; now += 100 * ms {
		s.RecordShortage(now)
	}
	require.Equal(t, 400*ms, s.RetryAfter(400*ms, Refusal{Remaining: 3 * time.Second}))
	later := 400*ms + shortageGap
	s.RecordShortage(later)
	require.Equal(t, minRetryAfter, s.RetryAfter(later, Refusal{Remaining: 3 * time.Second}), "a new shortage")
}

// A node that has just started refuses everybody: all would return together.
func TestRefusalsForOtherReasonsAreSpread(t *testing.T) {
	var s Schedule
	var told []time.Duration
	for range 100 {
		told = append(told, s.Spread(300*ms, 2*time.Second))
	}
	slices.Sort(told)
	require.GreaterOrEqual(t, told[0], 150*ms)
	require.LessOrEqual(t, told[99], 300*ms)
	require.LessOrEqual(t, mostWithin(told, 15*ms), 13, "a tenth of them in a tenth of the time, and rounding")
	require.LessOrEqual(t, s.Spread(300*ms, 90*ms), 30*ms, "within what the caller honours")
}

func TestARequestIsRememberedUntilItCouldReturn(t *testing.T) {
	var told Told
	require.True(t, told.IsEmpty(0))
	told.Record(0, 7, 200*ms)
	standing, early := told.Lookup(50*ms, 7)
	require.Equal(t, Early, standing)
	require.Equal(t, 150*ms, early)
	standing, _ = told.Lookup(200*ms, 7)
	require.Equal(t, InTime, standing)
	standing, _ = told.Lookup(maxRetryAfter-ms, 7)
	require.Equal(t, InTime, standing)
	told.Forget(7)
	standing, _ = told.Lookup(300*ms, 7)
	require.Equal(t, Unknown, standing)
}

// A flood of different requests must not grow the memory.
func TestRememberedRequestsAreBoundedAndExpire(t *testing.T) {
	var told Told
	for now := time.Duration(0); now < 3*time.Second; now += ms {
		for i := range 10 {
			told.Record(now, Key(now)*100+Key(i)+1, now+100*ms)
		}
		require.LessOrEqual(t, len(told.current)+len(told.previous), 2*maxTold)
	}
	require.True(t, told.IsEmpty(6*time.Second))
}
