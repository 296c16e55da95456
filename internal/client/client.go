// Package client is a client of the system for callers: it fetches the entry
// addresses, then sends queries and submissions to them.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const (
	maxReplyBytes = 64 << 20
	// dialTimeout limits dialling a VM that disappeared without closing its
	// connections, so that time remains for the next address.
	dialTimeout = time.Second
)

// Client holds connections to entries.
type Client struct{ http *http.Client }

// New returns a client.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Entries fetches the addresses to use from the entry at address.
func (c *Client) Entries(ctx context.Context, address string) (api.Entries, error) {
	var entries api.Entries
	err := c.Get(ctx, address, "/v1/entries", &entries)
	return entries, err
}

// Query sends a query to the entry at address.
func (c *Client) Query(ctx context.Context, address, service string, request api.QueryRequest) (api.QueryReply, error) {
	var reply api.QueryReply
	err := c.post(ctx, address, "/v1/query/"+service, request, &reply)
	return reply, err
}

// Get fetches a JSON document from a node.
func (c *Client) Get(ctx context.Context, address, path string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fault.Wrap("build request", err)
	}
	return c.do(request, out)
}

func (c *Client) post(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fault.Wrap("encode request", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap("build request", err)
	}
	request.Header.Set("Content-Type", "application/json")
	return c.do(request, out)
}

func (c *Client) do(request *http.Request, out any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return &fault.Error{Code: fault.CodeLost, Outcome: core.Unknown, Message: "no answer from " + request.URL.Host, Fix: "use another entry", Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return &fault.Error{Code: fault.CodeLost, Outcome: core.Unknown, Message: "the answer was truncated", Fix: "use another entry", Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return toError(response.Status, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &fault.Error{Code: fault.CodeInternal, Outcome: core.Unknown, Message: "the answer is not JSON", Cause: err}
	}
	return nil
}

func toError(status string, body []byte) error {
	var reply api.ErrorReply
	if err := json.Unmarshal(body, &reply); err != nil || reply.Code == "" {
		return &fault.Error{Code: fault.CodeInternal, Outcome: core.Unknown, Message: "the entry answered " + status}
	}
	return api.ErrorFromReply(reply)
}
