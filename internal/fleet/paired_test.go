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

// ledgerConfig describes the non-idempotent service invoices with one shard for
// each upstream. The replicas' data centre makes the third node their owner.
func ledgerConfig(upstreams []*standin.Upstream) string {
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [ledger]\nservices:\n  - name: invoices\n    index: ledger\n    idempotent: false\n")
	b.WriteString("    slots: 32\n    connections: 200\n    timeout: 5s\n    shards:\n")
	for _, u := range upstreams {
		fmt.Fprintf(&b, "      - replicas:\n          - {address: %q, data_centre: dc3}\n", u.Address())
	}
	return b.String()
}

// blockedSubmits are invoices whose home is the first node and that are sent
// through the second. Each shard of the former layout runs one until release is
// closed; the others wait at the third node, the owner.
type blockedSubmits struct {
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
	blockedCount = 12
)

func startBlockedSubmits(t *testing.T) *blockedSubmits {
	h := &blockedSubmits{
		upstreams: startUpstreams(t, formerShards+newShards),
		caller:    client.New(),
		keys:      make([]string, blockedCount),
		outcomes:  make([]string, blockedCount),
		release:   make(chan struct{}),
	}
	t.Cleanup(h.caller.Close)
	for _, u := range h.upstreams {
		u.Change(func(b *standin.Behaviour) { b.Slots, b.Hold = 0, h.release })
	}
	h.fleet = startFleet(t, 3, ledgerConfig(h.upstreams[:formerShards]))
	for i := range h.keys {
		h.keys[i] = newKey(t, h.caller, h.fleet.Members()[0].Addresses.Caller)
		h.ended.Go(func() {
			reply, refusal := h.caller.Submit(context.Background(), h.fleet.Members()[1].Addresses.Caller, "invoices", invoiceRequest(h.keys[i]))
			h.outcomes[i] = reply.Outcome + refusal.Outcome
		})
	}
	shards := map[uint64]bool{}
	for _, key := range h.keys {
		shards[xxhash.Sum64String(key)%formerShards] = true
	}
	require.Eventually(t, func() bool {
		return len(runsByKey(h.upstreams)) == len(shards) && countOwnerRequests(t, h.fleet) == blockedCount
	}, awaitTimeout, pollInterval)
	return h
}

// countOwnerRequests counts the requests that are waiting or in flight at the third node, the owner.
func countOwnerRequests(t *testing.T, f *Fleet) int {
	held := 0
	for _, shard := range getJSON[app.Dump](t, f.Members()[2].Addresses.Operator, "/v1/dump").OwnerShards {
		held += shard.Waiting
		for _, replica := range shard.Replicas {
			held += replica.InFlight
		}
	}
	return held
}

// requireCorrectShards checks that each key ran at most once, at the shard that its
// hash selects in the layout in which it ran.
func (h *blockedSubmits) requireCorrectShards(t *testing.T) {
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
	for key, runs := range runsByKey(h.upstreams) {
		require.Equal(t, 1, runs, key)
	}
}

// Guards against recording an invoice twice when its home crashes and a new layout
// maps its key to another shard. Invoices in flight or waiting at the owner must
// not run at the replica that now has their shard's number, nor may a retry through
// another entry run at the new shard: no node knows any more which ran, so callers
// receive the outcome unknown.
func TestALostHomeDuringARepartitionRunsNothingTwice(t *testing.T) {
	h := startBlockedSubmits(t)
	home, other, owner := h.fleet.Members()[0], h.fleet.Members()[1], h.fleet.Members()[2]
	home.Node.Kill()
	revision := h.fleet.Platform.Publish(ledgerConfig(h.upstreams[formerShards:]))
	require.Eventually(t, func() bool {
		return other.Node.Status().ConfigRevision == revision && owner.Node.Status().ConfigRevision == revision
	}, awaitTimeout, pollInterval)
	close(h.release)
	h.ended.Wait()
	for i, key := range h.keys {
		require.Equal(t, core.Unknown.String(), h.outcomes[i])
		for _, entry := range []*Member{other, owner} {
			reply, refusal := h.caller.Submit(context.Background(), entry.Addresses.Caller, "invoices", invoiceRequest(key))
			require.Empty(t, reply.Outcome)
			require.Equal(t, core.Unknown.String(), refusal.Outcome)
			require.Equal(t, fault.CodeHomeGone, refusal.Code)
		}
	}
	h.requireCorrectShards(t)
	require.Empty(t, runsByKey(h.upstreams[formerShards:]), "a request without its home is not rerouted")
}

// Guards against lost or repeated submits when a service is split while their home
// is alive: the home reroutes the waiting submits, and retries through another
// entry return the first outcome without a second run.
func TestARepartitionRecordsWaitingSubmitsAtTheRightShard(t *testing.T) {
	h := startBlockedSubmits(t)
	revision := h.fleet.Platform.Publish(ledgerConfig(h.upstreams[formerShards:]))
	require.Eventually(t, func() bool { return h.fleet.isReady(revision) }, awaitTimeout, pollInterval)
	close(h.release)
	h.ended.Wait()
	runs := runsByKey(h.upstreams)
	t.Logf("%d of %d invoices ran; outcomes: %v", len(runs), blockedCount, h.outcomes)
	for i, key := range h.keys {
		requireOutcomesMatchRuns(t, key, h.outcomes[i:i+1], runs[key])
		require.NotEqual(t, core.Unknown.String(), h.outcomes[i], "nothing was lost")
		reply, refusal := h.caller.Submit(context.Background(), h.fleet.Members()[2].Addresses.Caller, "invoices", invoiceRequest(key))
		require.Equal(t, h.outcomes[i], reply.Outcome+refusal.Outcome)
	}
	h.requireCorrectShards(t)
	require.Equal(t, runs, runsByKey(h.upstreams), "a retry ran")
}

