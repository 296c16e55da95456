package replicaconn

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a race where the deadline has passed before the beginning of a long answer was read.
func TestARestEndsWhereItsDeadlineHasPassed(t *testing.T) {
	for range 100 {
		stream, other := net.Pipe()
		rest := newRest(&conn{stream: stream}, strings.NewReader(""), time.Now())
		require.False(t, rest.await())
		require.NoError(t, rest.Close())
		require.NoError(t, other.Close())
	}
}
