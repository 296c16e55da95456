package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// All nodes that the settings named have been replaced, and the settings file names others.
// A node that reads its seeds at the start only would look for the gone ones until it is
// restarted.
func TestReplacedSeedsAreReadWhileTheNodeRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seeds := NewSeeds("10.0.0.1:7", []string{"10.0.0.1:7", "10.0.0.2:7"})
		first, changed, err := seeds.ReadVMs(t.Context(), 0, 0)
		require.NoError(t, err)
		require.True(t, changed)
		require.Len(t, first.VMs, 1, "not the node itself")
		go func() {
			time.Sleep(time.Second)
			seeds.Replace([]string{"10.0.0.1:7", "10.0.0.2:7"})
			time.Sleep(time.Second)
			seeds.Replace([]string{"10.0.0.3:7"})
		}()
		started := time.Now()
		second, changed, err := seeds.ReadVMs(t.Context(), first.Sequence, time.Minute)
		require.NoError(t, err)
		require.True(t, changed)
		require.Equal(t, 2*time.Second, time.Since(started), "the same seeds again are no change")
		require.Equal(t, "10.0.0.3:7", second.VMs[0].PeerAddress)
		require.Greater(t, second.Sequence, first.Sequence)
	})
}

func TestAReadOfUnchangedSeedsEndsWithItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seeds := NewSeeds("10.0.0.1:7", nil)
		_, changed, err := seeds.ReadVMs(context.Background(), 1, time.Second)
		require.NoError(t, err)
		require.False(t, changed)
	})
}
