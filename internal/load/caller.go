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

// Caller asks as a caller does: it fetches the entries, keeps them for their
// time to live and spreads its questions over them in turn.
type Caller struct {
	client *client.Client
	seeds  []string

	mutex   sync.Mutex
	entries []api.EntryAddress
	until   time.Time
	turn    int
}

// NewCaller makes a caller that knows the given nodes' addresses.
func NewCaller(seeds []string) *Caller {
	return &Caller{client: client.New(), seeds: seeds}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.Close() }

// Send implements Sender.
func (c *Caller) Send(ctx context.Context, request Request) Reply {
	address, err := c.address(ctx)
	if err != nil {
		return failed(err)
	}
	asked := api.QueryRequest{Customer: request.Customer, Question: json.RawMessage(`"pork shoulder"`)}
	if request.Timeout > 0 {
		timeoutMs := request.Timeout.Milliseconds()
		asked.TimeoutMs = &timeoutMs
	}
	reply, err := c.client.Query(ctx, address, request.Service, asked)
	if err != nil {
		return failed(err)
	}
	return judge(reply)
}

// address returns the next entry, asking for the entries again when their time
// has passed. A failed renewal leaves the former entries in use.
func (c *Caller) address(ctx context.Context) (string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !time.Now().Before(c.until) {
		if err := c.renew(ctx); err != nil && len(c.entries) == 0 {
			return "", err
		}
	}
	c.turn++
	return c.entries[c.turn%len(c.entries)].Address, nil
}

func (c *Caller) renew(ctx context.Context) error {
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
		c.until = time.Now().Add(time.Duration(entries.TTLMs) * time.Millisecond)
		return nil
	}
	return last
}

func failed(err error) Reply {
	typed := fault.As(err)
	return Reply{Outcome: typed.Outcome.String(), Code: typed.Code}
}

// partHeader is what every stand-in writes into its part.
type partHeader struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
}

// judge checks the answer against its own parts.
func judge(answer api.QueryReply) Reply {
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
