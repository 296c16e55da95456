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

// addressBook is a caller that keeps the address answer for its time to live, as
// real callers do, and then asks again.
type addressBook struct {
	caller  *client.Client
	entries []api.EntryAddress
	until   time.Time
	next    int
}

func (b *addressBook) address(t *testing.T, known []string) string {
	if time.Now().After(b.until) {
		b.refresh(t, known)
	}
	b.next++
	return b.entries[b.next%len(b.entries)].Address
}

// refresh asks an entry of the old answer, or of the first one.
func (b *addressBook) refresh(t *testing.T, known []string) {
	for _, one := range b.entries {
		known = append(known, one.Address)
	}
	for i := range known {
		asked := time.Now()
		entries, err := b.caller.Entries(context.Background(), known[len(known)-1-i])
		if err == nil && len(entries.Entries) > 0 {
			b.entries = entries.Entries
			b.until = asked.Add(time.Duration(entries.TTLMs) * time.Millisecond)
			return
		}
	}
	assert.Fail(t, "no entry tells addresses")
}

// Operators replace every VM in turn while chefs ask. A stop that cut off a
// request, or an owner that vanished under one, would show as a failed request
// or as a thin answer. Callers keep their addresses as long as they were told.
func TestRollingReplacementCutsNothingOff(t *testing.T) {
	const nodes, callers = 4, 6
	upstreams := startUpstreams(t, 8)
	for _, u := range upstreams {
		u.Change(func(b *standin.Behaviour) { b.Service = 10 * time.Millisecond })
	}
	f := startFleet(t, nodes, testText(upstreams))
	first := f.Members()[0].Addresses.Caller
	var asked, thin atomic.Int64
	var failures sync.Map
	done := make(chan struct{})
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			book := &addressBook{caller: client.New()}
			defer book.caller.Close()
			for {
				select {
				case <-done:
					return
				default:
				}
				address := book.address(t, []string{first})
				reply, err := book.caller.Query(context.Background(), address, "top", api.QueryRequest{Customer: "chef", Question: json.RawMessage(`"pork"`)})
				asked.Add(1)
				if err != nil {
					failures.Store(err.Error(), errors.Unwrap(err))
				} else if reply.Coverage.Thin {
					thin.Add(1)
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
	failures.Range(func(what, why any) bool {
		assert.Fail(t, "a request was cut off", "%v: %v", what, why)
		return true
	})
	require.Zero(t, thin.Load())
	require.Greater(t, asked.Load(), int64(nodes*callers))
	t.Logf("%d questions while %d nodes were replaced", asked.Load(), nodes)
}

// replaceOldest starts a node, stops the oldest and takes it off the list only
// after it has gone: the list lags.
func replaceOldest(t *testing.T, f *Fleet) {
	oldest := f.Members()[0]
	fresh, err := f.Add()
	require.NoError(t, err)
	require.Eventually(t, func() bool { return seenByAll(f, fresh) }, awaitLimit, pollPause)
	require.NoError(t, f.Stop(oldest))
	f.RemoveFromVMList(oldest)
}

func seenByAll(f *Fleet, member *Member) bool {
	for _, one := range f.Members() {
		status := one.Node.Status()
		if status.ConfigRevision == 0 || status.Nodes != len(f.Members()) {
			return false
		}
	}
	return true
}

// An upstream tells one owner that it drains. Every node must know within
// seconds, so that no owner gives it new work.
func TestADrainSeenByOneOwnerIsKnownToAll(t *testing.T) {
	upstreams := startUpstreams(t, 2)
	f := startFleet(t, 3, testText(upstreams))
	upstreams[0].Change(func(b *standin.Behaviour) { b.Draining = true })
	caller := client.New()
	defer caller.Close()
	known := func() bool {
		_, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
		require.NoError(t, err)
		for _, member := range f.Members() {
			if member.Node.Status().DrainedUpstreams != 1 {
				return false
			}
		}
		return true
	}
	require.Eventually(t, known, awaitLimit, pollPause)
	before := upstreams[0].Queries()
	for range 20 {
		_, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
		require.NoError(t, err)
	}
	require.Equal(t, before, upstreams[0].Queries())
}

// Nodes start and read the VM list, which shows an upstream's VM leaving, before
// they read the first text. The text then names a replica on that VM: it must get
// no work, although the list does not change any more.
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
	listRead := func() bool { return f.Members()[0].Node.Status().Nodes == 2 && f.Members()[1].Node.Status().Nodes == 2 }
	require.Eventually(t, listRead, awaitLimit, pollPause)
	f.Platform.Publish(testText(append(upstreams, leaving)))
	drained := func() bool {
		return f.Members()[0].Node.Status().DrainedUpstreams == 1 && f.Members()[1].Node.Status().DrainedUpstreams == 1
	}
	require.Eventually(t, drained, awaitLimit, pollPause)
}

// A node dies without a planned stop and its VM stays in the list. Questions must soon
// be whole again, with its bundles at other owners.
func TestADeadOwnerIsReplacedThoughItIsListed(t *testing.T) {
	upstreams := startUpstreams(t, 8)
	f := startFleet(t, 4, testText(upstreams))
	lost := f.Members()[3]
	lost.Node.Kill()
	caller := client.New()
	defer caller.Close()
	require.Eventually(t, func() bool { return f.Members()[0].Node.Status().Nodes == 3 }, awaitLimit, pollPause)
	reply, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
	require.NoError(t, err)
	require.False(t, reply.Coverage.Thin, "missing: %v", reply.Coverage.Missing)
	require.Eventually(t, func() bool {
		report := get[api.ProblemsReport](t, f.Members()[0].Addresses.Operator, "/v1/problems")
		return kinds(report)[observe.KindPeerUnreachable] == 1
	}, awaitLimit, pollPause, "operators see that it is lost")
}
