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

// Guards against leaking a listener and a goroutine with each change of the limits. Operators change the
// limits many times while callers keep connections open: a former connection is still served, and its server
// is closed when it ends.
func TestFormerLimitsEndWithTheirLastConnection(t *testing.T) {
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	listener, err := SystemSockets{}.ListenTCP("127.0.0.1:0")
	require.NoError(t, err)
	s := serveCallers(listener, answer, 10, nil, nil)
	t.Cleanup(func() { require.NoError(t, s.shutdown(t.Context())) })
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	request := func() {
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
	request()
	for i := range 20 {
		s.setLimits(policy.Limits{MaxHeaderBytes: 8192 + i, HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	}
	require.Equal(t, 2, count(), "that of the open connection and the newest")
	request()
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return count() == 1 }, 20*time.Second, time.Millisecond)
}
