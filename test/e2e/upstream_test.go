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

// The index is rebuilt under load: one replica after the other loads the new
// version and drops the oldest, so that at times no version is on all of them. No
// answer may mix versions, and in the end all must be of the new one.
func TestIndexChangesUnderLoad(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
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

// drainDeadline is the time within which a draining replica must stop getting new
// requests.
const drainDeadline = 3 * time.Second

func arrivals(upstreams *harness.StandIn, replica int) int {
	return upstreams.Counts()[replica].Arrived
}

// A replica begins to drain and announces it only in its replies. After the
// deadline no node may send it a new request, and answers must stay complete
// through the shard's other replica.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(50)
	require.Positive(t, arrivals(upstreams, 0))
	upstreams.PatchBehaviour(0, "{draining: true}")
	drained := time.Now()
	harness.Await(t, "the drain deadline has passed", func() bool { return time.Since(drained) > drainDeadline })
	arrivalsBefore := arrivals(upstreams, 0)
	load.AwaitComplete(500)
	require.Equal(t, arrivalsBefore, arrivals(upstreams, 0))
	load.Stop()
	load.RequireCorrect()
}

// An operator marks a replica as draining in the configuration text. Once the
// revision is in force on all nodes, no new request may reach the replica.
func TestReplicaDrainedByTheText(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	load.AwaitComplete(50)
	fleet.AwaitReady(fleet.Publish(harness.ConfigText(upstreams.Addresses, upstreams.Addresses[0])))
	harness.Await(t, "many answers without a request to the draining replica", func() bool {
		before := arrivals(upstreams, 0)
		load.AwaitComplete(50)
		return arrivals(upstreams, 0) == before
	})
	arrivalsBefore := arrivals(upstreams, 0)
	load.AwaitComplete(200)
	require.Equal(t, arrivalsBefore, arrivals(upstreams, 0))
	require.Zero(t, load.Stop().Partial)
	load.RequireCorrect()
}

// The VM of one replica is suspended: its connections stay open without replies.
// Meanwhile answers may be partial and must then name the missing shard; once the
// VM resumes, they must be complete again.
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

// A middlebox between the nodes and both replicas of one shard loses the state of
// the open connections: they accept bytes and never return any, while new
// connections work. Answers must be complete again once the nodes have closed the
// silent connections.
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
		require.Positive(t, proxy.Dropped(), "no request was sent on a silent connection")
	}
}

// Replicas return replies to other requests, truncated replies and errors. No
// answer may contain such a part, and every partial answer must be marked so.
func TestWrongRepliesNeverReachCallers(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
	upstreams.PatchBehaviour(harness.AllReplicas, "{crossed_share: 0.02, cut_share: 0.02, fail_share: 0.02, shed_share: 0.05}")
	load := harness.StartLoad(t, callers, fleet.CallerAddresses()...)
	harness.Await(t, "many answers", func() bool { return load.Tally().Complete+load.Tally().Partial >= 100 })
	upstreams.PatchBehaviour(harness.AllReplicas, "{crossed_share: 0, cut_share: 0, fail_share: 0, shed_share: 0}")
	load.AwaitComplete(20)
	load.Stop()
	load.RequireCorrect()
}

// One of a shard's two replicas is suspended and its connections give no replies.
// The other replica must answer instead, and no answer may be partial.
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
