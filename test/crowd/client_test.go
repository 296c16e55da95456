package crowd_test

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// headerBytes is the size of a head just below the limit of the configuration.
const headerBytes = 15 << 10

// crowd is a number of connections that stay open until the test ends or the node closes them.
type crowd struct{ conns []net.Conn }

// sendCrowd opens a number of connections to an address, sends on all of them at once what each one is to send, and
// returns when all have sent it or were cut off.
func sendCrowd(t *testing.T, address string, size int, send func() io.Reader) *crowd {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	for range size {
		conn, err := net.DialTimeout("tcp", address, patience)
		if err != nil {
			// A node may refuse connections.
			continue
		}
		c.conns = append(c.conns, conn)
	}
	var sending sync.WaitGroup
	for _, conn := range c.conns {
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(patience))
			_, _ = io.Copy(conn, send())
		})
	}
	sending.Wait()
	require.NotEmpty(t, c.conns)
	return c
}

// awaitDone waits until the node has answered or closed each connection, or has let it wait for patience.
func (c *crowd) awaitDone() {
	var waiting sync.WaitGroup
	for _, conn := range c.conns {
		waiting.Go(func() {
			_ = conn.SetReadDeadline(time.Now().Add(patience))
			_, _ = conn.Read(make([]byte, 1))
		})
	}
	waiting.Wait()
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// text returns a sender of the same text for all clients.
func text(sent string) func() io.Reader { return func() io.Reader { return strings.NewReader(sent) } }

// shortLines returns about the given bytes of header lines, the shortest that there are, each with another name.
func shortLines(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for number := 0; b.Len() < bytes; number++ {
		for left := number; ; left /= len(letters) {
			b.WriteByte(letters[left%len(letters)])
			if left < len(letters) {
				break
			}
		}
		b.WriteString(":\n")
	}
	return b.String()
}

// head returns the head of a request with further lines, without the empty line that ends it.
func head(method, target, lines string) string {
	return method + " " + target + " HTTP/1.1\r\nHost: " + callerHost + "\r\nPistachiopier-Deadline-Ms: 20000\r\n" + lines
}
