package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// All nodes listed in the settings are replaced, and the settings file then lists the new ones.
// A node that reads its seeds only at the start would contact the removed nodes until it is
// restarted.
func TestReplacedSeedsAreReadWhileTheNodeRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seeds := NewSeeds("10.0.0.1:7", []string{"10.0.0.1:7", "10.0.0.2:7"})
		first, changed, err := seeds.ReadVMs(t.Context(), 0, 0)
		require.NoError(t, err)
		require.True(t, changed)
		require.Len(t, first.VMs, 1, "the node itself is left out")
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
		require.Equal(t, 2*time.Second, time.Since(started), "replacing the seeds by equal ones is no change")
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
