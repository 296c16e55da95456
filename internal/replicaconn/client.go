// Package replicaconn holds the connections to replicas and sends requests over
// them: HTTP/1.1, one request at a time on a connection, each request exactly
// once.
//
// net/http's own client is not used for the exchange, only its parser: it sends
// a request again by itself when a reused connection breaks, which would be an
// arrival that nobody counts and, for what must not run twice, a second run.
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

// Limits and times of the connections.
const (
	// maxBodyBytes bounds an answer that is taken whole; a longer one is a failure.
	maxBodyBytes = 8 << 20
	// streamFrom is the length up to which an answer that may be passed on in pieces is
	// taken whole all the same. While none of it has been passed on, a replica that cuts it
	// can be replaced by another; beyond it the node's memory matters more: a VM with
	// 184 MB could not hold twenty answers of 8 MB.
	streamFrom = 1 << 20
	// dialTimeout bounds the opening of a connection. A replica answers it within
	// ten milliseconds or so; one that is dark never does.
	dialTimeout = 300 * time.Millisecond
	// linger is how long an exchange whose answer is no longer wanted may still
	// come to its end, so that its connection can be used again. A replica drops
	// the work when the connection closes, and callers that left may keep a
	// replica busy for half a second at most.
	linger = 250 * time.Millisecond
	// freshIdle is how long a connection may have been idle and still carry a
	// request that must not be repeated: if the replica or something between has
	// forgotten the connection, whether that request ran cannot be known.
	freshIdle = 2 * time.Second
	// defaultIdle is used where a replica does not state its idle timeout.
	defaultIdle = 20 * time.Second
	// idleMargin is kept below the idle timeout that a replica states, in whole
	// seconds, so that a request does not cross the replica's close.
	idleMargin = time.Second
	// userTimeout is the TCP_USER_TIMEOUT: bytes that nobody acknowledges for this
	// long end the connection.
	userTimeout = 2 * time.Second
)

// Request is one request to one replica.
type Request struct {
	// Replica is the incarnation meant, Address where it listens.
	Replica replica.Incarnation
	Address string
	// ByteCounter, when set, counts what a connection that is opened for the request carries.
	ByteCounter metrics.Counter
	// MaxConnections bounds this node's connections to the replica.
	MaxConnections int
	Method         string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is what the replica echoes; an answer with another id belongs to another
	// request. It is not checked when empty.
	ID string
	// Once requests must not run twice: they use fresh connections only.
	Once bool
	// Stream requests take a long answer in pieces: see Response.Rest.
	Stream bool
	// OnLate, when set, is told a whole answer that came after the context had ended:
	// the replica is slow, not dead. It must not block.
	OnLate func(*Response)
	// UserData is handed to Client.OnReplicaEnded as it is.
	UserData any
}

// Response is an answer.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning when Rest is set.
	Body []byte
	// Rest is what follows Body; nil when Body is all. It must be closed.
	Rest *Rest
	// Length is the whole body's length, also where none is sent; -1 when the answer does
	// not state it.
	Length int64
}