// Guards against losing a drain that only the owner of the shard has observed when
// that owner is stopped as planned: no query may fail or be incomplete, and later
// owners of the shard must send the draining upstream no requests.
func TestAPlannedStopOfTheOnlyWitnessOfADrain(t *testing.T) {
	const callers = 4
	upstreams := startUpstreams(t, 2)
	for _, u := range upstreams {
		u.Change(func(b *standin.Behaviour) { b.Slots, b.Service = 16, 5*time.Millisecond })
	}
	text := strings.ReplaceAll(testConfig(upstreams), "timeout: 5s", "timeout: 5s\n    slots: 16\n    connections: 100")
	f := startFleet(t, 4, strings.ReplaceAll(text, "dc1", "dc3"))
	remaining, owner := f.Members()[0], f.Members()[2]
	cache := &entryCache{caller: client.New()}
	defer cache.caller.Close()
	query := func(address string) {
		reply, err := cache.caller.Query(context.Background(), address, "top", api.QueryRequest{Customer: "chef", Question: json.RawMessage(`"pork"`)})
		if assert.NoError(t, err) {
			assert.False(t, reply.Coverage.Thin, "missing: %v", reply.Coverage.Missing)
		}
	}
	query(remaining.Addresses.Caller)
	var stopped atomic.Bool
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for !stopped.Load() {
				query(remaining.Addresses.Caller)
			}
		})
	}
	upstreams[0].Change(func(b *standin.Behaviour) { b.Draining = true })
	require.Eventually(t, func() bool { return owner.Node.Status().DrainedUpstreams == 1 }, awaitTimeout, pollInterval)
	require.NoError(t, f.Stop(owner))
	f.RemoveFromVMList(owner)
	require.Eventually(t, func() bool {
		for _, member := range f.Members() {
			if member.Node.Status().DrainedUpstreams != 1 {
				return false
			}
		}
		return true
	}, awaitTimeout, pollInterval)
	stopped.Store(true)
	running.Wait()
	// A node that has had no contact with the upstream becomes the owner of its shard.
	var joined *Member
	for range dataCentreCount {
		var err error
		joined, err = f.Add()
		require.NoError(t, err)
		if joined.vm.DataCentre == "dc3" {
			break
		}
	}
	require.Eventually(t, func() bool { return f.isReady(1) }, awaitTimeout, pollInterval)
	require.Eventually(t, func() bool { return joined.Node.Status().DrainedUpstreams == 1 }, awaitTimeout, pollInterval, "a joining node receives the drains")
	before, answered := upstreams[0].Received(), upstreams[1].Received()
	for range 50 {
		query(remaining.Addresses.Caller)
	}
	require.Equal(t, before, upstreams[0].Received(), "new requests for the drained upstream")
	require.Equal(t, answered+50, upstreams[1].Received())
}

// Guards against incomplete answers for other customers when a data centre is lost,
// with a node and a replica of every shard, while one customer sends ten times its
// in-flight limit. The excess must be refused at once with a retry-after time, and
// queries of another customer must be answered completely although the first
// customer's queries occupy the remaining slots.
func TestALostDataCentreUnderASurgeStaysWhole(t *testing.T) {
	const limit, surge, chefQueries = 4, 40, 12
	upstreams := startUpstreams(t, 6)
	text := fmt.Sprintf("customers: [{name: large, in_flight: %d}, {name: chef, in_flight: %d}]\n", limit, chefQueries) + testConfig(upstreams)
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
	require.Eventually(t, func() bool { return entry.Node.Status().Nodes == 2 }, awaitTimeout, pollInterval)
	caller := client.New()
	defer caller.Close()
	minuteMs := time.Minute.Milliseconds()
	query := func(customer core.Customer) (api.QueryReply, error) {
		return caller.Query(context.Background(), entry.Addresses.Caller, "top", api.QueryRequest{Customer: customer, TimeoutMs: &minuteMs})
	}
	var refused, complete atomic.Int64
	var running sync.WaitGroup
	for range surge {
		running.Go(func() {
			reply, err := query("large")
			if err == nil {
				assert.False(t, reply.Coverage.Thin, "missing: %v", reply.Coverage.Missing)
				return
			}
			refusal := fault.As(err)
			assert.Equal(t, core.NotRun, refusal.Outcome)
			assert.Positive(t, refusal.RetryAfter, "%v", err)
			refused.Add(1)
		})
	}
	require.Eventually(t, func() bool { return refused.Load() == surge-limit }, awaitTimeout, pollInterval)
	for range chefQueries {
		running.Go(func() {
			reply, err := query("chef")
			if assert.NoError(t, err) && assert.False(t, reply.Coverage.Thin, "missing: %v", reply.Coverage.Missing) {
				complete.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return entry.Node.Status().InFlight == limit+chefQueries }, awaitTimeout, pollInterval)
	close(release)
	running.Wait()
	require.EqualValues(t, surge-limit, refused.Load())
	require.EqualValues(t, chefQueries, complete.Load())
	received, services := 0, len(upstreams)/2
	for _, u := range upstreams {
		received += u.Received()
	}
	firstAttempts := services * (limit + chefQueries)
	t.Logf("%d requests reached upstreams for %d first attempts", received, firstAttempts)
	require.LessOrEqual(t, received, firstAttempts+firstAttempts/10+budget.DefaultFloor)
}
