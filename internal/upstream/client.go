package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Limits and times of the connections to upstreams.
const (
	maxReplyBytes = 8 << 20
	// idleConnection bounds the age of an idle connection: the longer one is
	// idle, the likelier something between the ends has forgotten its flow.
	idleConnection = 30 * time.Second
	dialTimeout    = time.Second
	maxHeaderBytes = 64 << 10
	// maxSubmitIdle is how long a connection may have been quiet and still carry a
	// submit. Something between the two ends may have lost track of a quieter
	// one; the submit would then wait for its deadline and end "unknown".
	maxSubmitIdle = time.Second
	decimal       = 10
	versionBits   = 64
)

// Call is one request to one replica.
type Call struct {
	Address   string
	Ref       core.ShardRef
	RequestID string
	Customer  core.Customer
	// Version is the index version wanted; 0 takes the newest.
	Version core.Version
	// RemainingTime is the time to the caller's deadline.
	RemainingTime time.Duration
	Body          Body
	// SubmitKey marks a must-not-repeat request. It is sent once.
	SubmitKey string
}

// Result is the end of a call.
type Result struct {
	Outcome    core.Outcome
	Reason     core.Reason
	Version    core.Version
	Serves     []core.Version
	Payload    []byte
	RetryAfter time.Duration
	Draining   bool
	// Load is the upstream's own figure, 0 to 1, or -1 when not given. It may
	// mislead: it is a hint only.
	Load float64
	// Refused says that the upstream took no connection.
	Refused bool
	// Broken is set when the upstream closed the connection instead of answering, Ended when it then refused a new one.
	Broken bool
	Ended  bool
	// Incarnation identifies the incarnation of the upstream at its address. It changes when this client detects that the
	// upstream has ended; 0 is a call without a connection.
	Incarnation uint64
	Latency     time.Duration
	Cause       error
}

// Client holds the connections to replicas, each within its share.
type Client struct {
	mutex sync.Mutex
	hosts map[string]*host
	// forgotten are the addresses of hosts that may be dropped.
	forgotten   map[string]struct{}
	dropped     atomic.Int64
	suspects    suspects
	submitIdle  time.Duration
	observer    Observer
	detectEnded bool
	onDropped   func(address, why string)
}

// NewClient makes a client without connections.
func NewClient() *Client {
	return &Client{hosts: map[string]*host{}, forgotten: map[string]struct{}{}, submitIdle: maxSubmitIdle}
}

// OnDroppedReply sets who is told of each crossed or cut reply. It must not block and
// must be set before the first call.
func (c *Client) OnDroppedReply(listener func(address, why string)) { c.onDropped = listener }

// DroppedReplies counts crossed or cut replies.
func (c *Client) DroppedReplies() int64 { return c.dropped.Load() }

// Do sends the call once and waits for its end. It never returns NotRun unless
// no connection was had or the upstream refused the work itself.
func (c *Client) Do(ctx context.Context, call Call) Result {
	result := c.do(ctx, call)
	if c.observer != nil {
		c.observer(call, result)
	}
	return result
}

func (c *Client) do(ctx context.Context, call Call) Result {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, call.RemainingTime)
	defer cancel()
	for {
		result, stale := c.try(ctx, call)
		if !stale {
			result.Latency = time.Since(started)
			return result
		}
	}
}

// try sends the call on one connection. It reports stale, with nothing sent,
// when it met a connection too long quiet for a submit and closed it; each such
// try uses up one idle connection, so a caller's loop ends.
func (c *Client) try(ctx context.Context, call Call) (Result, bool) {
	wire := &wire{submit: call.SubmitKey != "", maxIdle: c.submitIdle}
	request, err := newRequest(httptrace.WithClientTrace(ctx, wire.trace()), call)
	if err != nil {
		return Result{Outcome: core.NotRun, Reason: core.ReasonUpstreamFailed, Cause: err}, false
	}
	transport := c.transport(call.Address)
	defer c.done(call.Address, transport)
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.checkSilence(ctx, call.Address, transport, wire)
		result := failure(ctx, wire, err, 0)
		c.checkEnded(call.Address, wire, err, &result)
		return result, wire.refusedStale() && ctx.Err() == nil
	}
	c.replied(call.Address)
	return c.read(ctx, call, response, wire), false
}

// wire remembers whether a connection was had for a request, and which.
type wire struct {
	mutex      sync.Mutex
	connection net.Conn
	wrote      bool
	// submit asks for a connection that was used lately.
	submit      bool
	maxIdle     time.Duration
	stale       bool
	incarnation uint64
}

func (w *wire) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.connection = info.Conn
			if counted, ok := info.Conn.(*countedConn); ok {
				w.incarnation = counted.incarnation
			}
			if w.submit && info.WasIdle && info.IdleTime > w.maxIdle {
				// net/http calls this before it writes. On the closed
				// connection its write fails with nothing sent, and without
				// GetBody it does not go on to another by itself.
				w.stale = true
				_ = info.Conn.Close()
				return
			}
			w.wrote = true
		},
	}
}

