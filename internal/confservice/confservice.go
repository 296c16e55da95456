// Package confservice reads the configuration service and the VM list. Both can
// only be read and watched; a waiting watch counts as one call.
package confservice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/era"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Paths and query names of the platform's published protocol.
const (
	PathConfig = "/v1/config"
	PathVMs    = "/v1/vms"
	ParamAfter = "after"
	ParamWait  = "wait_ms"
	// HeaderEra tells how often the service came back from a copy of itself, which gives revisions
	// out again. A service without it has one era.
	HeaderEra = "Store-Era"
)

const (
	maxReplyBytes = 8 << 20
	watchSlack    = 5 * time.Second
	decimal       = 10
)

// Config is one revision of the operators' text.
type Config struct {
	// Revision is the service's own on the wire, and its place (package era) to readers.
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
	// Sequence is the service's own on the wire, and its place (package era) to readers.
	Sequence uint64 `json:"sequence"`
	VMs      []VM   `json:"vms"`
}

// Client reads one platform address.
type Client struct {
	base string
	http *http.Client
	// era is the highest that was told.
	era atomic.Uint64
}

// NewClient makes a client for a base URL such as http://10.0.0.1:7000.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ReadConfig returns the present revision. With wait, it returns when another
// revision than after is there or the wait is over; changed is false then.
func (c *Client) ReadConfig(ctx context.Context, after uint64, wait time.Duration) (config Config, changed bool, err error) {
	told, changed, err := c.read(ctx, PathConfig, after, wait, &config)
	if err == nil {
		config.Revision, err = place(told, config.Revision)
	}
	return config, changed, err
}

// ReadVMs returns the present VM list, in the manner of ReadConfig.
func (c *Client) ReadVMs(ctx context.Context, after uint64, wait time.Duration) (list VMList, changed bool, err error) {
	told, changed, err := c.read(ctx, PathVMs, after, wait, &list)
	if err == nil {
		list.Sequence, err = place(told, list.Sequence)
	}
	return list, changed, err
}

// place puts a revision into its era; one that no place holds is an error.
func place(told, revision uint64) (uint64, error) {
	if revision > era.MaxRevision {
		return 0, platformFault(fmt.Sprintf("the platform's revision is %d, at most %d is possible", revision, uint64(era.MaxRevision)), nil)
	}
	return era.Place(told, revision), nil
}

// read makes a call, and a second one at once where the first found nothing new in another era: the same
// revision stands for other contents there.
func (c *Client) read(ctx context.Context, path string, after uint64, wait time.Duration, out any) (told uint64, changed bool, err error) {
	told, changed, err = c.get(ctx, path, era.Revision(after), wait, out)
	if err == nil && !changed && told > era.Of(after) {
		return c.get(ctx, path, 0, 0, out)
	}
	return told, changed, err
}

// eraTold is the era of an answer. One that names none, or none that can be read, counts as of the highest that was
// told, where its revisions take nothing back; an older one is an error.
func (c *Client) eraTold(header http.Header) (uint64, error) {
	known := c.era.Load()
	told, err := strconv.ParseUint(header.Get(HeaderEra), decimal, 64)
	switch {
	case err != nil || told > era.Max:
		return known, nil
	case told < known:
		return 0, platformFault(fmt.Sprintf("the platform answers from era %d, era %d is known already", told, known), nil)
	}
	c.era.Store(told)
	return told, nil
}

func (c *Client) get(ctx context.Context, path string, after uint64, wait time.Duration, out any) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	url := c.base + path
	if wait > 0 {
		url += "?" + ParamAfter + "=" + strconv.FormatUint(after, decimal) + "&" + ParamWait + "=" + strconv.FormatInt(wait.Milliseconds(), decimal)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false, platformFault("the platform address is not a URL", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, false, platformFault("the platform cannot be read", err)
	}
	defer func() { _ = response.Body.Close() }()
	told, err := c.eraTold(response.Header)
	if err != nil {
		return 0, false, err
	}
	if response.StatusCode == http.StatusNotModified {
		return told, false, nil
	}
	if response.StatusCode != http.StatusOK {
		return 0, false, platformFault("the platform answered "+response.Status, nil)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes))
	if err := decoder.Decode(out); err != nil {
		return 0, false, platformFault("the platform's answer cannot be read", err)
	}
	return told, true, nil
}

func platformFault(message string, cause error) error {
	return &fault.Error{Code: fault.CodePlatform, Outcome: core.NotRun, Message: message, Fix: "check the platform's state and address", Cause: cause}
}
