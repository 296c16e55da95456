package replicaconn

import (
	"errors"
	"io"
	"sync/atomic"
)

// maxLongBodyBytes bounds the memory for the bodies that are being read into memory whole, beyond the first
// streamThresholdBytes of each.
const maxLongBodyBytes = 16 << 20

// errNoBodyMemory is the cause of a failure with an answer that would exceed maxLongBodyBytes.
var errNoBodyMemory = errors.New("long answers in progress take more than 16 MiB of memory")

// bodyMemory counts the bytes of long bodies that are being read.
//
// It guards against bodies without end on many connections at once: with up to maxBodyBytes each, the node would run out
// of memory. Bodies that are not long are never affected.
type bodyMemory struct{ used atomic.Int64 }

// readAll reads a body of at most limit bytes, and one byte of a longer one.
func (m *bodyMemory) readAll(body io.Reader, limit int) ([]byte, error) {
	counted := &countedBody{body: io.LimitReader(body, int64(limit)+1), memory: m}
	defer func() { m.used.Add(-counted.taken) }()
	return io.ReadAll(counted)
}

// countedBody counts what it reads beyond streamThresholdBytes.
type countedBody struct {
	body   io.Reader
	memory *bodyMemory
	// read is the number of bytes read, taken the part of them that counts.
	read, taken int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.read += int64(n)
	long := max(b.read-streamThresholdBytes, 0) - b.taken
	b.taken += long
	if used := b.memory.used.Add(long); long > 0 && used > maxLongBodyBytes {
		return n, errNoBodyMemory
	}
	return n, err
}
