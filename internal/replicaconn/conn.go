package replicaconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/connerr"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

const (
	readBuffer = 4 << 10
	// maxStrayAnswers is how many answers to other requests are skipped on a
	// connection before it is given up.
	maxStrayAnswers = 2
	// inlineBody is the longest body that is written before the answer is looked
	// at; it fits the smallest send buffer. A replica may answer before it reads a
	// longer one, which is therefore written beside the reading.
	inlineBody = 8 << 10
)

// conn is one connection. One goroutine reads it for all its life, also while it
// is idle: a close or a stray byte then shows at once, not at the next request.
type conn struct {
	client  *Client
	replica replica.Incarnation
	stream  net.Conn
	reader  *bufio.Reader
	// answers counts the answers read; it belongs to the reading goroutine.
	answers int

	// idleSince, idleLimit and lastID are guarded by the client's mutex while
	// the connection is idle and belong to its call otherwise.
	idleSince time.Time
	idleLimit time.Duration
	lastID    string

	mutex   sync.Mutex
	pending *call
	failure error
	// writing is closed when a long body is written; nil when none is.
	writing chan struct{}
}

// call is one exchange.
type call struct {
	request *Request
	done    chan outcome
	sentAt  time.Time
	// deadline is when nobody waits for the answer any more; zero is never.
	deadline time.Time
	// timer runs when nobody waits for the answer any more.
	timer *time.Timer
}

type outcome struct {
	response *Response
	err      error
}

func newConn(client *Client, life replica.Incarnation, stream net.Conn) *conn {
	c := &conn{client: client, replica: life, stream: stream, reader: bufio.NewReaderSize(stream, readBuffer), idleLimit: defaultIdle}
	go c.read()
	return c
}

// begin makes the call the one that the next answer belongs to.
func (c *conn) begin(one *call) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure != nil {
		return false
	}
	one.sentAt = time.Now()
	c.pending = one
	c.lastID = one.request.ID
	return true
}

// write sends head and body and returns how many bytes may have left. The head carries
// the time that is left now: waiting for the connection may have used some of it.
func (c *conn) write(ctx context.Context, one *call) (int, error) {
	request := one.request
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	if deadline, ok := ctx.Deadline(); ok {
		one.deadline = deadline
		c.client.wire.Mark(header, request.Replica.ID, time.Until(deadline))
		_ = c.stream.SetWriteDeadline(deadline.Add(linger))
	}
	var head bytes.Buffer
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	if err := header.Write(&head); err != nil {
		return 0, err
	}
	head.WriteString("\r\n")
	if len(request.Body) <= inlineBody {
		head.Write(request.Body)
		return c.stream.Write(head.Bytes())
	}
	c.writeLong(head.Bytes(), request.Body)
	return head.Len(), nil
}

func (c *conn) writeLong(head, body []byte) {
	written := make(chan struct{})
	c.mutex.Lock()
	c.writing = written
	c.mutex.Unlock()
	go func() {
		defer close(written)
		buffers := net.Buffers{head, body}
		if _, err := buffers.WriteTo(c.stream); err != nil {
			c.close(err)
		}
	}()
}

// read reads answers until the connection ends.
func (c *conn) read() {
	err := c.readAll()
	c.close(err)
	c.client.ended(c.replica, c)
}

func (c *conn) readAll() error {
	stray := 0
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		one := c.current()
		if one == nil {
			return errUnasked
		}
		response, reusable, err := c.readAnswer(one)
		if err != nil {
			return err
		}
		c.answers++
		if c.answers == 1 {
			c.client.answered(c.replica)
		}
		belongs, err := c.belongs(one.request, response)
		if err != nil {
			return err
		}
		if !belongs {
			if response.Rest != nil {
				return errOtherAnswer
			}
			stray++
			if !reusable || stray > maxStrayAnswers {
				return errOtherAnswer
			}
			continue
		}
		if !c.finish(one, response, reusable) {
			return errReplaced
		}
	}
}

func (c *conn) current() *call {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pending
}

