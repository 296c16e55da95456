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
	rawRequests   = 20000
	responderRead = 1024
)

// responders answer the upstream protocol with as little work as can be, so
// that a measurement of the owner holds little else.
type responders struct {
	listeners []net.Listener
	mutex     sync.Mutex
	open      []net.Conn
	done      sync.WaitGroup
	// hold, when set, makes each request wait until it is closed.
	hold chan struct{}
}

func startResponders(count int, hold chan struct{}) (*responders, []string, error) {
	r := &responders{hold: hold}
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.close()
			return nil, nil, fault.Step("listen for a responder", err)
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
		r.open = append(r.open, connection)
		r.mutex.Unlock()
		r.done.Go(func() { r.answer(connection) })
	}
}

func (r *responders) close() {
	for _, listener := range r.listeners {
		_ = listener.Close()
	}
	r.mutex.Lock()
	for _, connection := range r.open {
		_ = connection.Close()
	}
	r.mutex.Unlock()
	r.done.Wait()
}

// answer serves one connection: it reads the few headers it needs by name.
func (r *responders) answer(connection net.Conn) {
	reader := bufio.NewReaderSize(connection, responderRead)
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

// rawCost is the CPU of one request over a bare connection, in microseconds:
// what a measurement against a responder holds besides the program's own work.
func rawCost(address string) (float64, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return 0, fault.Step("dial the responder", err)
	}
	defer func() { _ = connection.Close() }()
	request := fmt.Appendf(nil, "POST / HTTP/1.1\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", upstream.HeaderRequestID)
	reader := bufio.NewReader(connection)
	cpu, _, err := cpuOf(func() error {
		for range rawRequests {
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
	return micros(cpu, rawRequests), fault.Step("ask the responder", err)
}

// connectionSlopes weighs open connections to a replica: those of the client
// and, to be taken off, bare ones.
func connectionSlopes() ([]figure, error) {
	bare, err := bareConnections()
	if err != nil {
		return nil, err
	}
	both, err := clientConnections()
	if err != nil {
		return nil, err
	}
	return []figure{
		{"replica connection: memory, idle, both ends", "bytes", both},
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
	for range heldConnections {
		connection, err := net.Dial("tcp", addresses[0])
		if err != nil {
			return 0, fault.Step("dial the responder", err)
		}
		opened = append(opened, connection)
		request := fmt.Sprintf("POST / HTTP/1.1\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", upstream.HeaderRequestID)
		if _, err := io.WriteString(connection, request); err != nil {
			return 0, fault.Step("ask the responder", err)
		}
		if _, err := io.ReadAtLeast(connection, make([]byte, responderRead), payloadBytes); err != nil {
			return 0, fault.Step("ask the responder", err)
		}
	}
	return (memoryInUse() - before) / heldConnections, nil
}

// clientConnections holds requests until all connections are open.
func clientConnections() (float64, error) {
	hold := make(chan struct{})
	r, addresses, err := startResponders(1, hold)
	if err != nil {
		return 0, err
	}
	defer r.close()
	client := upstream.NewClient()
	defer client.Close()
	client.SetConnectionShare(addresses[0], heldConnections)
	before := memoryInUse()
	failures := make(chan upstream.Result, heldConnections)
	var open sync.WaitGroup
	for range heldConnections {
		open.Go(func() { failures <- client.Do(context.Background(), exampleCall(addresses[0])) })
	}
	awaited := r.awaitOpen(heldConnections)
	close(hold)
	open.Wait()
	close(failures)
	if awaited != nil {
		return 0, awaited
	}
	for result := range failures {
		if result.Outcome != core.Done {
			return 0, &fault.Error{Code: fault.CodeUpstream, Message: "the responder gave no part", Cause: result.Cause}
		}
	}
	return (memoryInUse() - before) / heldConnections, nil
}

// awaitOpen waits until the number of connections is open.
func (r *responders) awaitOpen(count int) error {
	limit := time.Now().Add(readyTimeout)
	for time.Now().Before(limit) {
		r.mutex.Lock()
		open := len(r.open)
		r.mutex.Unlock()
		if open >= count {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return fault.NotRun(fault.CodeUpstream, "the connections did not open in time", "run fewer things at once")
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