// Error is an exchange that brought no whole answer.
type Error struct {
	Step string
	// Sent is set when any byte of the request may have left.
	Sent bool
	// Broken is set when the replica ended the connection in place of an answer.
	Broken bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string { return e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var (
	errOtherAnswer = errors.New("the answer belongs to another request")
	errUnasked     = errors.New("bytes came that no request asked for")
	errTooLong     = errors.New("the answer is longer than this node takes")
	errClosed      = errors.New("the client is closed")
	errRefusing    = errors.New("the replica ends new connections without an answer")
	errReplaced    = errors.New("the connection was given up")
	errUnwanted    = errors.New("the replica is to get nothing more")
	errRestarted   = errors.New("the replica has started again since")
)

// Wire writes the headers of the replicas' protocol and reads them.
type Wire interface {
	// Mark adds to a copied header the replica meant and the time left.
	Mark(header http.Header, replica string, left time.Duration)
	// EchoedID reads the request id that an answer belongs to.
	EchoedID(header http.Header) string
	// NotRun reports whether an answer proves that the request did not run.
	NotRun(status int, header http.Header) bool
}

// Client holds the connections to all replicas. Close ends them.
type Client struct {
	wire   Wire
	mutex  sync.Mutex
	hosts  map[replica.Incarnation]*host
	closed bool
	opened int64
	// onEnded is told an incarnation that has ended, and what was in work there.
	onEnded func(life replica.Incarnation, inWork []*Request)
	// refuses finds out whether a replica refuses connections; tests replace it.
	refuses func(h *host, request *Request) bool
}

// OnReplicaEnded sets who is told that a replica has ended while requests were in work there. It is told after the
// requests' own ends, also of those whose answers nobody waited for any more, and may be told again of
// the same incarnation. It must be set before the first request, and must not block.
func (c *Client) OnReplicaEnded(listener func(life replica.Incarnation, inWork []*Request)) {
	c.onEnded = listener
}

// NewClient makes a client without connections.
func NewClient(wire Wire) *Client {
	c := &Client{wire: wire, hosts: map[replica.Incarnation]*host{}}
	c.refuses = c.refusesConnections
	return c
}

// ConnectionsOpened counts the connections opened since the start.
func (c *Client) ConnectionsOpened() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened
}

// OpenConnections counts the connections that are open now.
func (c *Client) OpenConnections() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := 0
	for _, h := range c.hosts {
		total += h.open
	}
	return total
}

// WaitingRequests counts the requests that wait for a free connection.
func (c *Client) WaitingRequests() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := 0
	for _, h := range c.hosts {
		total += len(h.waiters)
	}
	return total
}

// Close ends all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, h := range c.hosts {
		h.closeIdle(errClosed)
	}
}

// Retain closes the idle connections to replicas that are not wanted any more, and tells who waits
// for one that nothing was sent. Otherwise a request that waits for seconds at a busy replica would
// reach it long after the replica began to leave.
func (c *Client) Retain(wanted func(life replica.Incarnation) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for life, h := range c.hosts {
		if wanted(life) {
			continue
		}
		h.closeIdle(errReplaced)
		h.endWaits(errUnwanted)
		if h.open == 0 {
			delete(c.hosts, life)
		}
	}
}

// CloseRestarted ends all connections to an incarnation that has started again since. No answer can come
// on them any more: what was sent on one may have run, and who waits for one is told at once
// in place of at its deadline.
func (c *Client) CloseRestarted(life replica.Incarnation) {
	c.mutex.Lock()
	h := c.hosts[life]
	if h == nil {
		c.mutex.Unlock()
		return
	}
	h.restarted = true
	h.idle = nil
	connections := slices.Collect(maps.Keys(h.connections))
	for len(h.waiters) > 0 {
		h.wakeOne()
	}
	c.mutex.Unlock()
	for _, one := range connections {
		one.close(errRestarted)
	}
}

// Do sends the request once and waits for its whole answer. When the context ends
// it returns at once; the exchange itself then has a moment to end by itself.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	call := &call{request: request, done: make(chan outcome, 1)}
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, &Error{Step: "connect", Cause: err}
	}
	if written, err := conn.write(ctx, call); err != nil {
		conn.close(err)
		return nil, &Error{Step: "send", Sent: written > 0, Broken: written > 0 && connerr.ClosedByPeer(err), Cause: err}
	}
	select {
	case end := <-call.done:
		return end.response, end.err
	case <-ctx.Done():
		conn.lingerFor(call)
		return nil, &Error{Step: "await answer", Sent: true, Cause: context.Cause(ctx)}
	}
}

// connect gets a connection that carries the call. An idle connection may have
// ended just now; nothing was sent on it, so that the next one is taken.
func (c *Client) connect(ctx context.Context, call *call) (*conn, error) {
	for {
		conn, err := c.acquire(ctx, call.request)
		if err != nil {
			return nil, err
		}
		if conn.begin(call) {
			return conn, nil
		}
	}
}
