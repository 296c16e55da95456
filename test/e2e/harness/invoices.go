package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// Ledger is the service that records invoices, LedgerReplicas its number of
	// replicas in production.
	Ledger         = "invoice-review"
	LedgerReplicas = 7

	ledgerShards        = 2
	submitTimeout       = time.Second
	submitClientTimeout = 5 * time.Second
	submitAttempts      = 3
	submitRetryPause    = 20 * time.Millisecond
)

// LedgerConfigText returns a configuration text with only the Ledger service.
func LedgerConfigText(addresses []string) string {
	var b strings.Builder
	b.WriteString("version: 1\npolicy: {bundle_size: 1}\nindexes: [ledger]\nservices:\n")
	fmt.Fprintf(&b, "  - name: %s\n    index: ledger\n    idempotent: false\n    slots: 3\n    connections: 100\n    connect_cost: 1ms\n    timeout: 2s\n    shards:\n", Ledger)
	perShard := len(addresses) / ledgerShards
	for shard := range ledgerShards {
		b.WriteString("      - replicas:\n")
		last := (shard + 1) * perShard
		if shard == ledgerShards-1 {
			last = len(addresses)
		}
		for _, address := range addresses[shard*perShard : last] {
			fmt.Fprintf(&b, "          - {address: %q, data_centre: dc%d}\n", address, shard+1)
		}
	}
	return b.String()
}

// Invoices submits invoices continuously. Each caller sends a key through two
// entries at once, repeats it through further entries while its outcome is
// unknown, and sends it once more after it was done.
type Invoices struct {
	*sender
	outcomes map[string]*outcomeCounts
	finished int
}

// outcomeCounts counts the outcomes that entries returned for one key.
type outcomeCounts struct{ done, notRun, unknown int }

// StartInvoices begins to submit through the entries, until Stop or the test's
// end.
func StartInvoices(t testing.TB, callers int, entries ...string) *Invoices {
	v := &Invoices{sender: newSender(t, entries), outcomes: map[string]*outcomeCounts{}}
	v.start(callers, func(ctx context.Context, _ int) {
		for ctx.Err() == nil {
			v.runKey()
		}
	})
	t.Cleanup(v.Stop)
	return v
}

// Stop ends the load after the attempts of the keys in progress.
func (v *Invoices) Stop() { v.stopAndWait() }

func (v *Invoices) nextEntry() string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.nextEntryLocked()
}

// runKey submits a new key until its outcome is known or its attempts are used up.
func (v *Invoices) runKey() {
	key, ok := v.newKey()
	if !ok {
		time.Sleep(submitRetryPause)
		return
	}
	var concurrent sync.WaitGroup
	concurrent.Add(1)
	go func() {
		defer concurrent.Done()
		v.submit(key)
	}()
	for range submitAttempts {
		if v.submit(key) != core.Unknown {
			break
		}
		time.Sleep(submitRetryPause)
	}
	concurrent.Wait()
	if v.outcomesOf(key).done > 0 {
		v.submit(key)
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.finished++
}

func (v *Invoices) newKey() (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	entries, err := v.client.Entries(ctx, v.nextEntry())
	if err != nil || entries.KeyPrefix == "" {
		return "", false
	}
	key, err := client.NewKey(entries.KeyPrefix)
	return key, err == nil
}

// submit sends one attempt and records the outcome that the entry returns.
func (v *Invoices) submit(key string) core.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), submitClientTimeout)
	defer cancel()
	timeout := submitTimeout.Milliseconds()
	reply, refusal := v.client.Submit(ctx, v.nextEntry(), Ledger, api.SubmitRequest{
		Customer:  "ham-house",
		Key:       key,
		Payload:   json.RawMessage(`{"total": 12}`),
		TimeoutMs: &timeout,
	})
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.outcomes[key] == nil {
		v.outcomes[key] = &outcomeCounts{}
	}
	switch {
	case reply.Outcome == core.Done.String():
		v.outcomes[key].done++
		return core.Done
	case refusal.Outcome == core.NotRun.String():
		v.outcomes[key].notRun++
		return core.NotRun
	}
	v.outcomes[key].unknown++
	return core.Unknown
}

func (v *Invoices) outcomesOf(key string) outcomeCounts {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.outcomes[key] == nil {
		return outcomeCounts{}
	}
	return *v.outcomes[key]
}

// totals counts the keys by the outcomes returned; finished counts the keys whose
// attempts have ended.
type totals struct{ keys, done, notRun, finished int }

func (v *Invoices) totals() totals {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	total := totals{keys: len(v.outcomes), finished: v.finished}
	for _, counts := range v.outcomes {
		total.done += min(counts.done, 1)
		total.notRun += min(counts.notRun, 1)
	}
	return total
}

// AwaitDone waits until the given number of further keys are done.
func (v *Invoices) AwaitDone(more int) {
	v.t.Helper()
	from := v.totals().done
	Await(v.t, fmt.Sprintf("%d more invoices recorded", more), func() bool { return v.totals().done >= from+more })
}

// AwaitNotRun waits until the given number of further keys were refused as not run.
func (v *Invoices) AwaitNotRun(more int) {
	v.t.Helper()
	from := v.totals().notRun
	Await(v.t, fmt.Sprintf("%d more invoices not run", more), func() bool { return v.totals().notRun >= from+more })
}

// AwaitFinished waits until the given number of further keys have used up their
// attempts, whatever the outcome.
func (v *Invoices) AwaitFinished(more int) {
	v.t.Helper()
	from := v.totals().finished
	Await(v.t, fmt.Sprintf("%d more invoices finished", more), func() bool { return v.totals().finished >= from+more })
}

// RequireAtMostOnce compares the outcomes returned with the executions counted by
// the replicas: no key ran twice, keys reported done ran, and keys reported not run
// did not.
func (v *Invoices) RequireAtMostOnce(upstreams *StandIn) {
	v.t.Helper()
	v.Stop()
	ran := map[string]int{}
	for _, counts := range upstreams.Counts() {
		for key, count := range counts.Submits {
			ran[key] += count
		}
	}
	total := v.totals()
	v.t.Logf("invoices: %d keys, %d done, %d not run", total.keys, total.done, total.notRun)
	require.Empty(v.t, v.contradictions(ran))
	require.Positive(v.t, total.done)
}

func (v *Invoices) contradictions(ran map[string]int) []string {
	var wrong []string
	for key, count := range ran {
		if count > 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", key, count))
		}
	}
	for key, counts := range v.outcomes {
		switch {
		case counts.done > 0 && ran[key] != 1:
			wrong = append(wrong, fmt.Sprintf("%s was reported done and ran %d times", key, ran[key]))
		case counts.notRun > 0 && ran[key] != 0:
			wrong = append(wrong, fmt.Sprintf("%s was reported not run and ran %d times; outcomes %+v", key, ran[key], *counts))
		}
	}
	return wrong
}
