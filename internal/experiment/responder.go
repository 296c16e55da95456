package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

const (
	bareRequests         = 20000
	responderBufferBytes = 1024
)

// responders are minimal servers of the upstream protocol. They use little CPU, so
// that measurements of the owner contain little else.
type responders struct {
	listeners       []net.Listener
	mutex           sync.Mutex
	openConnections []net.Conn
	done            sync.WaitGroup
	// hold, if set, delays all replies until it is closed.
	hold chan struct{}
}

func startResponders(count int, hold chan struct{}) (*responders, []string, error) {
	r := &responders{hold: hold}
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.close()
			return nil, nil, fault.Wrap("listen for a responder", err)
		}
		r.listeners = append(r.listeners, listener)
		addresses = append(addresses, listener.Addr().String())
		r.done.Go(func() { r.accept(listener) })
	}
	return r, addresses, nil
}

func (r *responders) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		r.openConnections = append(r.openConnections, connection)
		r.mutex.Unlock()
		r.done.Go(func() { r.answer(connection) })
	}
}

func (r *responders) close() {
	for _, listener := range r.listeners {
		_ = listener.Close()
	}
	r.mutex.Lock()
	for _, connection := range r.openConnections {
		_ = connection.Close()
	}
	r.mutex.Unlock()
	r.done.Wait()
}

// answer serves one connection. It parses only the headers that it needs.
func (r *responders) answer(connection net.Conn) {
	reader := bufio.NewReaderSize(connection, responderBufferBytes)
	body := strings.Repeat("x", payloadBytes-2)
	for {
		id, length, err := readHead(reader)
		if err != nil {
			return
		}
		if _, err := reader.Discard(length); err != nil {
			return
		}
		if r.hold != nil {
			<-r.hold
		}
		_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 42\r\n%s: 41,42\r\nContent-Length: %d\r\n\r\n\"%s\"",
			upstream.HeaderRequestID, id, upstream.HeaderVersion, upstream.HeaderVersions, payloadBytes, body)
		if err != nil {
			return
		}
	}
}

func readHead(reader *bufio.Reader) (id string, length int, err error) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", 0, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			return id, length, nil
		}
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case upstream.HeaderRequestID:
			id = value
		case "Content-Length":
			length, _ = strconv.Atoi(value)
		}
	}
}

// bareRequestCost is the CPU time of one request over a bare connection, in
// microseconds: the overhead in each measurement against a responder.
func bareRequestCost(address string) (float64, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return 0, fault.Wrap("dial the responder", err)
	}
	defer func() { _ = connection.Close() }()
	request := fmt.Appendf(nil, "POST / HTTP/1.1\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", upstream.HeaderRequestID)
	reader := bufio.NewReader(connection)
	cpu, _, err := measureCPU(func() error {
		for range bareRequests {
			if _, err := connection.Write(request); err != nil {
				return err
			}
			_, length, err := readHead(reader)
			if err != nil {
				return err
			}
			if _, err := io.CopyN(io.Discard, reader, int64(length)); err != nil {
				return err
			}
		}
		return nil
	})
	return microsPer(cpu, bareRequests), fault.Wrap("send a request to the responder", err)
}

// connectionSlopes measures the memory of open connections to a replica: those of
// the upstream client, and bare ones, which are to be subtracted.
func connectionSlopes() ([]figure, error) {
	bare, err := bareConnections()
	if err != nil {
		return nil, err
	}
	client, err := clientConnections()
	if err != nil {
		return nil, err
	}
	return []figure{
		{"replica connection: memory, idle, both ends", "bytes", client},
		{"bare connection and responder: memory", "bytes", bare},
	}, nil
}

func bareConnections() (float64, error) {
	r, addresses, err := startResponders(1, nil)
	if err != nil {
		return 0, err
	}
	defer r.close()
	before := memoryInUse()
	var opened []net.Conn
	defer func() {
		for _, connection := range opened {
			_ = connection.Close()
		}
	}()
	for range connectionCount {
		connection, err := net.Dial("tcp", addresses[0])
		if err != nil {
			return 0, fault.Wrap("dial the responder", err)
		}
		opened = append(opened, connection)
		request := fmt.Sprintf("POST / HTTP/1.1\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", upstream.HeaderRequestID)
		if _, err := io.WriteString(connection, request); err != nil {
			return 0, fault.Wrap("send a request to the responder", err)
		}
		if _, err := io.ReadAtLeast(connection, make([]byte, responderBufferBytes), payloadBytes); err != nil {
			return 0, fault.Wrap("send a request to the responder", err)
		}
	}
	return (memoryInUse() - before) / connectionCount, nil
}

// clientConnections delays all replies until all connections are open, so that no
// connection is reused.
func clientConnections() (float64, error) {
	hold := make(chan struct{})
	r, addresses, err := startResponders(1, hold)
	if err != nil {
		return 0, err
	}
	defer r.close()
	client := upstream.NewClient()
	defer client.Close()
	client.SetConnectionShare(addresses[0], connectionCount)
	before := memoryInUse()
	failures := make(chan upstream.Result, connectionCount)
	var running sync.WaitGroup
	for range connectionCount {
		running.Go(func() { failures <- client.Do(context.Background(), exampleCall(addresses[0])) })
	}
	awaitErr := r.awaitOpen(connectionCount)
	close(hold)
	running.Wait()
	close(failures)
	if awaitErr != nil {
		return 0, awaitErr
	}
	for result := range failures {
		if result.Outcome != core.Done {
			return 0, &fault.Error{Code: fault.CodeUpstream, Message: "the responder returned no part", Cause: result.Cause}
		}
	}
	return (memoryInUse() - before) / connectionCount, nil
}

// awaitOpen waits until the given number of connections is open.
func (r *responders) awaitOpen(count int) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		r.mutex.Lock()
		openCount := len(r.openConnections)
		r.mutex.Unlock()
		if openCount >= count {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return fault.NotRun(fault.CodeUpstream, "the connections to the responder did not open in time", "run fewer things at once")
}

func exampleCall(address string) upstream.Call {
	return upstream.Call{
		Address:       address,
		Ref:           core.ShardRef{Service: "s-0"},
		RequestID:     "vm-0001-dh3k2l9x0a-123456",
		Customer:      "large",
		RemainingTime: longTimeout,
		Body:          upstream.Body{Question: []byte("null")},
	}
}
