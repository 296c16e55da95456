package replicaconn

import (
	"errors"
	"io"
	"sync"
	"time"
)

// Rest is the unread part of a long answer. The receiver of the answer reads it to its end or
// closes it; until then the connection carries nothing else.
type Rest struct {
	conn *conn
	body io.Reader
	once sync.Once
	// complete receives once whether the answer was read to its end.
	complete chan bool
	timer    *time.Timer
}

// newRest makes the Rest of an answer. At the deadline, when the answer is no longer awaited,
// the connection is closed: otherwise a replica that stops in the middle of the answer, or a
// reader that never closes the Rest, would hold it for ever.
func newRest(c *conn, body io.Reader, deadline time.Time) *Rest {
	r := &Rest{conn: c, body: body, complete: make(chan bool, 1)}
	if !deadline.IsZero() {
		r.timer = time.AfterFunc(time.Until(deadline), func() {
			_ = c.stream.Close()
			r.end(false)
		})
	}
	return r
}

// Read implements io.Reader. An answer that was cut short gives an error other than io.EOF.
func (r *Rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close gives up the part that was not read.
func (r *Rest) Close() error {
	r.finish(false)
	return nil
}

func (r *Rest) finish(complete bool) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.end(complete)
}

// end ends the reading. It does not use timer, which is not set yet where the deadline has passed before.
func (r *Rest) end(complete bool) {
	r.once.Do(func() { r.complete <- complete })
}

// await waits until the reading ends and reports whether the answer was read whole.
func (r *Rest) await() bool { return <-r.complete }
