package e2e

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// The index is rebuilt while callers ask: the replicas take the new version and
// drop the oldest one after the other, so that at times no version is on all of
// them. No answer mixes versions, and in the end all are of the new one.
func TestIndexChangesUnderLoad(t *testing.T) {
	fleet, upstreams := start(t, harness.NodeOptions{})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(20)
	for version := 43; version <= 45; version++ {
		versions := "{versions: [" + strconv.Itoa(version-1) + ", " + strconv.Itoa(version) + "]}"
		for replica := range replicas {
			upstreams.PatchBehaviour(replica, versions)
		}
		load.AwaitComplete(20)
	}
	harness.Await(t, "answers of version 45", func() bool { return load.Tally().Versions[core.Version(45)] >= 20 })
	load.Stop()
	load.RequireCorrect()
}

// drainLimit is the few seconds after which a draining upstream gets no new work.
const drainLimit = 3 * time.Second

func arrived(upstreams *harness.StandIn, replica int) int {
	return upstreams.Counts()[replica].Arrived
}

// A replica begins to drain and says so only in its replies. After a few seconds
// nothing new reaches it, from any node, and answers stay whole by its twin.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	fleet, upstreams := start(t, harness.NodeOptions{})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(50)
	require.Positive(t, arrived(upstreams, 0))
	upstreams.PatchBehaviour(0, "{draining: true}")
	drained := time.Now()
	harness.Await(t, "the few seconds are over", func() bool { return time.Since(drained) > drainLimit })
	settled := arrived(upstreams, 0)
	load.AwaitComplete(500)
	require.Equal(t, settled, arrived(upstreams, 0))
	load.Stop()
	load.RequireCorrect()
}

// An operator marks a replica as draining in the text. Once the revision is in
// force everywhere nothing new reaches it.
func TestReplicaDrainedByTheText(t *testing.T) {
	fleet, upstreams := start(t, harness.NodeOptions{})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(50)
	fleet.AwaitReady(fleet.Publish(harness.ConfigText(upstreams.Addresses, upstreams.Addresses[0])))
	harness.Await(t, "many answers without a request to the draining replica", func() bool {
		before := arrived(upstreams, 0)
		load.AwaitComplete(50)
		return arrived(upstreams, 0) == before
	})
	settled := arrived(upstreams, 0)
	load.AwaitComplete(200)
	require.Equal(t, settled, arrived(upstreams, 0))
	require.Zero(t, load.Stop().Partial)
	load.RequireCorrect()
}

// The VM of one replica is suspended: its connections stay open and answer
// nothing. Answers meanwhile may be thin and then name that shard alone; when it
// wakes up, they are whole again.
func TestPausedUpstream(t *testing.T) {
	paused := harness.StartUpstreams(t, binary, 1, upstreamBehaviour)
	others := harness.StartUpstreams(t, binary, replicas-1, upstreamBehaviour)
	text := harness.ConfigText(append(append([]string(nil), paused.Addresses...), others.Addresses...))
	fleet := harness.StartFleet(t, binary, 3, text, harness.NodeOptions{})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(20)
	paused.Pause()
	load.AwaitEachCaller(3)
	paused.Resume()
	load.AwaitComplete(50)
	load.Stop()
	load.RequireCorrect()
}

// Something between the nodes and both replicas of one shard has lost track of
// the open connections: they take bytes and give none back, for good, while new
// ones work. Answers are whole again once the silent connections are given up.
func TestSilentConnectionsToUpstreams(t *testing.T) {
	upstreams := harness.StartUpstreams(t, binary, replicas, upstreamBehaviour)
	addresses := append([]string(nil), upstreams.Addresses...)
	var proxies []*faultproxy.TCP
	for i := range harness.Replicas {
		proxy, err := faultproxy.StartTCP(addresses[i], uint64(i))
		require.NoError(t, err)
		t.Cleanup(func() { _ = proxy.Close() })
		addresses[i] = proxy.Address()
		proxies = append(proxies, proxy)
	}
	fleet := harness.StartFleet(t, binary, 3, harness.ConfigText(addresses), harness.NodeOptions{})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(50)
	for _, proxy := range proxies {
		require.Positive(t, proxy.Flows())
		proxy.Silence()
	}
	load.AwaitComplete(100)
	load.Stop()
	load.RequireCorrect()
	for _, proxy := range proxies {
		require.Positive(t, proxy.Dropped(), "a request went into the silence")
	}
}

// Replicas answer in every wrong way: other requests' replies, replies cut short
// and errors. No answer takes up such a part, and none hides that it is thin.
func TestWrongRepliesNeverReachCallers(t *testing.T) {
	fleet, upstreams := start(t, harness.NodeOptions{})
	upstreams.PatchBehaviour(harness.AllReplicas, "{crossed_share: 0.02, cut_share: 0.02, fail_share: 0.02, shed_share: 0.05}")
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	harness.Await(t, "many answers", func() bool { return load.Tally().Complete+load.Tally().Partial >= 100 })
	upstreams.PatchBehaviour(harness.AllReplicas, "{crossed_share: 0, cut_share: 0, fail_share: 0, shed_share: 0}")
	load.AwaitComplete(20)
	load.Stop()
	load.RequireCorrect()
}

// One of two replicas is suspended and its connections answer nothing. The other
// one answers for it, and no list is thin on its account.
func TestPausedUpstreamIsPassedOver(t *testing.T) {
	paused := harness.StartUpstreams(t, binary, 1, upstreamBehaviour)
	others := harness.StartUpstreams(t, binary, replicas-1, upstreamBehaviour)
	text := harness.ConfigText(append(append([]string(nil), paused.Addresses...), others.Addresses...))
	fleet := harness.StartFleet(t, binary, 3, text, harness.NodeOptions{})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(100)
	paused.Pause()
	load.AwaitEachCaller(5)
	load.AwaitEachCaller(5)
	paused.Resume()
	load.AwaitComplete(20)
	tally := load.Stop()
	load.RequireCorrect()
	require.Zero(t, tally.Partial, tally.MissingReasons)
}
