package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const ms = time.Millisecond

func TestOrderOfClaims(t *testing.T) {
	const now = core.Time(100 * ms)
	urgent := Claim{Priority: 0, TargetAt: 150 * ms, Deadline: time.Second}
	for name, behind := range map[string]Claim{
		"a less urgent one that waited longer":   {Priority: 1, Waited: time.Second, TargetAt: 110 * ms, Deadline: time.Second},
		"a more urgent one of a greedy caller":   {OverShare: true, TargetAt: 150 * ms, Deadline: time.Second},
		"one that is late already":               {TargetAt: 50 * ms, Waited: time.Second, Deadline: time.Second},
		"one that has more time to its own aim":  {TargetAt: 200 * ms, Deadline: time.Second},
		"one without an aim and a late deadline": {Deadline: time.Second},
	} {
		require.Negative(t, Compare(urgent, behind, now), name)
		require.Positive(t, Compare(behind, urgent, now), name)
	}
	waited := urgent
	waited.Waited = ms
	require.Negative(t, Compare(waited, urgent, now), "of equals the one that waited longer goes first")
	require.Zero(t, Compare(urgent, urgent, now))
}

func TestDecisions(t *testing.T) {
	const now = core.Time(0)
	claim := Claim{TargetAt: 100 * ms, Deadline: 500 * ms}
	late := Claim{TargetAt: 0, Deadline: 500 * ms}
	extra := claim
	extra.Extra = true
	for name, c := range map[string]struct {
		claim Claim
		room  Room
		want  Decision
	}{
		"a free place":                   {claim, Room{Limit: 2, InUse: 1, HoldTime: 20 * ms}, Decision{Verdict: Send}},
		"a place in time for the aim":    {claim, Room{Limit: 2, InUse: 2, Ahead: 3, HoldTime: 20 * ms}, Decision{Verdict: Wait, Until: 80 * ms, RetryAfter: 40 * ms, Short: Slots, Ahead: 3}},
		"a place too late for the aim":   {claim, Room{Limit: 2, InUse: 2, Ahead: 9, HoldTime: 20 * ms}, Decision{Verdict: Reject, RetryAfter: 100 * ms, Short: Slots, Ahead: 9}},
		"without an aim the deadline":    {late, Room{Limit: 2, InUse: 2, Ahead: 9, HoldTime: 20 * ms}, Decision{Verdict: Wait, Until: 480 * ms, RetryAfter: 100 * ms, Short: Slots, Ahead: 9}},
		"an extra send does not wait":    {extra, Room{Limit: 2, InUse: 2, HoldTime: 20 * ms}, Decision{Verdict: Elsewhere, RetryAfter: 10 * ms, Short: Slots}},
		"a free place with others ahead": {claim, Room{Limit: 2, InUse: 1, Ahead: 1, HoldTime: 20 * ms}, Decision{Verdict: Wait, Until: 80 * ms, RetryAfter: 20 * ms, Short: Slots, Ahead: 1}},
		"no place at all":                {claim, Room{Limit: 0, HoldTime: 20 * ms}, Decision{Verdict: Wait, Until: 80 * ms, RetryAfter: 20 * ms, Short: Slots}},
	} {
		require.Equal(t, c.want, Decide(now, c.claim, c.room, Slots), name)
	}
}
