package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/platform"
)

const (
	// defaultTimeout is the timeout of requests that set none.
	defaultTimeout = 2 * time.Second
	// replyGrace is added to the timeout so that the reply that reports the missed deadline
	// can still arrive.
	replyGrace = 500 * time.Millisecond
	// directoryTimeout bounds a directory request.
	directoryTimeout = time.Second
	// maxIdlePerNode bounds the idle connections to one node; a burst may open more.
	maxIdlePerNode = 64
)

// TierCaller sends requests to the forwarding tier as production callers do: it resolves
// addresses at a directory, caches them for the time to live in the directory's answer and
// rotates over them. An address that cannot be reached is removed until the next answer. A
// Request's service is HOST/PATH.
type TierCaller struct {
	directories []string
	dataCentre  string
	directory   *platform.DirectoryClient
	client      *http.Client
	run         string
	ids         atomic.Uint64

	mutex sync.Mutex
	// known holds the addresses for each host.
	known map[string]*addressList
}

// addressList is a cached answer of a directory.
type addressList struct {
	list    []string
	expires time.Time
	next    int
}

// NewTierCaller returns a caller in a data centre, "" for none in particular, that resolves
// addresses at the given directories.
func NewTierCaller(directories []string, dataCentre string) *TierCaller {
	return &TierCaller{
		directories: directories, dataCentre: dataCentre,
		directory: platform.NewDirectoryClient(directoryTimeout),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerNode, DisableCompression: true}},
		run:       fmt.Sprintf("load-%x", time.Now().UnixNano()),
		known:     map[string]*addressList{},
	}
}

// Close closes idle connections.
func (c *TierCaller) Close() {
	c.directory.Close()
	c.client.CloseIdleConnections()
}

// Send implements Sender.
func (c *TierCaller) Send(ctx context.Context, request Request) Reply {
	host, path, _ := strings.Cut(request.Service, "/")
	address, err := c.address(ctx, host)
	if err != nil {
		return failureReply(err)
	}
	wait := request.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait+replyGrace)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+path, nil)
	if err != nil {
		return failureReply(fault.NotRun(fault.CodeBadRequest, "invalid request URL for "+request.Service, "write HOST/PATH"))
	}
	httpRequest.Host = host
	platform.SetRequestHeaders(httpRequest.Header, fmt.Sprintf("%s-%d", c.run, c.ids.Add(1)), wait)
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return c.failedExchange(host, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Reply{Outcome: core.Unknown.String(), Code: fault.CodeLost}
	}
	return evaluateResponse(response)
}

// failedExchange returns the reply for an exchange that failed. If the connection was never
// opened, the request did not run, and the address is removed.
func (c *TierCaller) failedExchange(host, address string, err error) Reply {
	var operation *net.OpError
	if !errors.As(err, &operation) || operation.Op != "dial" {
		return Reply{Outcome: core.Unknown.String(), Code: fault.CodeLost}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.known[host]; known != nil {
		known.list = slices.DeleteFunc(known.list, func(candidate string) bool { return candidate == address })
	}
	return Reply{Outcome: core.NotRun.String(), Code: fault.CodeAddress}
}

// evaluateResponse returns the outcome and coverage of a response.
func evaluateResponse(response *http.Response) Reply {
	switch status := response.StatusCode; {
	case status == http.StatusServiceUnavailable:
		return Reply{Outcome: core.NotRun.String(), Code: fault.CodeOverloaded}
	case status == http.StatusNotFound:
		return Reply{Outcome: core.NotRun.String(), Code: fault.CodeUnknownPath}
	case status == http.StatusGatewayTimeout:
		return Reply{Outcome: core.Unknown.String(), Code: fault.CodePastDeadline}
	case status >= http.StatusInternalServerError:
		return Reply{Outcome: core.Unknown.String(), Code: fault.CodeUpstream}
	case status >= http.StatusBadRequest:
		return Reply{Outcome: core.Unknown.String(), Code: fault.CodeBadRequest}
	}
	reply := Reply{Outcome: core.Done.String(), Asked: 1, Answered: 1}
	if parts, missing, gathered := platform.ReadCoverage(response.Header); gathered {
		reply.Asked, reply.Answered = parts+missing, parts
	}
	return reply
}

// address returns the next address for a host and resolves the host when no address is known
// or the cached ones have expired. If no directory answers, the expired ones stay in use.
func (c *TierCaller) address(ctx context.Context, host string) (string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.known[host]
	if known == nil || len(known.list) == 0 || !time.Now().Before(known.expires) {
		refreshed, err := c.refresh(ctx, host)
		if err != nil && (known == nil || len(known.list) == 0) {
			return "", err
		}
		if err == nil {
			c.known[host], known = refreshed, refreshed
		}
	}
	known.next++
	return known.list[known.next%len(known.list)], nil
}

func (c *TierCaller) refresh(ctx context.Context, host string) (*addressList, error) {
	var last error
	for _, address := range c.directories {
		answer, err := c.directory.Resolve(ctx, address, host, c.dataCentre)
		if err == nil && len(answer.Addresses) == 0 {
			err = fault.NotRun(fault.CodeNotReady, address+" returned no address", "try again")
		}
		if err != nil {
			last = err
			continue
		}
		ttl := time.Duration(answer.TTLSeconds * float64(time.Second))
		return &addressList{list: answer.Addresses, expires: time.Now().Add(ttl)}, nil
	}
	return nil, last
}
