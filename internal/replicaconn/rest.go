package replicaconn

import (
	"errors"
	"io"
	"sync"
	"time"
)

// Rest is what has not been read of a long answer. Whoever got the answer reads it to its
// end or closes it; the connection carries nothing else before that.
type Rest struct {
	conn *conn
	body io.Reader
	once sync.Once
	// whole is told once whether the answer was read to its end.
	whole chan bool
	timer *time.Timer
}

// newRest makes the rest of an answer on a connection. At the deadline, when nobody waits
// for the answer any more, the connection is closed: a replica that stops in the middle, or
// a reader that forgot the rest, would hold it for ever.
func newRest(c *conn, body io.Reader, deadline time.Time) *Rest {
	r := &Rest{conn: c, body: body, whole: make(chan bool, 1)}
	if !deadline.IsZero() {
		r.timer = time.AfterFunc(time.Until(deadline), func() {
			_ = c.stream.Close()
			r.end(false)
		})
	}
	return r
}

// Read implements io.Reader. An answer that is cut gives an error that is not io.EOF.
func (r *Rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close gives up what was not read.
func (r *Rest) Close() error {
	r.end(false)
	return nil
}

func (r *Rest) end(whole bool) {
	r.once.Do(func() {
		if r.timer != nil {
			r.timer.Stop()
		}
		r.whole <- whole
	})
}

// await waits for the end of the reading and reports whether the answer was read whole.
func (r *Rest) await() bool { return <-r.whole }
