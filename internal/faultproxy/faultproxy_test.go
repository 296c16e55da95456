package faultproxy

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

const (
	awaitLimit  = 20 * time.Second
	quietPeriod = 100 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEcho starts a TCP server that echoes all bytes.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func startTCP(t *testing.T) *TCP {
	t.Helper()
	p, err := StartTCP(startEcho(t), 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func dial(t *testing.T, network, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial(network, address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(awaitLimit)))
	return connection
}

func requireEcho(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	_, err := connection.Write([]byte(text))
	require.NoError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(connection, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
}

// requireNoData requires that no byte arrives within quietPeriod. It cannot detect bytes
// that arrive later, but never fails for a proxy that holds them back.
func requireNoData(t *testing.T, connection net.Conn) {
	t.Helper()
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(quietPeriod)))
	_, err := connection.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(awaitLimit)))
}

func TestTCPBlockingHoldsBytesUntilUnblocked(t *testing.T) {
	p := startTCP(t)
	connection := dial(t, "tcp", p.Address())
	requireEcho(t, connection, "before")
	p.Set(ToClient, Faults{Blocked: true})
	_, err := connection.Write([]byte("held"))
	require.NoError(t, err)
	requireNoData(t, connection)
	p.Set(ToClient, Faults{})
	got := make([]byte, len("held"))
	_, err = io.ReadFull(connection, got)
	require.NoError(t, err)
	require.Equal(t, "held", string(got))
}

// Simulates a middlebox that has lost the state of a connection: the connection
// stays open but all bytes are discarded, while a new connection works.
func TestTCPSilentFlowStaysSilentWhileNewOnesWork(t *testing.T) {
	p := startTCP(t)
	old := dial(t, "tcp", p.Address())
	requireEcho(t, old, "before")
	p.Silence()
	_, err := old.Write([]byte("lost"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.Dropped() > 0 }, awaitLimit, time.Millisecond)
	requireEcho(t, dial(t, "tcp", p.Address()), "new")
	requireNoData(t, old)
}

func TestTCPResetAndTruncatedReply(t *testing.T) {
	p := startTCP(t)
	connection := dial(t, "tcp", p.Address())
	requireEcho(t, connection, "before")
	p.Reset()
	_, err := connection.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF, "a reset must not look like an orderly close")
	p.Set(ToClient, Faults{ResetAfterBytes: 3})
	connection = dial(t, "tcp", p.Address())
	_, err = connection.Write([]byte("whole"))
	require.NoError(t, err)
	got, err := io.ReadAll(connection)
	require.LessOrEqual(t, len(got), 3)
	require.True(t, bytes.HasPrefix([]byte("whole"), got))
	require.Error(t, err)
}

func TestTCPThrottledAndDelayedBytesArriveComplete(t *testing.T) {
	p := startTCP(t)
	p.SetBoth(Faults{Delay: time.Millisecond, BytesPerSecond: 1 << 20})
	connection := dial(t, "tcp", p.Address())
	text := string(bytes.Repeat([]byte("0123456789"), 4000))
	started := time.Now()
	requireEcho(t, connection, text)
	require.GreaterOrEqual(t, time.Since(started), transmissionTime(len(text), 1<<20), "bytes arrived faster than BytesPerSecond allows")
}

// startSink opens a UDP socket; read returns the next datagram and echoes it.
func startSink(t *testing.T) (address string, read func() string) {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket.LocalAddr().String(), func() string {
		require.NoError(t, socket.SetReadDeadline(time.Now().Add(awaitLimit)))
		buffer := make([]byte, 64)
		n, from, err := socket.ReadFromUDP(buffer)
		require.NoError(t, err)
		_, err = socket.WriteToUDP(buffer[:n], from)
		require.NoError(t, err)
		return string(buffer[:n])
	}
}

