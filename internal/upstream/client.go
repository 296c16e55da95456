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

// Limits and timeouts of the connections to upstreams.
const (
	maxReplyBytes = 8 << 20
	// idleConnTimeout bounds how long a connection stays open idle: the longer it is idle,
	// the likelier a device on the path has dropped its state.
	idleConnTimeout = 30 * time.Second
	dialTimeout     = time.Second
	maxHeaderBytes  = 64 << 10
	// maxSubmitIdle is how long a connection may have been idle and still carry a submit. A
	// device on the path may have dropped the state of a longer idle one; the submit would
	// then wait until its deadline and end "unknown".
	maxSubmitIdle = time.Second
	decimal       = 10
	numberBits    = 64
)

// Call is one request to one replica.
type Call struct {
	Address   string
	Ref       core.ShardRef
	RequestID string
	Customer  core.Customer
	// Version is the requested index version; 0 requests the newest.
	Version core.Version
	// RemainingTime is the time until the caller's deadline.
	RemainingTime time.Duration
	Body          Body
	// SubmitKey marks a request that must not be repeated. It is sent once.
	SubmitKey string
}

// Result is the result of a call.
type Result struct {
	Outcome    core.Outcome
	Reason     core.Reason
	Version    core.Version
	Serves     []core.Version
	Payload    []byte
	RetryAfter time.Duration
	Draining   bool
	// Load is the load that the upstream reports, 0 to 1, or -1 when it reports none. It
	// may be wrong and is only a hint.
	Load float64
	// Refused is set when no connection to the upstream could be opened.
	Refused bool
	// Broken is set when the upstream closed the connection instead of replying, Ended when it then refused a new one.
	Broken bool
	Ended  bool
	// Incarnation identifies the incarnation of the upstream at its address. It changes when this client detects that the
	// upstream has ended; 0 stands for a call without a connection.
	Incarnation uint64
	Latency     time.Duration
	Cause       error
}

// Client holds the connections to replicas, each address within its share.
type Client struct {
	mutex sync.Mutex
	hosts map[string]*host
	// removed are the addresses whose hosts may be deleted.
	removed     map[string]struct{}
	dropped     atomic.Int64
	silence     silenceTracker
	submitIdle  time.Duration
	observer    Observer
	detectEnded bool
	onDropped   func(address, why string)
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{hosts: map[string]*host{}, removed: map[string]struct{}{}, submitIdle: maxSubmitIdle}
}

// OnDroppedReply sets the listener that receives each crossed or cut reply. It must not block
// and must be set before the first call.
func (c *Client) OnDroppedReply(listener func(address, why string)) { c.onDropped = listener }

// DroppedReplies counts the crossed and cut replies.
func (c *Client) DroppedReplies() int64 { return c.dropped.Load() }

// Do sends the call once and waits for its result. It returns NotRun only if no connection was
// obtained or the upstream itself refused the work.
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
		result, stale := c.attempt(ctx, call)
		if !stale {
			result.Latency = time.Since(started)
			return result
		}
	}
}

// attempt sends the call on one connection. It reports stale, with nothing sent, if that
// connection had been idle too long for a submit and was closed. Each such attempt uses up one
// idle connection, so that the loop of the calling function ends.
func (c *Client) attempt(ctx context.Context, call Call) (Result, bool) {
	trace := &connTrace{submit: call.SubmitKey != "", maxIdle: c.submitIdle}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace.clientTrace()), call)
	if err != nil {
		return Result{Outcome: core.NotRun, Reason: core.ReasonUpstreamFailed, Cause: err}, false
	}
	transport := c.transport(call.Address)
	defer c.finishRequest(call.Address, transport)
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.checkSilence(ctx, call.Address, transport, trace)
		result := failure(ctx, trace, err, 0)
		c.checkEnded(call.Address, trace, err, &result)
		return result, trace.rejectedStale() && ctx.Err() == nil
	}
	c.noteReply(call.Address)
	return c.readReply(ctx, call, response, trace), false
}