// belongs reports whether an answer is to the request. A replica may send a second
// answer to an earlier request late, in the place of this one's. Refusals may come
// without an id. On a connection that has carried nothing else it can only be this
// request's; on another one a stray refusal would make "not run" a lie, which only a
// request that may run twice can stand.
func (c *conn) belongs(request *Request, response *Response) (bool, error) {
	echoed := c.client.wire.EchoedID(response.Header)
	switch {
	case request.ID == "" || echoed == request.ID:
		return true, nil
	case echoed != "":
		return false, nil
	case c.answers == 1 || !request.Once && c.client.wire.NotRun(response.Status, response.Header):
		return true, nil
	default:
		return false, errOtherAnswer
	}
}

// readAnswer reads one whole answer. An answer that ends before its length or its
// last chunk, or whose connection is reset before its end, is an error.
func (c *conn) readAnswer(one *call) (*Response, bool, error) {
	asked := &http.Request{Method: one.request.Method}
	limit := maxBodyBytes
	if one.request.Stream {
		limit = streamFrom
	}
	for {
		answer, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, false, err
		}
		if answer.StatusCode >= http.StatusContinue && answer.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(answer.Body, int64(limit)+1))
		if err != nil {
			return nil, false, err
		}
		c.noteIdleLimit(answer.Header)
		framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
		response := &Response{Status: answer.StatusCode, Header: answer.Header, Body: body, Length: int64(len(body))}
		if one.request.Method == http.MethodHead {
			// What a GET would bring.
			response.Length = answer.ContentLength
		}
		if len(body) > limit {
			if !one.request.Stream {
				return nil, false, errTooLong
			}
			response.Length = answer.ContentLength
			response.Rest = newRest(c, answer.Body, one.deadline)
		}
		return response, framed && !answer.Close, nil
	}
}

// noteIdleLimit reads after how many seconds the replica closes the connection
// when it is idle.
func (c *conn) noteIdleLimit(header http.Header) {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if !strings.EqualFold(name, "timeout") || err != nil {
			continue
		}
		c.idleLimit = max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
}

// finish hands the answer over and frees the connection. It reports false when the
// connection cannot be used again.
func (c *conn) finish(one *call, response *Response, reusable bool) bool {
	c.mutex.Lock()
	if c.pending != one {
		c.mutex.Unlock()
		return false
	}
	c.pending = nil
	writing := c.writing
	c.writing = nil
	late := one.timer != nil && one.timer.Stop()
	c.mutex.Unlock()
	if late && one.request.OnLate != nil {
		one.request.OnLate(response)
	}
	if response.Rest != nil {
		if late {
			_ = response.Rest.Close()
		}
		one.done <- outcome{response: response}
		reusable = response.Rest.await() && reusable
	}
	if writing != nil {
		select {
		case <-writing:
		default:
			// The replica answered before it read the whole body. Were the
			// connection used again, the rest of the body could mix with the
			// next request.
			reusable = false
		}
	}
	reusable = reusable && c.reader.Buffered() == 0
	if reusable {
		_ = c.stream.SetWriteDeadline(time.Time{})
		c.client.free(c)
	}
	if response.Rest == nil {
		one.done <- outcome{response: response}
	}
	return reusable
}

// lingerFor gives an exchange that nobody waits for a moment to end.
func (c *conn) lingerFor(one *call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending != one {
		return
	}
	one.timer = time.AfterFunc(linger, func() {
		if c.current() == one {
			c.close(errReplaced)
			c.client.suspect(c.replica, one.sentAt)
		}
	})
}

// close ends the connection and tells the pending call why.
func (c *conn) close(cause error) {
	c.mutex.Lock()
	one := c.pending
	c.pending = nil
	if c.failure == nil {
		c.failure = cause
	}
	c.mutex.Unlock()
	_ = c.stream.Close()
	if one == nil {
		return
	}
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	one.done <- outcome{err: &Error{Step: "await answer", Sent: true, Broken: connerr.ClosedByPeer(cause), Cause: cause}}
	c.client.broke(c.replica, one.request, cause)
}

// endedHere reports whether this node ended the connection, of its own will.
func (c *conn) endedHere() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return errors.Is(c.failure, errReplaced) || errors.Is(c.failure, errRestarted) || errors.Is(c.failure, errClosed)
}

// abandon closes an idle connection. It only marks and closes the stream: the
// reading goroutine takes it out of the client's books, whose mutex is held here.
func (c *conn) abandon(cause error) {
	c.mutex.Lock()
	if c.failure == nil {
		c.failure = cause
	}
	c.mutex.Unlock()
	_ = c.stream.Close()
}
