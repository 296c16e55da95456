// Package replicaconn holds the connections to replicas and sends requests over
// them: HTTP/1.1, one request at a time per connection, and no automatic retries.
//
// Only net/http's parser is used, not its client: the client resends a request by
// itself when a reused connection breaks. That attempt would not be counted, and a
// request that must not be repeated could run twice.
package replicaconn

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/connerr"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// Limits and timeouts of the connections.
const (
	// maxBodyBytes bounds an answer that is read into memory whole; a longer one is an error.
	maxBodyBytes = 8 << 20
	// streamThresholdBytes is the length up to which even an answer that may be streamed is
	// buffered. While nothing of it has been passed on, another replica can be tried if this
	// one cuts the answer. Longer answers are streamed to bound the node's memory: a VM with
	// 184 MB could not hold twenty answers of 8 MB.
	streamThresholdBytes = 1 << 20
	// dialTimeout bounds the opening of a connection. A running replica accepts one within
	// about ten milliseconds; one that lost power never answers.
	dialTimeout = 300 * time.Millisecond
	// lingerTimeout is how long an exchange whose answer is no longer wanted may go on, so
	// that its connection can be reused. A replica stops the work when the connection closes,
	// and may be kept busy for a caller that left for half a second at most.
	lingerTimeout = 250 * time.Millisecond
	// maxOnceIdle is how long a connection may have been idle and still carry a request that
	// must not be repeated. If the replica or a device on the path has dropped the
	// connection, it cannot be known whether that request ran.
	maxOnceIdle = 2 * time.Second
	// defaultIdleTimeout applies where a replica does not state its idle timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is subtracted from the idle timeout that a replica states in whole seconds,
	// so that a request does not cross the replica's close.
	idleMargin = time.Second
	// unackedTimeout is the TCP_USER_TIMEOUT: a connection with bytes unacknowledged for this
	// long is ended.
	unackedTimeout = 2 * time.Second
)

// Request is one request to one replica.
type Request struct {
	// Replica is the addressed incarnation, Address where it listens.
	Replica replica.Incarnation
	Address string
	// ByteCounter, when set, counts the bytes of a connection that is opened for this request.
	ByteCounter metrics.Counter
	// MaxConnections bounds this node's connections to the replica.
	MaxConnections int
	// MaxBodyBytes bounds the bytes of request bodies that the replica holds for this node; 0 is no bound.
	MaxBodyBytes int64
	Method       string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// HeaderLines is Header as RenderHeader returns it, for requests with many sends; nil renders it for this one.
	HeaderLines []byte
	Body        []byte
	// ID is the request id that the replica echoes: an answer with another id belongs to
	// another request. It is not checked when empty.
	ID string
	// Once marks a request that must not run twice: it uses recently used or new connections only.
	Once bool
	// Stream lets a long answer be read in pieces: see Response.Rest.
	Stream bool
	// OnLate, when set, receives a whole answer that came after the context had ended: the
	// replica is slow, not dead. It must not block.
	OnLate func(*Response)
	// UserData is passed through to the listener of Client.OnReplicaEnded.
	UserData any
	// Permit, when set, must still allow the request when its first byte is about to be written.
	Permit *Permit
}

// Response is the answer to a Request.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning when Rest is set.
	Body []byte
	// Rest streams what follows Body, or is nil when Body is complete. It must be closed.
	Rest *Rest
	// Length is the length of the whole body, also when no body is sent; -1 when the answer
	// does not state it.
	Length int64
}

