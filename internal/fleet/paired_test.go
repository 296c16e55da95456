package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/app"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// ledgerText writes the service invoices, which must not be repeated, with one
// shard for each upstream. Their data centre makes the third node the owner.
func ledgerText(upstreams []*standin.Upstream) string {
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [ledger]\nservices:\n  - name: invoices\n    index: ledger\n    idempotent: false\n")
	b.WriteString("    slots: 32\n    connections: 200\n    timeout: 5s\n    shards:\n")
	for _, u := range upstreams {
		fmt.Fprintf(&b, "      - replicas:\n          - {address: %q, data_centre: dc3}\n", u.Address())
	}
	return b.String()
}

// heldSubmits are invoices whose home is the first node, sent through the second.
// Each shard of the former layout runs one, the others wait at the third.
type heldSubmits struct {
	upstreams []*standin.Upstream
	fleet     *Fleet
	caller    *client.Client
	keys      []string
	outcomes  []string
	release   chan struct{}
	ended     sync.WaitGroup
}

const (
	formerShards = 2
	newShards    = 3
	heldCount    = 12
)

func startHeldSubmits(t *testing.T) *heldSubmits {
	h := &heldSubmits{
		upstreams: startUpstreams(t, formerShards+newShards),
		caller:    client.New(),
		keys:      make([]string, heldCount),
		outcomes:  make([]string, heldCount),
		release:   make(chan struct{}),
	}
	t.Cleanup(h.caller.Close)
	for _, u := range h.upstreams {
		u.Change(func(b *standin.Behaviour) { b.Slots, b.Hold = 0, h.release })
	}
	h.fleet = startFleet(t, 3, ledgerText(h.upstreams[:formerShards]))
	for i := range h.keys {
		h.keys[i] = freshKey(t, h.caller, h.fleet.Members()[0].Addresses.Caller)
		h.ended.Go(func() {
			reply, refusal := h.caller.Submit(context.Background(), h.fleet.Members()[1].Addresses.Caller, "invoices", invoice(h.keys[i]))
			h.outcomes[i] = reply.Outcome + refusal.Outcome
		})
	}
	shards := map[uint64]bool{}
	for _, key := range h.keys {
		shards[xxhash.Sum64String(key)%formerShards] = true
	}
	require.Eventually(t, func() bool {
		return len(ran(h.upstreams)) == len(shards) && ownerWaits(t, h.fleet) == heldCount
	}, awaitLimit, pollPause)
	return h
}

// ownerWaits counts the requests that the third node, the owner, holds.
func ownerWaits(t *testing.T, f *Fleet) int {
	held := 0
	for _, shard := range get[app.Dump](t, f.Members()[2].Addresses.Operator, "/v1/dump").OwnerShards {
		held += shard.Waiting
		for _, replica := range shard.Replicas {
			held += replica.InFlight
		}
	}
	return held
}

// requireRightShard checks that each key ran at most once, where its hash says by
// the layout that it ran in.
func (h *heldSubmits) requireRightShard(t *testing.T) {
	for i, u := range h.upstreams {
		for key := range u.Submits() {
			hash := xxhash.Sum64String(key)
			if i < formerShards {
				require.EqualValues(t, i, hash%formerShards, "%s ran at another shard's replica", key)
			} else {
				require.EqualValues(t, i-formerShards, hash%newShards, "%s ran at another shard's replica", key)
			}
		}
	}
	for key, runs := range ran(h.upstreams) {
		require.Equal(t, 1, runs, key)
	}
}

