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

// submitText writes a service that must not be repeated, of two shards, and one
// that may be. The replicas' data centre makes the third node their owner.
func submitText(upstreams []*standin.Upstream) string {
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
	return startFleet(t, nodes, submitText(upstreams)), upstreams
}

// ran counts the runs of each key over all upstreams.
func ran(upstreams []*standin.Upstream) map[string]int {
	counts := map[string]int{}
	for _, u := range upstreams {
		for key, count := range u.Submits() {
			counts[key] += count
		}
	}
	return counts
}

func freshKey(t *testing.T, caller *client.Client, address string) string {
	t.Helper()
	entries, err := caller.Entries(context.Background(), address)
	require.NoError(t, err)
	key, err := client.NewKey(entries.KeyPrefix)
	require.NoError(t, err)
	return key
}

func invoice(key string) api.SubmitRequest {
	timeout := submitTimeoutMs
	return api.SubmitRequest{Customer: "ham house", Key: key, Payload: json.RawMessage(`{"total":12}`), TimeoutMs: &timeout}
}

// A kitchen manager's client retries an invoice through every entry, since each
// answer comes late. The keys are equal, so the invoice is recorded once and each
// entry gives the same outcome, also later and also for the refusals.
func TestASubmitRunsOnceThroughAllEntries(t *testing.T) {
	f, upstreams := startSubmitFleet(t, 3, 20*time.Millisecond)
	caller := client.New()
	defer caller.Close()
	ctx := context.Background()
	key := freshKey(t, caller, f.Members()[0].Addresses.Caller)
	var done sync.WaitGroup
	for _, member := range f.Members() {
		done.Add(1)
		go func() {
			defer done.Done()
			reply, refusal := caller.Submit(ctx, member.Addresses.Caller, "invoices", invoice(key))
			assert.Equal(t, "done", reply.Outcome, "%+v", refusal)
			assert.NotEmpty(t, reply.Payload)
		}()
	}
	done.Wait()
	again, _ := caller.Submit(ctx, f.Members()[2].Addresses.Caller, "invoices", invoice(key))
	require.True(t, again.Repeated)
	require.Equal(t, map[string]int{key: 1}, ran(upstreams))
	requireRefusals(t, caller, f, key)
	require.Equal(t, map[string]int{key: 1}, ran(upstreams))
}

func requireRefusals(t *testing.T, caller *client.Client, f *Fleet, key string) {
	t.Helper()
	address := f.Members()[1].Addresses.Caller
	other := invoice(key)
	other.Payload = json.RawMessage(`{"total":13}`)
	cases := []struct {
		service string
		request api.SubmitRequest
		code    fault.Code
	}{
		{"invoices", other, fault.CodeKeyReused},
		{"invoices", invoice(""), fault.CodeKeyMissing},
		{"invoices", invoice("vm-1.1.1.forged.id"), fault.CodeHomeGone},
		{"invoices", invoice("nonsense"), fault.CodeKeyInvalid},
		{"prices", invoice(freshKey(t, caller, address)), fault.CodeWrongMethod},
		{"nothing", invoice(freshKey(t, caller, address)), fault.CodeUnknownService},
	}
	for _, one := range cases {
		_, refusal := caller.Submit(context.Background(), address, one.service, one.request)
		require.Equal(t, one.code, refusal.Code, "%+v", refusal)
		if one.code == fault.CodeHomeGone {
			require.Equal(t, "unknown", refusal.Outcome)
			continue
		}
		require.Equal(t, "not_run", refusal.Outcome)
		require.NotEmpty(t, refusal.KeyPrefix)
	}
}

// A home is stopped as planned while its callers still retry. What ran before
// the stop is told by the home's successor; nothing runs a second time.
func TestAPlannedStopHandsItsOutcomesOver(t *testing.T) {
	f, upstreams := startSubmitFleet(t, 3, 0)
	caller := client.New()
	defer caller.Close()
	ctx := context.Background()
	leaving := f.Members()[1]
	key := freshKey(t, caller, leaving.Addresses.Caller)
	reply, refusal := caller.Submit(ctx, f.Members()[0].Addresses.Caller, "invoices", invoice(key))
	require.Equal(t, "done", reply.Outcome, "%+v", refusal)
	require.NoError(t, f.Stop(leaving))
	f.RemoveFromVMList(leaving)
	for _, member := range f.Members() {
		kept, refusal := caller.Submit(ctx, member.Addresses.Caller, "invoices", invoice(key))
		require.Equal(t, "done", kept.Outcome, "%+v", refusal)
		require.True(t, kept.Repeated)
		require.JSONEq(t, string(reply.Payload), string(kept.Payload))
	}
	require.Equal(t, map[string]int{key: 1}, ran(upstreams))
}

