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
	// tierTimeout is the time that a request without one of its own may take.
	tierTimeout = 2 * time.Second
	// answerSlack is how much longer than its time a caller waits for the answer that says
	// so.
	answerSlack = 500 * time.Millisecond
	// directoryTimeout bounds a question for addresses.
	directoryTimeout = time.Second
	// maxIdleToNode bounds the idle connections to one node; a burst opens more.
	maxIdleToNode = 64
)

// TierCaller asks the forwarding tier as the users' callers do: it asks a directory for
// addresses, keeps them for the time that the answer gives and uses them in turn. An address
// that cannot be reached is left out until the next answer. A Request's service is HOST/PATH.
type TierCaller struct {
	directories []string
	dataCentre  string
	directory   *platform.DirectoryClient
	client      *http.Client
	run         string
	ids         atomic.Uint64

	mutex sync.Mutex
	// known are the addresses for each host.
	known map[string]*tierAddresses
}

// tierAddresses is an address answer.
type tierAddresses struct {
	list  []string
	until time.Time
	turn  int
}

// NewTierCaller makes a caller in a data centre, "" for none in particular, that knows some
// nodes' directory addresses.
func NewTierCaller(directories []string, dataCentre string) *TierCaller {
	return &TierCaller{
		directories: directories, dataCentre: dataCentre,
		directory: platform.NewDirectoryClient(directoryTimeout),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleToNode, DisableCompression: true}},
		run:       fmt.Sprintf("load-%x", time.Now().UnixNano()),
		known:     map[string]*tierAddresses{},
	}
}

// Close ends idle connections.
func (c *TierCaller) Close() {
	c.directory.Close()
	c.client.CloseIdleConnections()
}

// Ask implements Asker.
func (c *TierCaller) Ask(ctx context.Context, asked Request) Reply {
	host, path, _ := strings.Cut(asked.Service, "/")
	address, err := c.address(ctx, host)
	if err != nil {
		return failed(err)
	}
	wait := asked.Timeout
	if wait <= 0 {
		wait = tierTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+path, nil)
	if err != nil {
		return failed(fault.NotRun(fault.CodeBadRequest, "no request can be made for "+asked.Service, "write HOST/PATH"))
	}
	request.Host = host
	platform.SetRequestHeaders(request.Header, fmt.Sprintf("%s-%d", c.run, c.ids.Add(1)), wait)
	response, err := c.client.Do(request)
	if err != nil {
		return c.unanswered(host, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Reply{Outcome: core.Unknown.String(), Code: fault.CodeLost}
	}
	return judgeTier(response)
}

// unanswered is a request without an answer. One that was never sent has not run, and its
// address is left out.
func (c *TierCaller) unanswered(host, address string, err error) Reply {
	var operation *net.OpError
	if !errors.As(err, &operation) || operation.Op != "dial" {
		return Reply{Outcome: core.Unknown.String(), Code: fault.CodeLost}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.known[host]; known != nil {
		known.list = slices.DeleteFunc(known.list, func(one string) bool { return one == address })
	}
	return Reply{Outcome: core.NotRun.String(), Code: fault.CodeAddress}
}

// judgeTier reads an answer's outcome and coverage.
func judgeTier(response *http.Response) Reply {
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

// address returns the next address for a host, asking for addresses when none is known or
// their time has passed. When no directory answers the former ones stay in use.
func (c *TierCaller) address(ctx context.Context, host string) (string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.known[host]
	if known == nil || len(known.list) == 0 || !time.Now().Before(known.until) {
		renewed, err := c.renew(ctx, host)
		if err != nil && (known == nil || len(known.list) == 0) {
			return "", err
		}
		if err == nil {
			c.known[host], known = renewed, renewed
		}
	}
	known.turn++
	return known.list[known.turn%len(known.list)], nil
}

func (c *TierCaller) renew(ctx context.Context, host string) (*tierAddresses, error) {
	var last error
	for _, address := range c.directories {
		answer, err := c.directory.Resolve(ctx, address, host, c.dataCentre)
		if err == nil && len(answer.Addresses) == 0 {
			err = fault.NotRun(fault.CodeNotReady, address+" names no address", "try again")
		}
		if err != nil {
			last = err
			continue
		}
		keep := time.Duration(answer.TTLSeconds * float64(time.Second))
		return &tierAddresses{list: answer.Addresses, until: time.Now().Add(keep)}, nil
	}
	return nil, last
}
