package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/settings"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const submitTimeoutMs = int64(10_000)

// submitConfig describes a non-idempotent service of two shards and an idempotent
// one. The replicas' data centre makes the third node their owner.
func submitConfig(upstreams []*standin.Upstream) string {
	shard := func(i int) string {
		return fmt.Sprintf("      - replicas:\n          - {address: %q, data_centre: dc3}\n", upstreams[i].Address())
	}
	return "version: 1\nindexes: [ledger]\nservices:\n" +
		"  - name: invoices\n    index: ledger\n    idempotent: false\n    slots: 32\n    connections: 200\n    timeout: 5s\n    shards:\n" + shard(0) + shard(1) +
		"  - name: prices\n    index: ledger\n    timeout: 5s\n    shards:\n" + shard(2)
}

func startSubmitFleet(t *testing.T, nodes int, service time.Duration) (*Fleet, []*standin.Upstream) {
	t.Helper()
	var upstreams []*standin.Upstream
	for range 3 {
		u, err := standin.StartUpstream("127.0.0.1:0", standin.Behaviour{Versions: []uint64{7}, Service: service})
		require.NoError(t, err)
		t.Cleanup(func() { _ = u.Close() })
		upstreams = append(upstreams, u)
	}
	return startFleet(t, nodes, submitConfig(upstreams)), upstreams
}

// runsByKey counts the runs of each key across all upstreams.
func runsByKey(upstreams []*standin.Upstream) map[string]int {
	counts := map[string]int{}
	for _, u := range upstreams {
		for key, count := range u.Submits() {
			counts[key] += count
		}
	}
	return counts
}

func newKey(t *testing.T, caller *client.Client, address string) string {
	t.Helper()
	entries, err := caller.Entries(context.Background(), address)
	require.NoError(t, err)
	key, err := client.NewKey(entries.KeyPrefix)
	require.NoError(t, err)
	return key
}

func invoiceRequest(key string) api.SubmitRequest {
	timeout := submitTimeoutMs
	return api.SubmitRequest{Customer: "ham house", Key: key, Payload: json.RawMessage(`{"total":12}`), TimeoutMs: &timeout}
}

// Guards against recording an invoice twice when a client with slow answers submits
// it through every entry under one key: it must run once, every entry must return
// the same outcome, also later, and refused submits must not run.
func TestASubmitRunsOnceThroughAllEntries(t *testing.T) {
	f, upstreams := startSubmitFleet(t, 3, 20*time.Millisecond)
	caller := client.New()
	defer caller.Close()
	ctx := context.Background()
	key := newKey(t, caller, f.Members()[0].Addresses.Caller)
	var done sync.WaitGroup
	for _, member := range f.Members() {
		done.Add(1)
		go func() {
			defer done.Done()
			reply, refusal := caller.Submit(ctx, member.Addresses.Caller, "invoices", invoiceRequest(key))
			assert.Equal(t, "done", reply.Outcome, "%+v", refusal)
			assert.NotEmpty(t, reply.Payload)
		}()
	}
	done.Wait()
	again, _ := caller.Submit(ctx, f.Members()[2].Addresses.Caller, "invoices", invoiceRequest(key))
	require.True(t, again.Repeated)
	require.Equal(t, map[string]int{key: 1}, runsByKey(upstreams))
	requireRefusals(t, caller, f, key)
	require.Equal(t, map[string]int{key: 1}, runsByKey(upstreams))
}

