package alarm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// One state machine changes its wake-up time twice and another one ends. If an old
// time stayed in force, the goroutine would wake without need or for a machine that
// no longer exists; if the new time were lost, a request would hang past its deadline.
func TestOnlyTheLatestTimeOfAKeyFires(t *testing.T) {
	alarms := New[string]()
	alarms.Set("moved", 5*time.Second)
	alarms.Set("moved", time.Second)
	alarms.Set("moved", 3*time.Second)
	alarms.Set("ended", 2*time.Second)
	alarms.Clear("ended")
	alarms.Set("later", 9*time.Second)

	at, ok := alarms.Next()
	require.True(t, ok)
	require.Equal(t, 3*time.Second, at)
	require.Empty(t, alarms.PopDue(2*time.Second))
	require.Equal(t, []string{"moved"}, alarms.PopDue(8*time.Second))
	require.Equal(t, []string{"later"}, alarms.PopDue(9*time.Second))
	_, ok = alarms.Next()
	require.False(t, ok)
}
