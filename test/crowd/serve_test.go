package crowd_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// Guards against heads of net/http's default size on the listeners of `serve`.
func TestLongHeadsAtServe(t *testing.T) {
	const (
		crowd     = 12
		headBytes = 1000 << 10
	)
	for name, address := range map[string]func(harness.Node) string{
		"callers":   func(n harness.Node) string { return n.VM.CallerAddress },
		"operators": func(n harness.Node) string { return n.VM.OperatorAddress },
	} {
		t.Run(name, func(t *testing.T) {
			fleet := harness.NewFleet(t, binary)
			n := fleet.Add(harness.NodeOptions{})
			sendCrowd(t, address(*n), crowd, text(head("GET", "/v1/entries", shortLines(headBytes)))).awaitDone()
			require.False(t, n.Exited(), "the process has ended")
			response, err := http.Get("http://" + n.VM.CallerAddress + "/v1/entries")
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusOK, response.StatusCode)
			peak := peakMemoryMB(t, n.Process)
			t.Logf("peak memory %d MB of %d", peak, smallestMemoryMB)
			require.LessOrEqual(t, peak, smallestMemoryMB, "peak memory in MB")
		})
	}
}