func requireRefusals(t *testing.T, caller *client.Client, f *Fleet, key string) {
	t.Helper()
	address := f.Members()[1].Addresses.Caller
	other := invoiceRequest(key)
	other.Payload = json.RawMessage(`{"total":13}`)
	cases := []struct {
		service string
		request api.SubmitRequest
		code    fault.Code
	}{
		{"invoices", other, fault.CodeKeyReused},
		{"invoices", invoiceRequest(""), fault.CodeKeyMissing},
		{"invoices", invoiceRequest("vm-1.1.1.forged.id"), fault.CodeHomeGone},
		{"invoices", invoiceRequest("nonsense"), fault.CodeKeyInvalid},
		{"prices", invoiceRequest(newKey(t, caller, address)), fault.CodeWrongMethod},
		{"nothing", invoiceRequest(newKey(t, caller, address)), fault.CodeUnknownService},
	}
	for _, test := range cases {
		_, refusal := caller.Submit(context.Background(), address, test.service, test.request)
		require.Equal(t, test.code, refusal.Code, "%+v", refusal)
		if test.code == fault.CodeHomeGone {
			require.Equal(t, "unknown", refusal.Outcome)
			continue
		}
		require.Equal(t, "not_run", refusal.Outcome)
		require.NotEmpty(t, refusal.KeyPrefix)
	}
}

// Guards against losing outcomes when a home is stopped as planned while its callers
// still retry: its successor must return the outcomes, and nothing may run again.
func TestAPlannedStopHandsItsOutcomesOver(t *testing.T) {
	f, upstreams := startSubmitFleet(t, 3, 0)
	caller := client.New()
	defer caller.Close()
	ctx := context.Background()
	leaving := f.Members()[1]
	key := newKey(t, caller, leaving.Addresses.Caller)
	reply, refusal := caller.Submit(ctx, f.Members()[0].Addresses.Caller, "invoices", invoiceRequest(key))
	require.Equal(t, "done", reply.Outcome, "%+v", refusal)
	require.NoError(t, f.Stop(leaving))
	f.RemoveFromVMList(leaving)
	for _, member := range f.Members() {
		kept, refusal := caller.Submit(ctx, member.Addresses.Caller, "invoices", invoiceRequest(key))
		require.Equal(t, "done", kept.Outcome, "%+v", refusal)
		require.True(t, kept.Repeated)
		require.JSONEq(t, string(reply.Payload), string(kept.Payload))
	}
	require.Equal(t, map[string]int{key: 1}, runsByKey(upstreams))
}

// Guards against double runs and false outcomes when invoices are submitted through
// all entries at once while one of three nodes stops: each may run at most once, and
// every outcome returned must match the runs.
func TestOutcomesAreTrueWhileANodeStops(t *testing.T) {
	f, upstreams := startSubmitFleet(t, 3, 5*time.Millisecond)
	addresses := make([]string, 0, 3)
	for _, member := range f.Members() {
		addresses = append(addresses, member.Addresses.Caller)
	}
	caller := client.New()
	defer caller.Close()
	const submits = 60
	var done sync.WaitGroup
	outcomes := make([][]string, submits)
	keys := make([]string, submits)
	for i := range submits {
		issuers := addresses
		if i >= submits/2 {
			// The third node is stopping or has stopped.
			issuers = addresses[:2]
		}
		keys[i] = newKey(t, caller, issuers[i%len(issuers)])
		if i == submits/2 {
			done.Add(1)
			go func() {
				defer done.Done()
				assert.NoError(t, f.Stop(f.Members()[2]))
			}()
		}
		done.Add(1)
		go func() {
			defer done.Done()
			outcomes[i] = submitThroughAll(caller, addresses, keys[i])
		}()
	}
	done.Wait()
	runs := runsByKey(upstreams)
	require.NotEmpty(t, runs)
	logOutcomes(t, outcomes)
	for i, key := range keys {
		require.LessOrEqual(t, runs[key], 1, key)
		requireOutcomesMatchRuns(t, key, outcomes[i], runs[key])
	}
}

// Guards against interrupted submits when one of three nodes, the home of some and
// the owner of all, is stopped as planned while they run. The clients wait at the
// other two entries, and each must receive the outcome done.
func TestAPlannedStopCutsOffNoSubmit(t *testing.T) {
	f, upstreams := startSubmitFleet(t, 3, 300*time.Millisecond)
	caller := client.New()
	defer caller.Close()
	const submits = 24
	outcomes := make([]string, submits)
	var done sync.WaitGroup
	for i := range submits {
		key := newKey(t, caller, f.Members()[i%3].Addresses.Caller)
		address := f.Members()[i%2].Addresses.Caller
		done.Add(1)
		go func() {
			defer done.Done()
			reply, refusal := caller.Submit(context.Background(), address, "invoices", invoiceRequest(key))
			outcomes[i] = reply.Outcome + refusal.Outcome + " " + string(refusal.Code)
		}()
	}
	require.Eventually(t, func() bool { return len(runsByKey(upstreams)) == submits }, awaitTimeout, pollInterval)
	require.NoError(t, f.Stop(f.Members()[2]))
	done.Wait()
	for i, outcome := range outcomes {
		require.Equal(t, "done ", outcome, "submit %d", i)
	}
}

