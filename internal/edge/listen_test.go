package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/policy"
)

// Operators change the limits towards callers many times while callers keep connections
// open. A connection from before goes on being served; when it ends, its server must go
// with it, or each change would leave a listener and a goroutine behind for good.
func TestFormerLimitsEndWithTheirLastConnection(t *testing.T) {
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s, err := listenCallers("127.0.0.1:0", answer)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.shutdown(t.Context())) })
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	ask := func() {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, response.StatusCode)
	}
	count := func() int {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return len(s.servers)
	}
	ask()
	for i := range 20 {
		s.setLimits(policy.Limits{MaxHeaderBytes: 8192 + i, HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	}
	require.Equal(t, 2, count(), "that of the open connection and the newest")
	ask()
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return count() == 1 }, 20*time.Second, time.Millisecond)
}