func TestUDPLossDuplicateReorderAndBlocking(t *testing.T) {
	target, read := startSink(t)
	p, err := StartUDP(target, 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	client := dial(t, "udp", p.Address())
	send := func(text string) {
		before := p.Dropped()
		_, err := client.Write([]byte(text))
		require.NoError(t, err)
		if faults, _ := p.current(ToTarget); faults.Blocked || faults.Loss == 1 {
			require.Eventually(t, func() bool { return p.Dropped() == before+1 }, awaitLimit, time.Millisecond)
		}
	}
	p.Set(ToTarget, Faults{Loss: 1})
	send("lost")
	p.Set(ToTarget, Faults{Blocked: true})
	send("cut")
	p.Set(ToTarget, Faults{Duplicate: 1})
	send("twice")
	require.Equal(t, "twice", read())
	require.Equal(t, "twice", read())
	p.Set(ToTarget, Faults{Reorder: 1})
	send("first")
	send("second")
	require.Equal(t, "second", read())
	require.Equal(t, "first", read())
	p.Set(ToTarget, Faults{Delay: time.Millisecond, BytesPerSecond: 1 << 20})
	send("slow")
	require.Equal(t, "slow", read())
	p.Set(ToTarget, Faults{Loss: 0.5})
	for i := range 64 {
		_, err := client.Write([]byte(strconv.Itoa(i)))
		require.NoError(t, err)
	}
	read()
	require.Eventually(t, func() bool { return p.Dropped() > 2 }, awaitLimit, time.Millisecond)
}

func TestUDPSilentFlowStaysSilentWhileNewOnesWork(t *testing.T) {
	target, read := startSink(t)
	p, err := StartUDP(target, 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	old := dial(t, "udp", p.Address())
	_, err = old.Write([]byte("before"))
	require.NoError(t, err)
	require.Equal(t, "before", read())
	p.Silence()
	before := p.Dropped()
	_, err = old.Write([]byte("lost"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.Dropped() > before }, awaitLimit, time.Millisecond)
	fresh := dial(t, "udp", p.Address())
	_, err = fresh.Write([]byte("new"))
	require.NoError(t, err)
	require.Equal(t, "new", read())
	got := make([]byte, 8)
	n, err := fresh.Read(got)
	require.NoError(t, err)
	require.Equal(t, "new", string(got[:n]))
}

// An answer without a length is delimited by the end of its connection, and a replica that
// crashes while sending it resets the connection. If the proxy forwarded the reset as an
// ordinary close, a truncated answer would look complete.
func TestTCPResetOfOneEndIsForwarded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = connection.Read(make([]byte, 1))
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
	}()
	p, err := StartTCP(listener.Addr().String(), 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	connection := dial(t, "tcp", p.Address())
	_, err = connection.Write([]byte("x"))
	require.NoError(t, err)
	_, err = connection.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// One of several clients is isolated from the target; the others must not be affected.
func TestUDPIsolationAffectsOnlyThatClient(t *testing.T) {
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		buffer := make([]byte, 16)
		for {
			n, from, err := target.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			_, _ = target.WriteToUDP(buffer[:n], from)
		}
	}()
	p, err := StartUDP(target.LocalAddr().String(), 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	from := func(ip string) net.Conn {
		dialer := net.Dialer{LocalAddr: &net.UDPAddr{IP: net.ParseIP(ip)}}
		connection, err := dialer.Dial("udp", p.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		require.NoError(t, connection.SetDeadline(time.Now().Add(awaitLimit)))
		return connection
	}
	alone, other := from("127.0.0.2"), from("127.0.0.3")
	p.Isolate(netip.MustParseAddr("127.0.0.2"), true)
	_, err = alone.Write([]byte("x"))
	require.NoError(t, err)
	requireEcho(t, other, "y")
	require.Equal(t, 1, p.Dropped())
	p.Isolate(netip.MustParseAddr("127.0.0.2"), false)
	requireEcho(t, alone, "z")
}
