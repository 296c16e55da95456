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

// silentShare is the part of the time left after which an entry without an
// answer no longer holds the next one up: half, then half of the rest.
const silentShare = 2

// asked is the end of one entry's query.
type asked struct {
	reply api.QueryReply
	err   error
}

// askInTurn asks one entry after the other while time is left. A query may be
// repeated, so that the next entry is asked when one failed, and also when one
// stays silent: it may have taken the connection and stand still. The silent one
// is not given up, as it may only be slow; the first answer counts. A refusal
// that every entry would give ends it.
func askInTurn(ctx context.Context, caller *client.Client, entries []api.EntryAddress, options queryOptions) (api.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, options.timeout+time.Second)
	defer cancel()
	deadline := time.Now().Add(options.timeout)
	ends := make(chan asked, len(entries))
	last := asked{err: fault.NotRun(fault.CodeNotReady, "the node knows no entries yet", "try again")}
	open := 0
	for i, entry := range entries {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		open++
		go func() { ends <- askEntry(ctx, caller, entry.Address, options, left) }()
		if i+1 == len(entries) {
			break
		}
		end, ended := waitFor(ends, left/silentShare)
		if !ended {
			continue
		}
		open--
		last = end
		if final(end) {
			return end.reply, end.err
		}
	}
	last = firstFinal(ends, open, last)
	return last.reply, last.err
}

// firstFinal waits for the open queries until one needs no other.
func firstFinal(ends <-chan asked, open int, last asked) asked {
	for ; open > 0; open-- {
		last = <-ends
		if final(last) {
			break
		}
	}
	return last
}

// final reports whether no other entry needs to be asked.
func final(end asked) bool { return end.err == nil || !elsewhere(fault.As(end.err)) }

func waitFor(ends <-chan asked, limit time.Duration) (end asked, ended bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case end = <-ends:
		return end, true
	case <-timer.C:
		return asked{}, false
	}
}

func askEntry(ctx context.Context, caller *client.Client, address string, options queryOptions, left time.Duration) asked {
	timeoutMs := max(1, left.Milliseconds())
	reply, err := caller.Query(ctx, address, options.service, api.QueryRequest{
		Customer:  core.Customer(options.customer),
		Question:  json.RawMessage(options.question),
		TimeoutMs: &timeoutMs,
		Prefer:    options.prefer,
	})
	return asked{reply: reply, err: err}
}