// used reports whether any byte of the request may have left.
func (w *wire) used() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.wrote
}

// refusedStale reports whether the connection was too long quiet and closed.
func (w *wire) refusedStale() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stale
}

// close ends the connection: what follows a crossed or cut reply on it cannot
// be trusted.
func (w *wire) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.connection != nil {
		_ = w.connection.Close()
	}
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	body, err := json.Marshal(call.Body)
	if err != nil {
		return nil, err
	}
	verb := VerbQuery
	if call.SubmitKey != "" {
		verb = VerbSubmit
	}
	url := "http://" + call.Address + PathPrefix + call.Ref.String() + "/" + verb
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, call.RequestID)
	header.Set(HeaderCustomer, string(call.Customer))
	header.Set(HeaderTimeLeft, strconv.FormatInt(call.RemainingTime.Milliseconds(), decimal))
	if call.Version != 0 {
		header.Set(HeaderVersion, strconv.FormatUint(uint64(call.Version), decimal))
	}
	if call.SubmitKey != "" {
		// The key travels under a name of ours: net/http takes a request with
		// an Idempotency-Key header for replayable and would send it again by
		// itself when a reused connection breaks.
		header.Set(HeaderSubmitKey, call.SubmitKey)
		request.GetBody = nil
	}
	return request, nil
}

func failure(ctx context.Context, wire *wire, err error, latency time.Duration) Result {
	result := Result{Outcome: core.Unknown, Reason: core.ReasonUpstreamFailed, Load: -1, Latency: latency, Cause: err}
	if !wire.used() {
		result.Outcome = core.NotRun
		result.Refused = isDial(err)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.Reason = core.ReasonDeadline
	case ctx.Err() != nil:
		result.Reason = core.ReasonCancelled
	}
	return result
}

func isDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (c *Client) read(ctx context.Context, call Call, response *http.Response, wire *wire) Result {
	defer func() { _ = response.Body.Close() }()
	result := headerResult(response)
	if response.Header.Get(HeaderRequestID) != call.RequestID {
		return c.dropReply(call.Address, wire, "the reply carries another request's id")
	}
	if !framed(response) {
		return c.dropReply(call.Address, wire, "the reply has no length")
	}
	payload, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil && ctx.Err() != nil {
		return failure(ctx, wire, err, 0)
	}
	if err != nil || len(payload) > maxReplyBytes {
		dropped := c.dropReply(call.Address, wire, "the reply was cut short or is too long")
		c.checkEnded(call.Address, wire, err, &dropped)
		return dropped
	}
	if response.StatusCode != http.StatusOK {
		return notOK(result, response)
	}
	result.Outcome = core.Done
	result.Payload = payload
	return result
}

// framed reports whether the end of the reply can be told from a lost
// connection.
func framed(response *http.Response) bool {
	return response.ProtoMajor >= 2 || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

func (c *Client) dropReply(address string, wire *wire, why string) Result {
	c.dropped.Add(1)
	wire.close()
	if c.onDropped != nil {
		c.onDropped(address, why)
	}
	return Result{Outcome: core.Unknown, Reason: core.ReasonCrossedReply, Load: -1, Cause: errors.New(why)}
}

func notOK(result Result, response *http.Response) Result {
	result.Outcome = core.Unknown
	result.Reason = core.ReasonUpstreamFailed
	result.Cause = errors.New("status " + response.Status)
	switch response.Header.Get(HeaderNotRun) {
	case NotRunVersion:
		result.Outcome, result.Reason = core.NotRun, core.ReasonVersionGone
	case NotRunOverloaded:
		result.Outcome, result.Reason = core.NotRun, core.ReasonOverloaded
	case NotRunDraining:
		result.Outcome, result.Reason = core.NotRun, core.ReasonDraining
		result.Draining = true
	case NotRunDeadline:
		result.Outcome, result.Reason = core.NotRun, core.ReasonDeadline
	}
	return result
}

func headerResult(response *http.Response) Result {
	header := response.Header
	result := Result{Load: -1}
	result.Version = parseVersion(header.Get(HeaderVersion))
	for _, field := range strings.Split(header.Get(HeaderVersions), ",") {
		if version := parseVersion(strings.TrimSpace(field)); version != 0 {
			result.Serves = append(result.Serves, version)
		}
	}
	result.Draining = header.Get(HeaderDraining) == "true"
	if load, err := strconv.ParseFloat(header.Get(HeaderLoad), versionBits); err == nil {
		result.Load = load
	}
	if ms, err := strconv.Atoi(header.Get(HeaderRetryAfter)); err == nil && ms > 0 {
		result.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return result
}

func parseVersion(text string) core.Version {
	number, err := strconv.ParseUint(text, decimal, versionBits)
	if err != nil {
		return 0
	}
	return core.Version(number)
}
