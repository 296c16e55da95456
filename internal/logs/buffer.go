package logs

import (
	"bytes"
	"sync"
)

// Buffer is a bytes.Buffer that is safe for concurrent writes, for tests that inspect logs.
// The zero value is an empty buffer.
type Buffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

// String returns the text written so far.
func (b *Buffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}
