// Package confservice is the client of the platform's configuration service and VM
// list. Both are read-only; a watch counts as one call however long it waits.
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

// Paths, query parameters and headers of the platform's published protocol.
const (
	PathConfig = "/v1/config"
	PathVMs    = "/v1/vms"
	ParamAfter = "after"
	ParamWait  = "wait_ms"
	// HeaderEra counts how often the service was restored from a copy of itself and so reuses
	// revisions. A service without it has one era.
	HeaderEra = "Store-Era"
)

const (
	maxReplyBytes = 8 << 20
	// maxReplyHeadBytes limits the head of a reply, with the interim replies before it.
	maxReplyHeadBytes = 64 << 10
	// replyTimeout is how long a reply may take beyond the wait that the call asks for.
	replyTimeout = 5 * time.Second
	base10       = 10
)

// Config is one revision of the operators' configuration text.
type Config struct {
	// Revision is the service's own revision on the wire; the methods of Client return its place (package era).
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// VMState is the state of a VM in the VM list.
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

// VMList is a version of the VM list. It may be stale.
type VMList struct {
	// Sequence is the service's own sequence on the wire; the methods of Client return its place (package era).
	Sequence uint64 `json:"sequence"`
	VMs      []VM   `json:"vms"`
}

// Client reads from one platform address.
type Client struct {
	base string
	http *http.Client
	// era is the highest era received.
	era atomic.Uint64
}

// NewClient returns a client for a base URL such as http://10.0.0.1:7000.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: maxReplyHeadBytes}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ReadConfig returns the current revision. With a wait, it returns once the revision
// differs from after, or with changed false when the wait ends first.
func (c *Client) ReadConfig(ctx context.Context, after uint64, wait time.Duration) (config Config, changed bool, err error) {
	serviceEra, changed, err := c.read(ctx, PathConfig, after, wait, &config)
	if err == nil {
		config.Revision, err = place(serviceEra, config.Revision)
	}
	return config, changed, err
}

// ReadVMs returns the current VM list and waits in the same way as ReadConfig.
func (c *Client) ReadVMs(ctx context.Context, after uint64, wait time.Duration) (list VMList, changed bool, err error) {
	serviceEra, changed, err := c.read(ctx, PathVMs, after, wait, &list)
	if err == nil {
		list.Sequence, err = place(serviceEra, list.Sequence)
	}
	return list, changed, err
}

// place returns the place of a revision. A revision too high for a place is an error.
func place(serviceEra, revision uint64) (uint64, error) {
	if revision > era.MaxRevision {
		return 0, platformFault(fmt.Sprintf("the platform's revision %d exceeds the maximum %d", revision, uint64(era.MaxRevision)), nil)
	}
	return era.Place(serviceEra, revision), nil
}

// read makes a call. When it finds nothing new but a newer era, a second call follows at once, since the same
// revision stands for other contents in that era.
func (c *Client) read(ctx context.Context, path string, after uint64, wait time.Duration, out any) (serviceEra uint64, changed bool, err error) {
	serviceEra, changed, err = c.get(ctx, path, era.Revision(after), wait, out)
	if err == nil && !changed && serviceEra > era.Of(after) {
		return c.get(ctx, path, 0, 0, out)
	}
	return serviceEra, changed, err
}

// replyEra returns the era of a reply. Without a valid era header, the highest era received is assumed, so that the
// reply's revisions replace nothing newer. An older era is an error.
func (c *Client) replyEra(header http.Header) (uint64, error) {
	known := c.era.Load()
	received, err := strconv.ParseUint(header.Get(HeaderEra), base10, 64)
	switch {
	case err != nil || received > era.Max:
		return known, nil
	case received < known:
		return 0, platformFault(fmt.Sprintf("the platform answered from era %d, but era %d is known already", received, known), nil)
	}
	c.era.Store(received)
	return received, nil
}

func (c *Client) get(ctx context.Context, path string, after uint64, wait time.Duration, out any) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replyTimeout)
	defer cancel()
	url := c.base + path
	if wait > 0 {
		url += "?" + ParamAfter + "=" + strconv.FormatUint(after, base10) + "&" + ParamWait + "=" + strconv.FormatInt(wait.Milliseconds(), base10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false, platformFault("the platform address is not a valid URL", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, false, platformFault("reading from the platform failed", err)
	}
	defer func() { _ = response.Body.Close() }()
	serviceEra, err := c.replyEra(response.Header)
	if err != nil {
		return 0, false, err
	}
	if response.StatusCode == http.StatusNotModified {
		return serviceEra, false, nil
	}
	if response.StatusCode != http.StatusOK {
		return 0, false, platformFault("the platform answered with status "+response.Status, nil)
	}
	body := &io.LimitedReader{R: response.Body, N: maxReplyBytes}
	if err := json.NewDecoder(body).Decode(out); err != nil {
		if body.N == 0 {
			return 0, false, platformFault(fmt.Sprintf("the platform's reply is longer than %d bytes", maxReplyBytes), err)
		}
		return 0, false, platformFault("the platform's reply could not be decoded", err)
	}
	return serviceEra, true, nil
}

func platformFault(message string, cause error) error {
	return &fault.Error{Code: fault.CodePlatform, Outcome: core.NotRun, Message: message, Fix: "check the platform's state and address", Cause: cause}
}
