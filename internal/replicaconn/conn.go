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
	readBufferBytes = 4 << 10
	// maxStrayAnswers is how many answers to other requests are skipped on a connection
	// before it is closed.
	maxStrayAnswers = 2
	// maxInlineBytes is the length of header lines and body up to which these are written before
	// the answer is read; it fits the smallest send buffer. A replica may answer before it has
	// read longer ones, which are therefore written concurrently with the reading, and without a
	// copy for each send.
	maxInlineBytes = 8 << 10
)

// conn is one connection. One goroutine reads it for its whole life, also while it is idle,
// so that a close or an unexpected byte is noticed at once and not by the next request.
type conn struct {
	client  *Client
	replica replica.Incarnation
	stream  net.Conn
	head    *headLimiter
	reader  *bufio.Reader
	// accepted is set once the replica is known to have accepted the connection; guarded by the client's mutex.
	accepted bool
	// ended is closed when the connection has ended.
	ended chan struct{}
	// answerCount counts the answers read; only the reading goroutine uses it.
	answerCount int

	// idleSince, idleLimit and lastID are guarded by the client's mutex while the connection
	// is idle, and belong to the exchange otherwise.
	idleSince time.Time
	idleLimit time.Duration
	lastID    string

	mutex   sync.Mutex
	pending *exchange
	failure error
	// bodyWritten is closed once a long request is written; nil when none is being written.
	bodyWritten chan struct{}
}

// exchange is one request with its answer.
type exchange struct {
	request *Request
	done    chan outcome
	sentAt  time.Time
	// deadline is the end of the request's context, after which the answer is not awaited; zero is none.
	deadline time.Time
	// timer is set once the answer is no longer awaited; when it fires, the connection is closed.
	timer *time.Timer
}

type outcome struct {
	response *Response
	err      error
}

func newConn(client *Client, incarnation replica.Incarnation, stream net.Conn) *conn {
	head := &headLimiter{stream: stream}
	c := &conn{client: client, replica: incarnation, stream: stream, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), ended: make(chan struct{}), idleLimit: defaultIdleTimeout}
	go c.read()
	return c
}

// begin makes the exchange the pending one, to which the next answer belongs.
func (c *conn) begin(ex *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure != nil {
		return false
	}
	ex.sentAt = time.Now()
	c.pending = ex
	c.lastID = ex.request.ID
	return true
}

// withdraw takes back an exchange of which nothing was written.
func (c *conn) withdraw(ex *exchange) {
	c.mutex.Lock()
	if c.pending == ex {
		c.pending = nil
	}
	c.mutex.Unlock()
	c.client.release(c)
}

// write sends head and body and returns how many bytes may have been sent. The head states the
// remaining time as of now: waiting for the connection may have used some of it.
func (c *conn) write(ctx context.Context, ex *exchange) (int, error) {
	request := ex.request
	marks := http.Header{}
	if deadline, ok := ctx.Deadline(); ok {
		ex.deadline = deadline
		c.client.wire.Mark(marks, request.Replica.ID, time.Until(deadline))
		_ = c.stream.SetWriteDeadline(deadline.Add(lingerTimeout))
	}
	lines := request.HeaderLines
	if lines == nil {
		lines = c.client.RenderHeader(request.Header)
	}
	var head bytes.Buffer
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	if err := marks.Write(&head); err != nil {
		return 0, err
	}
	if len(lines)+len(request.Body) <= maxInlineBytes {
		head.Write(lines)
		head.Write(request.Body)
		return c.stream.Write(head.Bytes())
	}
	c.writeLong(net.Buffers{head.Bytes(), lines, request.Body})
	return head.Len(), nil
}

// writeLong writes concurrently with the reading of the answer.
func (c *conn) writeLong(buffers net.Buffers) {
	written := make(chan struct{})
	c.mutex.Lock()
	c.bodyWritten = written
	c.mutex.Unlock()
	go func() {
		defer close(written)
		if _, err := buffers.WriteTo(c.stream); err != nil {
			c.close(err)
		}
	}()
}

// read reads answers until the connection ends.
func (c *conn) read() {
	err := c.readAnswers()
	c.close(err)
	c.client.connectionEnded(c.replica, c)
	close(c.ended)
}

func (c *conn) readAnswers() error {
	stray := 0
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		ex := c.pendingExchange()
		if ex == nil {
			return errUnsolicited
		}
		response, reusable, err := c.readAnswer(ex)
		if err != nil {
			return err
		}
		c.answerCount++
		if c.answerCount == 1 {
			c.client.noteAnswered(c)
		}
		belongs, err := c.belongs(ex.request, response)
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
		if !c.finish(ex, response, reusable) {
			return errAbandoned
		}
	}
}

func (c *conn) pendingExchange() *exchange {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pending
}

