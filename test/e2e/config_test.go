package e2e

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// awaitProblem waits until at least one node reports the problem.
func awaitProblem(t *testing.T, fleet *harness.Fleet, kind observe.Kind) {
	t.Helper()
	harness.Await(t, "a node reports "+string(kind), func() bool {
		for _, n := range fleet.Nodes() {
			if strings.Contains(n.Problems(), string(kind)) {
				return true
			}
		}
		return false
	})
}

func requireRevision(t *testing.T, fleet *harness.Fleet, revision uint64) {
	t.Helper()
	for _, n := range fleet.Nodes() {
		status, ok := n.Status()
		require.True(t, ok)
		require.Equal(t, revision, status.Revision, n.VM.ID)
	}
}

// The configuration service is down for a while and is then restored from an old
// backup, with an older revision. Queries must be answered throughout, no node may
// revert to the old text, and the next newer revision must come into force.
func TestConfigurationServiceDownAndRolledBack(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
	text := harness.ConfigText(upstreams.Addresses)
	second := fleet.Publish(text)
	fleet.AwaitReady(second)
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	fleet.Platform.PatchBehaviour(harness.AllReplicas, "{down: true}")
	harness.Await(t, "reads fail", func() bool { return fleet.Platform.ReadCounts().Failed >= 10 })
	load.AwaitComplete(20)
	requireRevision(t, fleet, second)
	fleet.Platform.Publish(second-1, strings.Replace(text, "timeout: 4s", "timeout: 1ms", 1))
	fleet.Platform.PatchBehaviour(harness.AllReplicas, "{down: false}")
	awaitProblem(t, fleet, observe.KindConfigReverted)
	load.AwaitComplete(20)
	requireRevision(t, fleet, second)
	fleet.AwaitReady(fleet.Publish(text))
	load.AwaitComplete(20)
	require.Zero(t, load.Stop().Partial)
	load.RequireCorrect()
}

// The configuration service answers from a stale replica, so that published
// revisions stay invisible for a while. The nodes must serve the revision they
// have, and apply the newest one once the service returns it.
func TestStaleConfigurationService(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
	fleet.Platform.PatchBehaviour(harness.AllReplicas, "{freeze_config: true, freeze_vms: true}")
	latest := fleet.Publish(harness.ConfigText(upstreams.Addresses))
	latest = max(latest, fleet.Publish(harness.ConfigText(upstreams.Addresses)))
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(40)
	requireRevision(t, fleet, 1)
	fleet.Platform.PatchBehaviour(harness.AllReplicas, "{freeze_config: false, freeze_vms: false}")
	fleet.AwaitReady(latest)
	load.AwaitComplete(20)
	load.Stop()
	load.RequireCorrect()
}

// An operator publishes an invalid text. The previous revision must stay in force
// on every node until the corrected one is published.
func TestInvalidRevisionIsRefused(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
	text := harness.ConfigText(upstreams.Addresses)
	fleet.Publish(strings.Replace(text, "slots: 2", "slots: 0", 1))
	for _, n := range fleet.Nodes() {
		var refused struct{}
		n.AwaitEvent("config_refused", &refused)
	}
	requireRevision(t, fleet, 1)
	fleet.AwaitReady(fleet.Publish(text))
}

// A VM is replaced while the configuration service answers from an old backup.
// The new node must not serve with the old text: it gets the revision in force
// from the other nodes.
func TestNewNodeNeverServesAnOlderRevision(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
	text := harness.ConfigText(upstreams.Addresses)
	latest := fleet.Publish(text)
	fleet.AwaitReady(latest)
	fleet.Platform.Publish(latest-1, text)
	newNode := fleet.Add(harness.NodeOptions{})
	fleet.PublishVMList()
	fleet.AwaitReady(latest)
	require.NotContains(t, newNode.Output(), fmt.Sprintf(`"revision":%d`, latest-1), "the older revision was never in force")
}