// Invoices are at their upstreams, and others wait at the owner, when their home
// dies and the operators split the service. A key's hash names another shard now.
// What waits must not be recorded at the replica that took over its shard's
// number, nor a retry through another entry at the new shard: nobody is left who
// knows what ran, so callers are told that it is not known.
func TestALostHomeDuringARepartitionRunsNothingTwice(t *testing.T) {
	h := startHeldSubmits(t)
	home, other, owner := h.fleet.Members()[0], h.fleet.Members()[1], h.fleet.Members()[2]
	home.Node.Kill()
	revision := h.fleet.Platform.Publish(ledgerText(h.upstreams[formerShards:]))
	require.Eventually(t, func() bool {
		return other.Node.Status().ConfigRevision == revision && owner.Node.Status().ConfigRevision == revision
	}, awaitLimit, pollPause)
	close(h.release)
	h.ended.Wait()
	for i, key := range h.keys {
		require.Equal(t, core.Unknown.String(), h.outcomes[i])
		for _, entry := range []*Member{other, owner} {
			reply, refusal := h.caller.Submit(context.Background(), entry.Addresses.Caller, "invoices", invoice(key))
			require.Empty(t, reply.Outcome)
			require.Equal(t, core.Unknown.String(), refusal.Outcome)
			require.Equal(t, fault.CodeHomeGone, refusal.Code)
		}
	}
	h.requireRightShard(t)
	require.Empty(t, ran(h.upstreams[formerShards:]), "without its home a request is not routed anew")
}

// The home lives while the service is split: it routes anew what waited, and
// retries through another entry get the first outcome, not a second run.
func TestARepartitionRecordsWaitingSubmitsAtTheRightShard(t *testing.T) {
	h := startHeldSubmits(t)
	revision := h.fleet.Platform.Publish(ledgerText(h.upstreams[formerShards:]))
	require.Eventually(t, func() bool { return h.fleet.ready(revision) }, awaitLimit, pollPause)
	close(h.release)
	h.ended.Wait()
	runs := ran(h.upstreams)
	t.Logf("%d of %d invoices ran; outcomes: %v", len(runs), heldCount, h.outcomes)
	for i, key := range h.keys {
		requireTrue(t, key, h.outcomes[i:i+1], runs[key])
		require.NotEqual(t, core.Unknown.String(), h.outcomes[i], "nothing was lost")
		reply, refusal := h.caller.Submit(context.Background(), h.fleet.Members()[2].Addresses.Caller, "invoices", invoice(key))
		require.Equal(t, h.outcomes[i], reply.Outcome+refusal.Outcome)
	}
	h.requireRightShard(t)
	require.Equal(t, runs, ran(h.upstreams), "a retry ran")
}

// An upstream drains and tells only the owner of its shard, which is stopped as
// planned right then. The drain must outlive that node: no chef's question is cut
// off or thin, and nodes that own the shard later give the upstream no work.
func TestAPlannedStopOfTheOnlyWitnessOfADrain(t *testing.T) {
	const callers = 4
	upstreams := startUpstreams(t, 2)
	for _, u := range upstreams {
		u.Change(func(b *standin.Behaviour) { b.Slots, b.Service = 16, 5*time.Millisecond })
	}
	text := strings.ReplaceAll(testText(upstreams), "timeout: 5s", "timeout: 5s\n    slots: 16\n    connections: 100")
	f := startFleet(t, 4, strings.ReplaceAll(text, "dc1", "dc3"))
	stays, owner := f.Members()[0], f.Members()[2]
	book := &addressBook{caller: client.New()}
	defer book.caller.Close()
	ask := func(address string) {
		reply, err := book.caller.Query(context.Background(), address, "top", api.QueryRequest{Customer: "chef", Question: json.RawMessage(`"pork"`)})
		if assert.NoError(t, err) {
			assert.False(t, reply.Coverage.Thin, "missing: %v", reply.Coverage.Missing)
		}
	}
	ask(stays.Addresses.Caller)
	var over atomic.Bool
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for !over.Load() {
				ask(stays.Addresses.Caller)
			}
		})
	}
	upstreams[0].Change(func(b *standin.Behaviour) { b.Draining = true })
	require.Eventually(t, func() bool { return owner.Node.Status().DrainedUpstreams == 1 }, awaitLimit, pollPause)
	require.NoError(t, f.Stop(owner))
	f.RemoveFromVMList(owner)
	require.Eventually(t, func() bool {
		for _, member := range f.Members() {
			if member.Node.Status().DrainedUpstreams != 1 {
				return false
			}
		}
		return true
	}, awaitLimit, pollPause)
	over.Store(true)
	running.Wait()
	// A node that never spoke to the upstream takes its shard over.
	var fresh *Member
	for range dataCentres {
		var err error
		fresh, err = f.Add()
		require.NoError(t, err)
		if fresh.vm.DataCentre == "dc3" {
			break
		}
	}
	require.Eventually(t, func() bool { return seenByAll(f, fresh) }, awaitLimit, pollPause)
	require.Eventually(t, func() bool { return fresh.Node.Status().DrainedUpstreams == 1 }, awaitLimit, pollPause, "a node that joins is told of drains")
	before, answered := upstreams[0].Received(), upstreams[1].Received()
	for range 50 {
		ask(stays.Addresses.Caller)
	}
	require.Equal(t, before, upstreams[0].Received(), "new work for the drained upstream")
	require.Equal(t, answered+50, upstreams[1].Received())
}