// submitThroughAll submits one key through all entries at once and returns the
// outcome from each.
func submitThroughAll(caller *client.Client, addresses []string, key string) []string {
	outcomes := make([]string, len(addresses))
	var done sync.WaitGroup
	for i, address := range addresses {
		done.Add(1)
		go func() {
			defer done.Done()
			reply, refusal := caller.Submit(context.Background(), address, "invoices", invoiceRequest(key))
			outcomes[i] = reply.Outcome + refusal.Outcome
		}()
	}
	done.Wait()
	return outcomes
}

func logOutcomes(t *testing.T, outcomes [][]string) {
	t.Helper()
	counts := map[string]int{}
	for _, replies := range outcomes {
		for _, outcome := range replies {
			counts[outcome]++
		}
	}
	t.Logf("replies by outcome: %v", counts)
}

func requireOutcomesMatchRuns(t *testing.T, key string, outcomes []string, runs int) {
	t.Helper()
	for _, outcome := range outcomes {
		switch outcome {
		case core.Done.String():
			require.Equal(t, 1, runs, "%s was reported as done", key)
		case core.NotRun.String():
			require.Equal(t, 0, runs, "%s was reported as not run", key)
		default:
			require.Equal(t, core.Unknown.String(), outcome)
		}
	}
}

// Guards against an entry running out of memory when an upstream does not answer
// submits, each of which occupies a goroutine and a body: submits must count towards
// the entry's in-flight limit as queries do. The refusal of a submit above the limit
// must state that this attempt did not run, but leave the outcome of the key unknown,
// because another entry may have accepted the key before.
func TestASubmitThatFindsNoPlaceDidNotRun(t *testing.T) {
	upstreams := startUpstreams(t, 3)
	f := startFleetWithOptions(t, Options{Nodes: 1, LogOutput: io.Discard, EditSettings: func(s *settings.Settings) { s.Limits.InFlight = 1 }}, submitConfig(upstreams))
	for _, u := range upstreams {
		u.Change(func(b *standin.Behaviour) { b.Silent = true })
	}
	address := f.Members()[0].Addresses.Caller
	caller := client.New()
	defer caller.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var pending sync.WaitGroup
	first := invoiceRequest(newKey(t, caller, address))
	pending.Go(func() { caller.Submit(ctx, address, "invoices", first) })
	require.Eventually(t, func() bool { return upstreams[0].Received()+upstreams[1].Received() == 1 }, awaitTimeout, awaitInterval)

	key := newKey(t, caller, address)
	_, refusal := caller.Submit(context.Background(), address, "invoices", invoiceRequest(key))
	require.Equal(t, fault.CodeOverloaded, refusal.Code)
	require.Equal(t, core.Unknown.String(), refusal.Outcome)
	require.Equal(t, core.NotRun.String(), refusal.ThisTry)
	require.Positive(t, refusal.RetryAfterMs)
	require.Equal(t, 1, upstreams[0].Received()+upstreams[1].Received())

	cancel()
	pending.Wait()
	for _, u := range upstreams {
		u.Change(func(b *standin.Behaviour) { b.Silent = false })
	}
	require.Eventually(t, func() bool {
		reply, _ := caller.Submit(context.Background(), address, "invoices", invoiceRequest(key))
		return reply.Outcome == core.Done.String()
	}, awaitTimeout, awaitInterval, "the same key runs once the limit allows it")
	for _, u := range upstreams {
		// Otherwise the planned stop would wait for a submit held by the upstream.
		require.NoError(t, u.Close())
	}
}
