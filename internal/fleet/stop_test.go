package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// entryCache is a caller that caches the entries' addresses for their time to
// live, as real callers do, and then requests them again.
type entryCache struct {
	caller    *client.Client
	entries   []api.EntryAddress
	expiresAt time.Time
	next      int
}

func (b *entryCache) address(t *testing.T, known []string) string {
	if time.Now().After(b.expiresAt) {
		b.refresh(t, known)
	}
	b.next++
	return b.entries[b.next%len(b.entries)].Address
}

// refresh requests the addresses from a cached entry or, failing that, from a known one.
func (b *entryCache) refresh(t *testing.T, known []string) {
	for _, entry := range b.entries {
		known = append(known, entry.Address)
	}
	for i := range known {
		requestedAt := time.Now()
		entries, err := b.caller.Entries(context.Background(), known[len(known)-1-i])
		if err == nil && len(entries.Entries) > 0 {
			b.entries = entries.Entries
			b.expiresAt = requestedAt.Add(time.Duration(entries.TTLMs) * time.Millisecond)
			return
		}
	}
	assert.Fail(t, "no entry returned addresses")
}

// Guards against failed or incomplete queries while every VM is replaced in turn,
// as when a planned stop interrupts a request or its owner. Callers cache the
// entries' addresses for their full time to live.
func TestRollingReplacementCutsNothingOff(t *testing.T) {
	const nodes, callers = 4, 6
	upstreams := startUpstreams(t, 8)
	for _, u := range upstreams {
		u.Change(func(b *standin.Behaviour) { b.Service = 10 * time.Millisecond })
	}
	f := startFleet(t, nodes, testConfig(upstreams))
	first := f.Members()[0].Addresses.Caller
	var queryCount, incomplete atomic.Int64
	var failures sync.Map
	done := make(chan struct{})
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			cache := &entryCache{caller: client.New()}
			defer cache.caller.Close()
			for {
				select {
				case <-done:
					return
				default:
				}
				address := cache.address(t, []string{first})
				reply, err := cache.caller.Query(context.Background(), address, "top", api.QueryRequest{Customer: "chef", Question: json.RawMessage(`"pork"`)})
				queryCount.Add(1)
				if err != nil {
					failures.Store(err.Error(), errors.Unwrap(err))
				} else if reply.Coverage.Thin {
					incomplete.Add(1)
					failures.Store("thin", reply.Coverage.Missing)
				}
			}
		})
	}
	for range nodes {
		replaceOldest(t, f)
	}
	close(done)
	running.Wait()
	failures.Range(func(failure, cause any) bool {
		assert.Fail(t, "a request failed or was answered incompletely", "%v: %v", failure, cause)
		return true
	})
	require.Zero(t, incomplete.Load())
	require.Greater(t, queryCount.Load(), int64(nodes*callers))
	t.Logf("%d queries while %d nodes were replaced", queryCount.Load(), nodes)
}

// replaceOldest starts a node, stops the oldest and removes it from the VM list
// only after it has stopped, because a real VM list lags.
func replaceOldest(t *testing.T, f *Fleet) {
	oldest := f.Members()[0]
	_, err := f.Add()
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.isReady(1) }, awaitTimeout, pollInterval)
	require.NoError(t, f.Stop(oldest))
	f.RemoveFromVMList(oldest)
}

// Guards against new requests to a draining upstream from nodes other than the
// owner that observed the drain: every node must learn of it within seconds.
func TestADrainSeenByOneOwnerIsKnownToAll(t *testing.T) {
	upstreams := startUpstreams(t, 2)
	f := startFleet(t, 3, testConfig(upstreams))
	upstreams[0].Change(func(b *standin.Behaviour) { b.Draining = true })
	caller := client.New()
	defer caller.Close()
	knownToAll := func() bool {
		_, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
		require.NoError(t, err)
		for _, member := range f.Members() {
			if member.Node.Status().DrainedUpstreams != 1 {
				return false
			}
		}
		return true
	}
	require.Eventually(t, knownToAll, awaitTimeout, pollInterval)
	before := upstreams[0].Queries()
	for range 20 {
		_, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
		require.NoError(t, err)
	}
	require.Equal(t, before, upstreams[0].Queries())
}

// Guards against sending requests to a replica on a leaving VM when the nodes read
// the VM list before the first configuration that names the replica, and the list
// does not change afterwards.
func TestALeavingVMInTheListBeforeTheTextIsDrained(t *testing.T) {
	const leavingVM = "127.0.0.2"
	upstreams := startUpstreams(t, 1)
	leaving, err := standin.StartUpstream(leavingVM+":0", standin.Behaviour{Slots: 2, Versions: []uint64{7}})
	require.NoError(t, err)
	t.Cleanup(func() { _ = leaving.Close() })
	f, err := Start(Options{Nodes: 2, LogOutput: io.Discard, UpstreamVMs: []confservice.VM{
		{ID: "upstream-1", State: confservice.VMLeaving, CallerAddress: leavingVM + ":1"},
	}})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	vmListRead := func() bool { return f.Members()[0].Node.Status().Nodes == 2 && f.Members()[1].Node.Status().Nodes == 2 }
	require.Eventually(t, vmListRead, awaitTimeout, pollInterval)
	f.Platform.Publish(testConfig(append(upstreams, leaving)))
	drained := func() bool {
		return f.Members()[0].Node.Status().DrainedUpstreams == 1 && f.Members()[1].Node.Status().DrainedUpstreams == 1
	}
	require.Eventually(t, drained, awaitTimeout, pollInterval)
}

// Guards against incomplete answers after a node crashes while its VM stays in the
// VM list: other nodes must take over its bundles, and operators must see it as lost.
func TestADeadOwnerIsReplacedThoughItIsListed(t *testing.T) {
	upstreams := startUpstreams(t, 8)
	f := startFleet(t, 4, testConfig(upstreams))
	lost := f.Members()[3]
	lost.Node.Kill()
	caller := client.New()
	defer caller.Close()
	require.Eventually(t, func() bool { return f.Members()[0].Node.Status().Nodes == 3 }, awaitTimeout, pollInterval)
	reply, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
	require.NoError(t, err)
	require.False(t, reply.Coverage.Thin, "missing: %v", reply.Coverage.Missing)
	require.Eventually(t, func() bool {
		report := getJSON[api.ProblemsReport](t, f.Members()[0].Addresses.Operator, "/v1/problems")
		return countByKind(report)[observe.KindPeerUnreachable] == 1
	}, awaitTimeout, pollInterval, "operators see the lost node")
}