// A data centre is lost, its node and a replica of every shard, while the large
// customer sends ten times what it may have in work. What is over its limit is
// refused at once, with the time to come back, and not held; chefs who ask while
// its questions fill all slots that are left get whole answers.
func TestALostDataCentreUnderASurgeStaysWhole(t *testing.T) {
	const allowed, surge, chefs = 4, 40, 12
	upstreams := startUpstreams(t, 6)
	text := fmt.Sprintf("customers: [{name: large, in_flight: %d}, {name: chef, in_flight: %d}]\n", allowed, chefs) + testText(upstreams)
	f := startFleet(t, 3, text)
	entry := f.Members()[0]
	f.Members()[1].Node.Kill()
	release := make(chan struct{})
	for i, u := range upstreams {
		if i%2 == 1 {
			require.NoError(t, u.Close())
		}
		u.Change(func(b *standin.Behaviour) { b.Hold = release })
	}
	require.Eventually(t, func() bool { return entry.Node.Status().Nodes == 2 }, awaitLimit, pollPause)
	caller := client.New()
	defer caller.Close()
	minute := time.Minute.Milliseconds()
	ask := func(customer core.Customer) (api.QueryReply, error) {
		return caller.Query(context.Background(), entry.Addresses.Caller, "top", api.QueryRequest{Customer: customer, TimeoutMs: &minute})
	}
	var refused, whole atomic.Int64
	var asking sync.WaitGroup
	for range surge {
		asking.Go(func() {
			reply, err := ask("large")
			if err == nil {
				assert.False(t, reply.Coverage.Thin, "missing: %v", reply.Coverage.Missing)
				return
			}
			typed := fault.As(err)
			assert.Equal(t, core.NotRun, typed.Outcome)
			assert.Positive(t, typed.RetryAfter, "%v", err)
			refused.Add(1)
		})
	}
	require.Eventually(t, func() bool { return refused.Load() == surge-allowed }, awaitLimit, pollPause)
	for range chefs {
		asking.Go(func() {
			reply, err := ask("chef")
			if assert.NoError(t, err) && assert.False(t, reply.Coverage.Thin, "missing: %v", reply.Coverage.Missing) {
				whole.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return entry.Node.Status().InFlight == allowed+chefs }, awaitLimit, pollPause)
	close(release)
	asking.Wait()
	require.EqualValues(t, surge-allowed, refused.Load())
	require.EqualValues(t, chefs, whole.Load())
	received, services := 0, len(upstreams)/2
	for _, u := range upstreams {
		received += u.Received()
	}
	first := services * (allowed + chefs)
	t.Logf("%d requests reached upstreams for %d first tries", received, first)
	require.LessOrEqual(t, received, first+first/10+budget.DefaultFloor)
}
