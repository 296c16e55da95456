package replicaconn

import (
	"errors"
	"io"
)

// maxHeadBytes bounds the head of an answer: the status line and the header, with those of all interim answers
// before it. net/http's parser itself has no bound.
const maxHeadBytes = 64 << 10

// errHeadTooLong is the cause of a failure with an answer whose head does not end.
var errHeadTooLong = errors.New("the head of the answer, with its interim answers, is longer than 64 KiB")

// headLimiter bounds what is read from a connection while the head of an answer is expected.
//
// It guards against a replica that sends bytes without end in place of an answer: the parser would keep all of them until the
// deadline, hundreds of megabytes a second, and the node would run out of memory.
type headLimiter struct {
	stream io.Reader
	// limited is set while a head is read, of which remaining bytes may still come.
	limited   bool
	remaining int
}

func (l *headLimiter) beginHead() { l.limited, l.remaining = true, maxHeadBytes }

func (l *headLimiter) endHead() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.stream.Read(p)
	}
	if l.remaining == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.stream.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
