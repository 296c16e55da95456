package e2e

import (
	"os"
	"testing"

	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) { os.Exit(harness.Main(m, &binary)) }

const (
	upstreamBehaviour = "{slots: 2, service: 1ms, versions: [41, 42], connections: 25, connect_cost: 6ms, load: 'true'}"
	// shortTTL shortens the time for which a stopping node continues to serve.
	shortTTL = "entries_ttl: 500ms\n"
	callers  = 4
	replicas = harness.Services * harness.Replicas
)

// startFleet runs all upstream replicas in one process and a fleet of three nodes.
func startFleet(t *testing.T, options harness.NodeOptions) (*harness.Fleet, *harness.StandIn) {
	t.Helper()
	upstreams := harness.StartUpstreams(t, binary, replicas, upstreamBehaviour)
	return harness.StartFleet(t, binary, 3, harness.ConfigText(upstreams.Addresses), options), upstreams
}
