package upstream_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/standin"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// forwarder forwards TCP connections. A call of silence makes the open connections silent for
// good: they stay open, and data written to them is discarded.
type forwarder struct {
	listener   net.Listener
	target     string
	mutex      sync.Mutex
	generation int
	opened     int
}

func startForwarder(t *testing.T, target string) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &forwarder{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			generation := f.open()
			go f.pass(generation, client, server)
			go f.pass(generation, server, client)
		}
	}()
	return f
}

func (f *forwarder) open() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.opened++
	return f.generation
}

func (f *forwarder) silence() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.generation++
}

func (f *forwarder) silenced(generation int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return generation < f.generation
}

func (f *forwarder) pass(generation int, from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !f.silenced(generation) {
				_ = to.Close()
			}
			return
		}
		if f.silenced(generation) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// A firewall drops its connection state overnight: every open connection to a replica goes silent,
// while new ones work. Only one request may time out: its connection and the other idle ones are
// closed, and the next request opens a new one.
func TestOneTimeoutEndsAllSilentConnections(t *testing.T) {
	const connections = 4
	replica, err := standin.StartUpstream("127.0.0.1:0", standin.Behaviour{Versions: []uint64{1}, Service: 50 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(func() { _ = replica.Close() })
	f := startForwarder(t, replica.Address())
	client := upstream.NewClient()
	t.Cleanup(client.Close)
	client.SetConnectionShare(f.listener.Addr().String(), connections)
	changes := make(chan bool, connections)
	client.OnSilent(func(_ string, silent bool) { changes <- silent })
	call := upstream.Call{Address: f.listener.Addr().String(), Ref: core.ShardRef{Service: "stems"}, RequestID: "r", RemainingTime: 10 * time.Second}

	var running sync.WaitGroup
	for range connections {
		running.Go(func() { client.Do(context.Background(), call) })
	}
	running.Wait()
	require.Greater(t, f.opened, 1, "several connections must be idle now")

	f.silence()
	short := call
	short.RemainingTime = 200 * time.Millisecond
	first := client.Do(context.Background(), short)
	require.Equal(t, core.Unknown, first.Outcome, "it was sent and may have run")
	require.Equal(t, core.ReasonDeadline, first.Reason)
	require.True(t, <-changes)
	require.Equal(t, core.Done, client.Do(context.Background(), call).Outcome)
	require.False(t, <-changes, "the address replies again")
	require.Equal(t, int64(1), client.SilentConnections())
}
