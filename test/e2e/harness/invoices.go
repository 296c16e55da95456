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
	// Ledger is the service that records invoices, LedgerReplicas its size of
	// today.
	Ledger         = "invoice-review"
	LedgerReplicas = 7

	ledgerShards  = 2
	submitTimeout = time.Second
	submitGuard   = 5 * time.Second
	submitTries   = 3
	submitPause   = 20 * time.Millisecond
)

// LedgerConfigText writes the operators' text of the Ledger service alone.
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

// Invoices submits invoices without end. An impatient caller sends each key
// through two entries at once and repeats it through further ones while nobody
// knows its outcome, and once more after it was done.
type Invoices struct {
	*sender
	claims map[string]*claims
	tried  int
}

// claims counts what entries said of one key.
type claims struct{ done, notRun, unknown int }

// StartInvoices begins to submit through the entries, until Stop or the test's
// end.
func StartInvoices(t testing.TB, callers int, entries ...string) *Invoices {
	v := &Invoices{sender: newSender(t, entries), claims: map[string]*claims{}}
	v.start(callers, func(ctx context.Context, _ int) {
		for ctx.Err() == nil {
			v.one()
		}
	})
	t.Cleanup(v.Stop)
	return v
}

// Stop ends the submits once each key has had its tries.
func (v *Invoices) Stop() { v.end() }

func (v *Invoices) entry() string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.turn()
}

// one runs one key to its end.
func (v *Invoices) one() {
	key, ok := v.key()
	if !ok {
		time.Sleep(submitPause)
		return
	}
	var twin sync.WaitGroup
	twin.Add(1)
	go func() {
		defer twin.Done()
		v.submit(key)
	}()
	for range submitTries {
		if v.submit(key) != core.Unknown {
			break
		}
		time.Sleep(submitPause)
	}
	twin.Wait()
	if v.said(key).done > 0 {
		v.submit(key)
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.tried++
}

func (v *Invoices) key() (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), readLimit)
	defer cancel()
	entries, err := v.client.Entries(ctx, v.entry())
	if err != nil || entries.KeyPrefix == "" {
		return "", false
	}
	key, err := client.NewKey(entries.KeyPrefix)
	return key, err == nil
}

// submit sends one try and notes what the entry claims of the key.
func (v *Invoices) submit(key string) core.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), submitGuard)
	defer cancel()
	timeout := submitTimeout.Milliseconds()
	reply, refusal := v.client.Submit(ctx, v.entry(), Ledger, api.SubmitRequest{
		Customer:  "ham-house",
		Key:       key,
		Payload:   json.RawMessage(`{"total": 12}`),
		TimeoutMs: &timeout,
	})
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.claims[key] == nil {
		v.claims[key] = &claims{}
	}
	switch {
	case reply.Outcome == core.Done.String():
		v.claims[key].done++
		return core.Done
	case refusal.Outcome == core.NotRun.String():
		v.claims[key].notRun++
		return core.NotRun
	}
	v.claims[key].unknown++
	return core.Unknown
}

func (v *Invoices) said(key string) claims {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.claims[key] == nil {
		return claims{}
	}
	return *v.claims[key]
}

// sums counts the keys by what was said of them, and those that had their tries.
type sums struct{ keys, done, notRun, tried int }

func (v *Invoices) sums() sums {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	total := sums{keys: len(v.claims), tried: v.tried}
	for _, one := range v.claims {
		total.done += min(one.done, 1)
		total.notRun += min(one.notRun, 1)
	}
	return total
}

// AwaitDone waits until so many more keys are done.
func (v *Invoices) AwaitDone(more int) {
	v.t.Helper()
	from := v.sums().done
	Await(v.t, fmt.Sprintf("%d more invoices recorded", more), func() bool { return v.sums().done >= from+more })
}

// AwaitNotRun waits until so many more keys are said not to have run.
func (v *Invoices) AwaitNotRun(more int) {
	v.t.Helper()
	from := v.sums().notRun
	Await(v.t, fmt.Sprintf("%d more invoices not run", more), func() bool { return v.sums().notRun >= from+more })
}

// AwaitFinished waits until so many more keys have had their tries, whatever the
// end.
func (v *Invoices) AwaitFinished(more int) {
	v.t.Helper()
	from := v.sums().tried
	Await(v.t, fmt.Sprintf("%d more invoices tried", more), func() bool { return v.sums().tried >= from+more })
}

// RequireAtMostOnce compares what entries said with the upstreams' ledgers: no
// key ran twice, what was done ran, and what was said not to have run did not.
func (v *Invoices) RequireAtMostOnce(upstreams *StandIn) {
	v.t.Helper()
	v.Stop()
	ran := map[string]int{}
	for _, counts := range upstreams.Counts() {
		for key, count := range counts.Submits {
			ran[key] += count
		}
	}
	total := v.sums()
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
	for key, said := range v.claims {
		switch {
		case said.done > 0 && ran[key] != 1:
			wrong = append(wrong, fmt.Sprintf("%s is said to be done and ran %d times", key, ran[key]))
		case said.notRun > 0 && ran[key] != 0:
			wrong = append(wrong, fmt.Sprintf("%s is said not to have run and ran %d times; said %+v", key, ran[key], *said))
		}
	}
	return wrong
}
