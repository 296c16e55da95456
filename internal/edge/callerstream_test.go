package edge

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testStall is a short stall timeout for tests.
const testStall = time.Second

func pipeStream(t *testing.T, onStalled func(unwritten int)) (*callerStream, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	stream := newCallerStream(near, func(_ *callerStream, unwritten int) { onStalled(unwritten) })
	stream.stallTimeout = testStall
	return stream, far
}

// Guards against cutting off a caller that reads slowly but steadily, as a bound on the time of the whole answer does.
func TestACallerThatReadsSlowlyKeepsItsConnection(t *testing.T) {
	stream, caller := pipeStream(t, func(int) {})
	const steps, stepBytes = 12, 8 << 10
	received := make(chan int)
	go func() {
		total, buffer := 0, make([]byte, stepBytes)
		for range steps {
			time.Sleep(testStall / 5)
			n, _ := io.ReadFull(caller, buffer)
			total += n
		}
		received <- total
	}()
	written, err := stream.Write(make([]byte, steps*stepBytes))
	require.NoError(t, err)
	require.Equal(t, steps*stepBytes, written)
	require.Equal(t, steps*stepBytes, <-received)
}

// Guards against holding an answer for ever for a caller that has stopped reading half-way.
func TestACallerThatDoesNotReadIsLetGo(t *testing.T) {
	unwritten := 0
	stream, caller := pipeStream(t, func(bytes int) { unwritten = bytes })
	go func() { _, _ = io.ReadFull(caller, make([]byte, 1000)) }()
	written, err := stream.Write(make([]byte, 5000))
	require.ErrorIs(t, err, errCallerStalled)
	require.Equal(t, 1000, written)
	require.Equal(t, 4000, unwritten)
	_, err = caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the connection is closed")
}
