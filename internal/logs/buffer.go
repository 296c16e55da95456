package logs

import (
	"bytes"
	"sync"
)

// Buffer collects what several goroutines write, for tests that look at logs. The zero
// value is empty.
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

// String returns what was written so far.
func (b *Buffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}
