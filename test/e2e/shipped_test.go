package e2e

import (
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// Both example configurations, on three nodes and a stand-in for each replica: the
// main search must be complete through every node, and a non-idempotent request
// must run once.
func TestShippedTextsAreServed(t *testing.T) {
	for _, example := range []struct{ file, search, record string }{
		{"magnolia.yaml", "plate-costing", "supplier-import-01"},
		{"brightwater.yaml", "pitching-search", "licence-records-01"},
	} {
		t.Run(example.file, func(t *testing.T) {
			shipped := harness.ReadExample(t, "../../examples/"+example.file)
			upstreams := harness.StartUpstreams(t, binary, shipped.Replicas, upstreamBehaviour)
			fleet := harness.StartFleet(t, binary, 3, shipped.TextAt(upstreams.Addresses), harness.NodeOptions{})
			for _, address := range fleet.CallerAddresses() {
				out, err := exec.Command(binary, "query", example.search, "--address", address).CombinedOutput()
				require.NoError(t, err, string(out))
				require.Contains(t, string(out), example.search+": whole answer, 20 of 20 shards")
			}
			out, err := exec.Command(binary, "submit", example.record, "--address", fleet.CallerAddresses()[0], "--payload", `{"total":120}`).CombinedOutput()
			require.NoError(t, err, string(out))
			require.Contains(t, string(out), "DONE: it ran once")
		})
	}
}
