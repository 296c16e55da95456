package replicaconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// plainWire is a Wire without headers of its own.
type plainWire struct{}

func (plainWire) Mark(http.Header, string, time.Duration) {}
func (plainWire) IsMark(string) bool                      { return false }
func (plainWire) EchoedID(http.Header) string             { return "" }
func (plainWire) NotRun(int, http.Header) bool            { return false }

// respond answers every request with the same 200 bytes at the least cost.
func respond(listener net.Listener) {
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 200\r\nPistachiopier-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n" + strings.Repeat("r", 200))
	for {
		stream, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			reader := bufio.NewReader(stream)
			for {
				line, err := reader.ReadSlice('\n')
				if err != nil {
					return
				}
				if len(line) == len("\r\n") {
					_, _ = stream.Write(answer)
				}
			}
		}()
	}
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSend measures one send to a replica over a kept connection, including the processor
// time of the responder and of the loopback interface.
func BenchmarkSend(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = listener.Close() }()
	go respond(listener)
	client := NewClient(plainWire{})
	defer client.Close()
	request := &Request{
		Replica: replica.Incarnation{ID: "i-1"}, Address: listener.Addr().String(), MaxConnections: 4, Method: http.MethodGet, Target: "/all/q", Host: "search.example",
		Header: http.Header{"Pistachiopier-Request-Id": {"9c41d07be2a35f68"}, "Accept": {"*/*"}, "User-Agent": {"caller"}},
	}
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := client.Do(ctx, request)
		cancel()
		require.NoError(b, err)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/send")
}
