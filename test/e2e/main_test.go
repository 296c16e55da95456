package e2e

import (
	"flag"
	"fmt"
	"os"
	"testing"

	// The tests run the built program. The go command caches a test result while
	// the packages that the test imports are unchanged: without this import a
	// change of the program would pass without a run.
	_ "github.com/pistachiopier/pistachiopier/internal/command"
	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		fmt.Println("end-to-end tests are skipped by -short")
		os.Exit(0)
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	built, folder, err := harness.Build()
	defer func() { _ = os.RemoveAll(folder) }()
	if err != nil {
		fmt.Println("the program cannot be built:", err)
		return 1
	}
	binary = built
	return m.Run()
}

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
