package command

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// hedgeDivisor sets how long an unanswered entry delays the query to the next one:
// half of the remaining time, then half of the rest.
const hedgeDivisor = 2

// entryResult is the reply or error of one entry.
type entryResult struct {
	reply api.QueryReply
	err   error
}

// queryEntries queries the entries in order until the deadline. Queries are
// idempotent, so the next entry is queried when one fails, and also when one does
// not answer in time: it may have accepted the connection and hang. An unanswered
// query is not cancelled, as the entry may only be slow; the first answer counts.
// A refusal that every entry would give ends the query.
func queryEntries(ctx context.Context, caller *client.Client, entries []api.EntryAddress, options queryOptions) (api.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, options.timeout+time.Second)
	defer cancel()
	deadline := time.Now().Add(options.timeout)
	results := make(chan entryResult, len(entries))
	last := entryResult{err: fault.NotRun(fault.CodeNotReady, "the node has no list of entries yet", "retry later")}
	inFlight := 0
	for i, entry := range entries {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			break
		}
		inFlight++
		go func() { results <- queryEntry(ctx, caller, entry.Address, options, remaining) }()
		if i+1 == len(entries) {
			break
		}
		result, received := receiveWithin(results, remaining/hedgeDivisor)
		if !received {
			continue
		}
		inFlight--
		last = result
		if isFinal(result) {
			return result.reply, result.err
		}
	}
	last = awaitFinal(results, inFlight, last)
	return last.reply, last.err
}

// awaitFinal waits for the queries in flight until one has a final result.
func awaitFinal(results <-chan entryResult, inFlight int, last entryResult) entryResult {
	for ; inFlight > 0; inFlight-- {
		last = <-results
		if isFinal(last) {
			break
		}
	}
	return last
}

// isFinal reports whether no other entry needs to be queried.
func isFinal(result entryResult) bool { return result.err == nil || !canFailOver(fault.As(result.err)) }

func receiveWithin(results <-chan entryResult, timeout time.Duration) (result entryResult, received bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result = <-results:
		return result, true
	case <-timer.C:
		return entryResult{}, false
	}
}

func queryEntry(ctx context.Context, caller *client.Client, address string, options queryOptions, remaining time.Duration) entryResult {
	timeoutMs := max(1, remaining.Milliseconds())
	reply, err := caller.Query(ctx, address, options.service, api.QueryRequest{
		Customer:  core.Customer(options.customer),
		Question:  json.RawMessage(options.question),
		TimeoutMs: &timeoutMs,
		Prefer:    options.prefer,
	})
	return entryResult{reply: reply, err: err}
}