// belongs reports whether an answer is to the request. A replica may send a second answer to an
// earlier request late, where this request's answer is expected. Refusals may come without an
// id. On a connection that has carried no other answer, an answer without an id can only be to
// this request. On any other connection a stray refusal could make "not run" false, which is
// acceptable only for a request that may run twice.
func (c *conn) belongs(request *Request, response *Response) (bool, error) {
	echoed := c.client.wire.EchoedID(response.Header)
	switch {
	case request.ID == "" || echoed == request.ID:
		return true, nil
	case echoed != "":
		return false, nil
	case c.answerCount == 1 || !request.Once && c.client.wire.NotRun(response.Status, response.Header):
		return true, nil
	default:
		return false, errOtherAnswer
	}
}

// readAnswer reads one whole answer. An answer that ends before its length or its last chunk, or
// whose connection is reset before its end, is an error.
func (c *conn) readAnswer(ex *exchange) (*Response, bool, error) {
	httpRequest := &http.Request{Method: ex.request.Method}
	limit := maxBodyBytes
	if ex.request.Stream {
		limit = streamThresholdBytes
	}
	answer, err := c.readHead(httpRequest)
	if err != nil {
		return nil, false, err
	}
	body, err := c.client.answerMemory.readAll(answer.Body, limit)
	if err != nil {
		return nil, false, err
	}
	c.noteIdleLimit(answer.Header)
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	response := &Response{Status: answer.StatusCode, Header: answer.Header, Body: body, Length: int64(len(body))}
	if ex.request.Method == http.MethodHead {
		// A GET would have this length.
		response.Length = answer.ContentLength
	}
	if len(body) > limit {
		if !ex.request.Stream {
			return nil, false, errTooLong
		}
		response.Length = answer.ContentLength
		response.Rest = newRest(c, answer.Body, ex.deadline)
	}
	return response, framed && !answer.Close, nil
}

// readHead reads the head of an answer and skips the interim answers before it.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.head.beginHead()
	defer c.head.endHead()
	for {
		answer, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if err := checkStatus(answer.StatusCode); err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// noteIdleLimit reads after how many seconds of idleness the replica closes the connection.
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

// finish delivers the answer and releases the connection. It reports false when the
// connection cannot be reused.
func (c *conn) finish(ex *exchange, response *Response, reusable bool) bool {
	c.mutex.Lock()
	if c.pending != ex {
		c.mutex.Unlock()
		return false
	}
	c.pending = nil
	bodyWritten := c.bodyWritten
	c.bodyWritten = nil
	late := ex.timer != nil && ex.timer.Stop()
	c.mutex.Unlock()
	if late && ex.request.OnLate != nil {
		ex.request.OnLate(response)
	}
	if response.Rest != nil {
		if late {
			_ = response.Rest.Close()
		}
		ex.done <- outcome{response: response}
		reusable = response.Rest.await() && reusable
	}
	if bodyWritten != nil {
		select {
		case <-bodyWritten:
		default:
			// The replica answered before it had read the whole body. If the
			// connection were reused, the rest of the body could mix with the
			// next request.
			reusable = false
		}
	}
	reusable = reusable && c.reader.Buffered() == 0
	if reusable {
		_ = c.stream.SetWriteDeadline(time.Time{})
		c.client.release(c)
	}
	if response.Rest == nil {
		ex.done <- outcome{response: response}
	}
	return reusable
}

// lingerFor gives an exchange whose answer is no longer awaited lingerTimeout to finish.
func (c *conn) lingerFor(ex *exchange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending != ex {
		return
	}
	ex.timer = time.AfterFunc(lingerTimeout, func() {
		if c.pendingExchange() == ex {
			c.close(errAbandoned)
			c.client.closeIdleBefore(c.replica, ex.sentAt)
		}
	})
}

// close ends the connection and fails the pending exchange with the cause.
func (c *conn) close(cause error) {
	c.mutex.Lock()
	ex := c.pending
	c.pending = nil
	if c.failure == nil {
		c.failure = cause
	}
	c.mutex.Unlock()
	_ = c.stream.Close()
	if ex == nil {
		return
	}
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	// The break is recorded before the request fails, and so before its caller can send it again.
	c.client.connectionBroke(c.replica, ex.request, cause)
	ex.done <- outcome{err: &Error{Step: "await answer", Sent: true, Broken: connerr.ClosedByPeer(cause), Cause: cause}}
}

// closedLocally reports whether this node decided to close the connection.
func (c *conn) closedLocally() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return errors.Is(c.failure, errAbandoned) || errors.Is(c.failure, errRestarted) || errors.Is(c.failure, errClosed) || errors.Is(c.failure, errNotKept)
}

// abandon closes an idle connection. It only records the cause and closes the stream: the
// reading goroutine removes the connection from the pool, as the client's mutex is held here.
func (c *conn) abandon(cause error) {
	c.mutex.Lock()
	if c.failure == nil {
		c.failure = cause
	}
	c.mutex.Unlock()
	_ = c.stream.Close()
}
