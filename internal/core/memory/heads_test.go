package memory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	testHeadLimit = 10 << 20
	longHead      = FreeHeadBytes + 4<<20
)

func TestOrdinaryHeadsDoNotCount(t *testing.T) {
	heads := NewHeads(1)
	for range 1000 {
		_, fits := heads.Grow(0, &Head{}, HeadBytes(40, 2000))
		require.True(t, fits)
	}
	require.Zero(t, heads.Used())
}

// Guards against never serving a head that is longer than the limit.
func TestALoneHeadAlwaysFits(t *testing.T) {
	heads := NewHeads(1)
	var long, other Head
	_, fits := heads.Grow(0, &long, longHead)
	require.True(t, fits)
	_, fits = heads.Finish(0, &long, 2*longHead)
	require.True(t, fits)
	_, fits = heads.Grow(0, &other, longHead)
	require.False(t, fits)
	heads.Release(&long)
	_, fits = heads.Grow(0, &other, longHead)
	require.True(t, fits)
}

// Guards against clients that keep all others out with heads that they never finish.
func TestTheOldestUnfinishedHeadGivesWay(t *testing.T) {
	heads := NewHeads(testHeadLimit)
	var working, oldest, newer, another Head
	_, fits := heads.Finish(0, &working, longHead)
	require.True(t, fits)
	_, fits = heads.Grow(time.Millisecond, &oldest, longHead)
	require.True(t, fits)
	_, fits = heads.Grow(2*time.Millisecond, &newer, longHead)
	require.False(t, fits, "no other one is old enough")
	at := maxUnfinishedAge + time.Millisecond
	cut, fits := heads.Grow(at, &newer, longHead)
	require.True(t, fits)
	require.Equal(t, []*Head{&oldest}, cut)
	_, fits = heads.Finish(at, &oldest, longHead)
	require.False(t, fits, "its connection is closed")
	_, fits = heads.Finish(at, &newer, longHead)
	require.True(t, fits)
	_, fits = heads.Grow(2*at, &another, longHead)
	require.False(t, fits, "requests in work do not give way")
}

func TestHeadsStayWithinTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heads := NewHeads(testHeadLimit)
		known := make([]Head, 8)
		now := core.Time(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += core.Time(rapid.IntRange(0, int(maxUnfinishedAge)).Draw(t, "pause"))
			h := &known[rapid.IntRange(0, len(known)-1).Draw(t, "head")]
			bytes := rapid.Int64Range(0, testHeadLimit/2).Draw(t, "bytes")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				heads.Grow(now, h, bytes)
			case 1:
				heads.Finish(now, h, bytes)
			default:
				heads.Release(h)
			}
			sum := int64(0)
			for i := range known {
				sum += known[i].Bytes()
			}
			require.Equal(t, sum, heads.Used())
			require.LessOrEqual(t, heads.Used(), heads.Limit())
		}
	})
}
