package load

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Caller sends queries as a production caller does: it fetches the list of
// entries, caches it for its time to live and rotates over them.
type Caller struct {
	client *client.Client
	seeds  []string

	mutex   sync.Mutex
	entries []api.EntryAddress
	expires time.Time
	next    int
}

// NewCaller returns a caller that fetches entries from the nodes at the seed addresses.
func NewCaller(seeds []string) *Caller {
	return &Caller{client: client.New(), seeds: seeds}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.Close() }

// Send implements Sender.
func (c *Caller) Send(ctx context.Context, request Request) Reply {
	address, err := c.address(ctx)
	if err != nil {
		return failureReply(err)
	}
	query := api.QueryRequest{Customer: request.Customer, Question: json.RawMessage(`"pork shoulder"`)}
	if request.Timeout > 0 {
		timeoutMs := request.Timeout.Milliseconds()
		query.TimeoutMs = &timeoutMs
	}
	reply, err := c.client.Query(ctx, address, request.Service, query)
	if err != nil {
		return failureReply(err)
	}
	return evaluate(reply)
}

// address returns the next entry and refreshes the list once it has expired. If
// the refresh fails, the expired list stays in use.
func (c *Caller) address(ctx context.Context) (string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !time.Now().Before(c.expires) {
		if err := c.refresh(ctx); err != nil && len(c.entries) == 0 {
			return "", err
		}
	}
	c.next++
	return c.entries[c.next%len(c.entries)].Address, nil
}

func (c *Caller) refresh(ctx context.Context) error {
	var last error
	for _, seed := range c.seeds {
		entries, err := c.client.Entries(ctx, seed)
		if err != nil {
			last = err
			continue
		}
		if len(entries.Entries) == 0 {
			last = fault.NotRun(fault.CodeNotReady, "the node knows no entries yet", "try again")
			continue
		}
		c.entries = entries.Entries
		c.expires = time.Now().Add(time.Duration(entries.TTLMs) * time.Millisecond)
		return nil
	}
	return last
}

func failureReply(err error) Reply {
	typed := fault.As(err)
	return Reply{Outcome: typed.Outcome.String(), Code: typed.Code}
}

// partHeader holds the fields that every stand-in writes into its part.
type partHeader struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
}

// evaluate summarizes an answer and checks its parts for mixed versions and wrong services.
func evaluate(answer api.QueryReply) Reply {
	reply := Reply{Outcome: answer.Outcome, Asked: answer.Coverage.Asked, Answered: len(answer.Parts)}
	for _, missing := range answer.Coverage.Missing {
		reply.Missing = append(reply.Missing, missing.Reason)
	}
	for _, part := range answer.Parts {
		var header partHeader
		if json.Unmarshal(part.Data, &header) != nil || header.Service == "" {
			continue
		}
		reply.Mixed = reply.Mixed || core.Version(header.Version) != answer.Version
		reply.Crossed = reply.Crossed || header.Service != part.Service
	}
	return reply
}