// Error is the failure of an exchange that brought no whole answer.
type Error struct {
	Step string
	// Sent is set when any byte of the request may have been sent.
	Sent bool
	// Broken is set when the replica closed the connection instead of answering.
	Broken bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string { return e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var (
	errOtherAnswer = errors.New("the answer belongs to another request")
	errUnsolicited = errors.New("the replica sent bytes without a request")
	errTooLong     = errors.New("the answer body is longer than 8 MiB")
	errClosed      = errors.New("the client is closed")
	errNotKept     = errors.New("this node keeps no idle connection")
	errRefusing    = errors.New("the replica ends new connections without an answer")
	errAbandoned   = errors.New("this node abandoned the connection")
	errUnwanted    = errors.New("no further requests are sent to this replica")
	errRestarted   = errors.New("the replica has restarted")
)

// ErrRevoked is the cause of the failure of a request whose permit was revoked before it was sent.
var ErrRevoked = errors.New("the request was withdrawn before it was sent")

// Wire writes and reads the headers of the replicas' protocol.
type Wire interface {
	// Mark sets the lines of a send: the target replica and the remaining time. They replace those of its request.
	Mark(header http.Header, replica string, remaining time.Duration)
	// IsMark reports whether Mark sets the lines with a name.
	IsMark(name string) bool
	// EchoedID returns the id of the request that an answer belongs to.
	EchoedID(header http.Header) string
	// NotRun reports whether an answer proves that the request did not run.
	NotRun(status int, header http.Header) bool
}

// Client holds the connections to all replicas. Close ends them.
type Client struct {
	wire   Wire
	mutex  sync.Mutex
	pools  map[replica.Incarnation]*pool
	closed bool
	opened int64
	// open counts the connections that are open or being opened, at most maxOpen of them unless that is 0.
	open, maxOpen int
	bodies        *bodyBytes
	// endedUnaccepted counts the connections that replicas closed before they were accepted.
	endedUnaccepted int64
	suspend         suspendWatch
	// keepsNoIdle is set if a connection is closed when no request needs it.
	keepsNoIdle bool
	// onEnded receives the ends of replicas with requests in flight.
	onEnded func(End)
	// successors detects that a replica whose connections broke was replaced by another incarnation at its address.
	successors *successors
	// acceptTime returns after which time an open connection counts as accepted; tests replace it.
	acceptTime func(openTook time.Duration) time.Duration
	// refuses checks whether a replica refuses connections; tests replace it.
	refuses func(p *pool, request *Request) bool
	// answerMemory bounds the memory for long answers that are being read.
	answerMemory bodyMemory
}

// OnReplicaEnded sets the listener that is called when a replica has ended with requests in flight, those included that
// were already given up. It may be called more than once for the same incarnation. It must be set before the first
// request, and must not block: a request may fail only after it has returned.
func (c *Client) OnReplicaEnded(listener func(End)) { c.onEnded = listener }

// NewClient returns a client without connections.
func NewClient(wire Wire) *Client {
	c := &Client{wire: wire, pools: map[replica.Incarnation]*pool{}, successors: newSuccessors(), suspend: newSuspendWatch(suspendedTime()), bodies: newBodyBytes()}
	c.refuses, c.acceptTime = c.refusesConnections, acceptTime
	return c
}

// ConnectionsOpened counts the connections opened since the start.
func (c *Client) ConnectionsOpened() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened
}

// ConnectionsNotAccepted counts the connections that replicas refused or closed before they were accepted, since the
// start.
func (c *Client) ConnectionsNotAccepted() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.endedUnaccepted
}

// KeepIdle sets whether connections are kept while no request needs them. If not, those that are idle are closed.
func (c *Client) KeepIdle(keep bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.keepsNoIdle = !keep
	if keep {
		return
	}
	for _, p := range c.pools {
		p.closeIdle(errNotKept)
	}
}

// OpenConnections counts the connections that are open now.
func (c *Client) OpenConnections() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := 0
	for _, p := range c.pools {
		total += p.open
	}
	return total
}

// WaitingRequests counts the requests that wait for a free connection.
func (c *Client) WaitingRequests() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := 0
	for _, p := range c.pools {
		total += len(p.waiters)
	}
	return total
}

// Close closes the idle connections; the others are closed when their exchanges end.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, p := range c.pools {
		p.closeIdle(errClosed)
	}
}

// Retain closes the idle connections to replicas that are no longer wanted, and fails the requests
// that wait for one as not sent. Without this, a request that waits for seconds at a busy replica
// would reach it long after the replica began to drain.
func (c *Client) Retain(wanted func(incarnation replica.Incarnation) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for incarnation, p := range c.pools {
		if wanted(incarnation) {
			continue
		}
		p.closeIdle(errAbandoned)
		p.failWaiters(errUnwanted)
		if p.open == 0 {
			delete(c.pools, incarnation)
		}
	}
}

// CloseRestarted closes all connections to an incarnation that has been replaced by a later one. No
// answer can come on them any more. Requests sent on them may have run; these and the requests that
// wait for a connection fail now instead of at their deadlines.
func (c *Client) CloseRestarted(incarnation replica.Incarnation) {
	c.mutex.Lock()
	p := c.pools[incarnation]
	if p == nil {
		c.mutex.Unlock()
		return
	}
	p.restarted = true
	p.idle = nil
	connections := slices.Collect(maps.Keys(p.connections))
	for len(p.waiters) > 0 {
		p.wakeOne()
	}
	c.mutex.Unlock()
	for _, connection := range connections {
		connection.close(errRestarted)
	}
}

// Do sends the request once and waits for its whole answer. When the context ends it returns at
// once; the exchange then has lingerTimeout to finish.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	ex := &exchange{request: request, done: make(chan outcome, 1)}
	conn, err := c.connect(ctx, ex)
	if err != nil {
		return nil, &Error{Step: "connect", Cause: err}
	}
	if !request.Permit.use() {
		conn.withdraw(ex)
		return nil, &Error{Step: "connect", Cause: ErrRevoked}
	}
	if written, err := conn.write(ctx, ex); err != nil {
		conn.close(err)
		return nil, &Error{Step: "send", Sent: written > 0, Broken: written > 0 && connerr.ClosedByPeer(err), Cause: err}
	}
	select {
	case result := <-ex.done:
		return result.response, result.err
	case <-ctx.Done():
		conn.lingerFor(ex)
		return nil, &Error{Step: "await answer", Sent: true, Cause: context.Cause(ctx)}
	}
}

// connect returns a connection that carries the exchange. An idle connection may have been closed
// just now; nothing was sent on it, so the next one is taken.
func (c *Client) connect(ctx context.Context, ex *exchange) (*conn, error) {
	for {
		conn, err := c.acquire(ctx, ex.request)
		if err != nil {
			return nil, err
		}
		if conn.begin(ex) {
			return conn, nil
		}
	}
}