// Many invoices are sent while one of three nodes stops, each retried through
// all entries at once. An invoice must not be recorded twice, and what a client
// was told of it must be so.
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
	told := make([][]string, submits)
	keys := make([]string, submits)
	for i := range submits {
		issuers := addresses
		if i >= submits/2 {
			// By now the third is stopping or gone.
			issuers = addresses[:2]
		}
		keys[i] = freshKey(t, caller, issuers[i%len(issuers)])
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
			told[i] = retryEverywhere(caller, addresses, keys[i])
		}()
	}
	done.Wait()
	runs := ran(upstreams)
	require.NotEmpty(t, runs)
	logOutcomes(t, told)
	for i, key := range keys {
		require.LessOrEqual(t, runs[key], 1, key)
		requireTrue(t, key, told[i], runs[key])
	}
}

// Invoices are being recorded when one of three nodes is stopped as planned, the
// home of some and the owner of all. Each client keeps waiting at its entry,
// which stays. None may be left without knowing.
func TestAPlannedStopCutsOffNoSubmit(t *testing.T) {
	f, upstreams := startSubmitFleet(t, 3, 300*time.Millisecond)
	caller := client.New()
	defer caller.Close()
	const submits = 24
	outcomes := make([]string, submits)
	var done sync.WaitGroup
	for i := range submits {
		key := freshKey(t, caller, f.Members()[i%3].Addresses.Caller)
		address := f.Members()[i%2].Addresses.Caller
		done.Add(1)
		go func() {
			defer done.Done()
			reply, refusal := caller.Submit(context.Background(), address, "invoices", invoice(key))
			outcomes[i] = reply.Outcome + refusal.Outcome + " " + string(refusal.Code)
		}()
	}
	require.Eventually(t, func() bool { return len(ran(upstreams)) == submits }, awaitLimit, pollPause)
	require.NoError(t, f.Stop(f.Members()[2]))
	done.Wait()
	for i, outcome := range outcomes {
		require.Equal(t, "done ", outcome, "submit %d", i)
	}
}

// retryEverywhere sends one key through all entries at once and returns what
// each said.
func retryEverywhere(caller *client.Client, addresses []string, key string) []string {
	told := make([]string, len(addresses))
	var done sync.WaitGroup
	for i, address := range addresses {
		done.Add(1)
		go func() {
			defer done.Done()
			reply, refusal := caller.Submit(context.Background(), address, "invoices", invoice(key))
			told[i] = reply.Outcome + refusal.Outcome
		}()
	}
	done.Wait()
	return told
}

func logOutcomes(t *testing.T, told [][]string) {
	t.Helper()
	counts := map[string]int{}
	for _, replies := range told {
		for _, outcome := range replies {
			counts[outcome]++
		}
	}
	t.Logf("replies by outcome: %v", counts)
}

func requireTrue(t *testing.T, key string, told []string, runs int) {
	t.Helper()
	for _, outcome := range told {
		switch outcome {
		case core.Done.String():
			require.Equal(t, 1, runs, "%s was told done", key)
		case core.NotRun.String():
			require.Equal(t, 0, runs, "%s was told not run", key)
		default:
			require.Equal(t, core.Unknown.String(), outcome)
		}
	}
}

// An import fills an entry with invoices that an upstream does not answer, and
// each holds a goroutine and a body of the entry. Submits must take places as
// queries do. The one too many is told that its try did not run, yet not that
// its key did not: another entry may have taken the key before.
func TestASubmitThatFindsNoPlaceDidNotRun(t *testing.T) {
	upstreams := startUpstreams(t, 3)
	f := startWith(t, Options{Nodes: 1, LogOutput: io.Discard, EditSettings: func(s *settings.Settings) { s.Limits.InFlight = 1 }}, submitText(upstreams))
	for _, u := range upstreams {
		u.Change(func(b *standin.Behaviour) { b.Silent = true })
	}
	address := f.Members()[0].Addresses.Caller
	caller := client.New()
	defer caller.Close()
	ctx, leave := context.WithCancel(context.Background())
	var held sync.WaitGroup
	first := invoice(freshKey(t, caller, address))
	held.Go(func() { caller.Submit(ctx, address, "invoices", first) })
	require.Eventually(t, func() bool { return upstreams[0].Received()+upstreams[1].Received() == 1 }, awaitLimit, awaitPause)

	key := freshKey(t, caller, address)
	_, refusal := caller.Submit(context.Background(), address, "invoices", invoice(key))
	require.Equal(t, fault.CodeOverloaded, refusal.Code)
	require.Equal(t, core.Unknown.String(), refusal.Outcome)
	require.Equal(t, core.NotRun.String(), refusal.ThisTry)
	require.Positive(t, refusal.RetryAfterMs)
	require.Equal(t, 1, upstreams[0].Received()+upstreams[1].Received())

	leave()
	held.Wait()
	for _, u := range upstreams {
		u.Change(func(b *standin.Behaviour) { b.Silent = false })
	}
	require.Eventually(t, func() bool {
		reply, _ := caller.Submit(context.Background(), address, "invoices", invoice(key))
		return reply.Outcome == core.Done.String()
	}, awaitLimit, awaitPause, "the same key runs once a place is free")
	for _, u := range upstreams {
		// Or the planned stop waits for the submit that is held upstream.
		require.NoError(t, u.Close())
	}
}
