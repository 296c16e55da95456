// Package confservice reads the configuration service and the VM list. Both can
// only be read and watched; a waiting watch counts as one call.
package confservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Paths and query names of the platform's published protocol.
const (
	PathConfig = "/v1/config"
	PathVMs    = "/v1/vms"
	ParamAfter = "after"
	ParamWait  = "wait_ms"
)

const (
	maxReplyBytes = 8 << 20
	watchSlack    = 5 * time.Second
	decimal       = 10
)

// Config is one revision of the operators' text.
type Config struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// VMState says whether a VM is to be used.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	ID              core.NodeID `json:"id"`
	DataCentre      string      `json:"data_centre"`
	State           VMState     `json:"state"`
	PeerAddress     string      `json:"peer_address"`
	CallerAddress   string      `json:"caller_address"`
	OperatorAddress string      `json:"operator_address"`
}

// VMList is a reading of the VM list. It lags behind the truth.
type VMList struct {
	Sequence uint64 `json:"sequence"`
	VMs      []VM   `json:"vms"`
}

// Client reads one platform address.
type Client struct {
	base string
	http *http.Client
}

// NewClient makes a client for a base URL such as http://10.0.0.1:7000.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ReadConfig returns the present revision. With wait, it returns when a
// revision above after is there or the wait is over; changed is false then.
func (c *Client) ReadConfig(ctx context.Context, after uint64, wait time.Duration) (config Config, changed bool, err error) {
	changed, err = c.get(ctx, PathConfig, after, wait, &config)
	return config, changed, err
}

// ReadVMs returns the present VM list, in the manner of ReadConfig.
func (c *Client) ReadVMs(ctx context.Context, after uint64, wait time.Duration) (list VMList, changed bool, err error) {
	changed, err = c.get(ctx, PathVMs, after, wait, &list)
	return list, changed, err
}

func (c *Client) get(ctx context.Context, path string, after uint64, wait time.Duration, out any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	url := c.base + path
	if wait > 0 {
		url += "?" + ParamAfter + "=" + strconv.FormatUint(after, decimal) + "&" + ParamWait + "=" + strconv.FormatInt(wait.Milliseconds(), decimal)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, platformFault("the platform address is not a URL", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false, platformFault("the platform cannot be read", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return false, nil
	}
	if response.StatusCode != http.StatusOK {
		return false, platformFault("the platform answered "+response.Status, nil)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes))
	if err := decoder.Decode(out); err != nil {
		return false, platformFault("the platform's answer cannot be read", err)
	}
	return true, nil
}

func platformFault(message string, cause error) error {
	return &fault.Error{Code: fault.CodePlatform, Outcome: core.NotRun, Message: message, Fix: "check the platform's state and address", Cause: cause}
}
