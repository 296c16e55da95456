package soak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// bulkService gives answers far longer than the kernel buffers for a caller; bulkReplicas is the number of its
	// replicas, which no fault is injected into.
	bulkService, bulkReplicas = "bulk", 2
	bulkBytes                 = 500 << 10

	// slowReaderCount callers with bulk answers would take twice of what a node may hold for its callers, a fifth of
	// memoryMb.
	slowReaderCount = 100
	memoryMb        = 128
	// letGoBound is when a node without faults must have let a caller go that does not read: the route's timeout and
	// the 3 s of the node.
	letGoBound = 4500*time.Millisecond + slack

	burstCallers, burstPause = 10, 2 * time.Millisecond
	repeatedAtOnce           = 4
)

// bulkRecords is the answer of the bulk service.
func bulkRecords() []byte { return []byte(strings.Repeat("0123456789abcdef", bulkBytes/16)) }

// blockReaders connects callers to one node that request long answers and do not read them. The node must stay within
// its memory meanwhile, and must not hold the answers for longer than letGoBound.
func (cl *cluster) blockReaders(node *vm) {
	var conns []net.Conn
	for range slowReaderCount {
		if conn := cl.requestUnread(node); conn != nil {
			defer func() { _ = conn.Close() }()
			conns = append(conns, conn)
		}
	}
	process, until := node.process(), time.Now().Add(letGoBound)
	for time.Now().Before(until) {
		time.Sleep(letGoBound / 20)
		if used := node.residentMb(); used > memoryMb && node.process() == process {
			cl.recordViolation("vm %s uses %d MB of %d while callers do not read their answers", node.ip, used, memoryMb)
		}
	}
	if !node.healthyFor(letGoBound) {
		return
	}
	var checking sync.WaitGroup
	for _, conn := range conns {
		checking.Go(func() { cl.requireIncomplete(node, conn) })
	}
	checking.Wait()
}

// requestUnread sends a request for a long answer; nil if the node does not accept the connection.
func (cl *cluster) requestUnread(node *vm) net.Conn {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", node.ip, callerPort), time.Second)
	if err != nil {
		return nil
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = fmt.Fprintf(conn, "GET /bulk/x HTTP/1.1\r\nHost: search.example\r\nPistachiopier-Request-Id: %x-%d\r\nPistachiopier-Deadline-Ms: 1500\r\n\r\n", cl.seed, cl.callers.next.Add(1))
	return conn
}

// requireIncomplete checks that an answer that was not read for long has been cut off.
func (cl *cluster) requireIncomplete(node *vm, conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(letGoBound))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	// A node that holds the answer sends on, slowly where the receive buffer is small.
	read, err := io.Copy(io.Discard, response.Body)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		cl.recordViolation("vm %s held an answer, of which %d bytes came, for a caller that did not read for %v", node.ip, read, letGoBound)
	}
}

// residentMb returns the memory that the node's process uses; 0 if it has ended.
func (v *vm) residentMb() (mb int) {
	v.mutex.Lock()
	pid := v.cmd.Process.Pid
	v.mutex.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// burst sends requests of one kind at many times the usual rate.
func (c *callers) burst(f fault) {
	c.sendFor(f, burstCallers, func(ctx context.Context, client *http.Client, address string, kind int) {
		c.send(ctx, client, address, kind)
		time.Sleep(burstPause)
	})
}

// repeatAtOnce is one caller that sends several requests at once and again whenever they have ended, whatever time to
// return it is told.
func (c *callers) repeatAtOnce(f fault) {
	c.sendFor(f, 1, func(ctx context.Context, client *http.Client, address string, kind int) {
		var running sync.WaitGroup
		for range repeatedAtOnce {
			running.Go(func() { c.send(ctx, client, address, kind) })
		}
		running.Wait()
	})
}

// sendFor lets callers send requests of a drawn kind until the fault ends.
func (c *callers) sendFor(f fault, count int, send func(ctx context.Context, client *http.Client, address string, kind int)) {
	until := time.Now().Add(f.duration)
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() {
			random := rand.New(rand.NewPCG(f.draw, uint64(i)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: repeatedAtOnce}, Timeout: 3 * time.Second}
			defer client.CloseIdleConnections()
			for time.Now().Before(until) {
				addresses := c.resolve(context.Background(), client, random)
				for n := 0; n < 20 && len(addresses) > 0 && time.Now().Before(until); n++ {
					send(context.Background(), client, addresses[random.IntN(len(addresses))], int(f.draw%3))
				}
				time.Sleep(requestPause)
			}
		})
	}
	running.Wait()
}