// connTrace records the connection that a request was given, if any.
type connTrace struct {
	mutex      sync.Mutex
	connection net.Conn
	gotConn    bool
	// submit requires a connection that was used recently.
	submit      bool
	maxIdle     time.Duration
	stale       bool
	incarnation uint64
}

func (t *connTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.mutex.Lock()
			defer t.mutex.Unlock()
			t.connection = info.Conn
			if counted, ok := info.Conn.(*countedConn); ok {
				t.incarnation = counted.incarnation
			}
			if t.submit && info.WasIdle && info.IdleTime > t.maxIdle {
				// net/http calls this before it writes. On the closed connection
				// its write fails with nothing sent, and without GetBody it does
				// not retry on another connection by itself.
				t.stale = true
				_ = info.Conn.Close()
				return
			}
			t.gotConn = true
		},
	}
}

// mayHaveSent reports whether any byte of the request may have been sent.
func (t *connTrace) mayHaveSent() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.gotConn
}

// rejectedStale reports whether the connection was closed because it had been idle too long.
func (t *connTrace) rejectedStale() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.stale
}

// close closes the connection: after a crossed or cut reply nothing on it can be trusted.
func (t *connTrace) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.connection != nil {
		_ = t.connection.Close()
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
		// The key has a header name of this protocol's own: net/http treats a
		// request with an Idempotency-Key header as replayable and would resend
		// it by itself when a reused connection breaks.
		header.Set(HeaderSubmitKey, call.SubmitKey)
		request.GetBody = nil
	}
	return request, nil
}

func failure(ctx context.Context, trace *connTrace, err error, latency time.Duration) Result {
	result := Result{Outcome: core.Unknown, Reason: core.ReasonUpstreamFailed, Load: -1, Latency: latency, Cause: err}
	if !trace.mayHaveSent() {
		result.Outcome = core.NotRun
		result.Refused = isDialError(err)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.Reason = core.ReasonDeadline
	case ctx.Err() != nil:
		result.Reason = core.ReasonCancelled
	}
	return result
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (c *Client) readReply(ctx context.Context, call Call, response *http.Response, trace *connTrace) Result {
	defer func() { _ = response.Body.Close() }()
	result := headerResult(response)
	if response.Header.Get(HeaderRequestID) != call.RequestID {
		return c.dropReply(call.Address, trace, "the reply carries another request's id")
	}
	if !framed(response) {
		return c.dropReply(call.Address, trace, "the reply has no length")
	}
	payload, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil && ctx.Err() != nil {
		return failure(ctx, trace, err, 0)
	}
	if err != nil || len(payload) > maxReplyBytes {
		dropped := c.dropReply(call.Address, trace, "the reply was cut short or is longer than 8 MiB")
		c.checkEnded(call.Address, trace, err, &dropped)
		return dropped
	}
	if response.StatusCode != http.StatusOK {
		return notOKResult(result, response)
	}
	result.Outcome = core.Done
	result.Payload = payload
	return result
}

// framed reports whether the end of the reply can be distinguished from a lost connection.
func framed(response *http.Response) bool {
	return response.ProtoMajor >= 2 || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

func (c *Client) dropReply(address string, trace *connTrace, why string) Result {
	c.dropped.Add(1)
	trace.close()
	if c.onDropped != nil {
		c.onDropped(address, why)
	}
	return Result{Outcome: core.Unknown, Reason: core.ReasonCrossedReply, Load: -1, Cause: errors.New(why)}
}

func notOKResult(result Result, response *http.Response) Result {
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
	if load, err := strconv.ParseFloat(header.Get(HeaderLoad), numberBits); err == nil {
		result.Load = load
	}
	if ms, err := strconv.Atoi(header.Get(HeaderRetryAfter)); err == nil && ms > 0 {
		result.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return result
}

func parseVersion(text string) core.Version {
	number, err := strconv.ParseUint(text, decimal, numberBits)
	if err != nil {
		return 0
	}
	return core.Version(number)
}
