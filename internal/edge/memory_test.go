package edge_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// heldBytes returns what a node holds for callers, and the limit.
func (h *harness) heldBytes(node *node) (held, limit int64) {
	_, dump := h.get("http://"+node.Settings.MetricsAddress+"/dump", nil)
	var state struct {
		Memory struct {
			Held  int64 `json:"held_bytes"`
			Limit int64 `json:"limit_bytes"`
		} `json:"memory"`
	}
	require.NoError(h.t, json.Unmarshal([]byte(dump), &state))
	return state.Memory.Held, state.Memory.Limit
}

// serveWithMemory serves with a node of a small VM. Bodies may be up to 256 KB long, and the plain route is less urgent
// than the others.
func (h *harness) serveWithMemory(vmBytes int64) {
	h.t.Helper()
	config := h.config(1)
	config.Limits.MaxBodyBytes = 256 << 10
	config.Routes[0].Priority = 2
	h.store.Publish(config)
	h.startOne("east", func(s *settings.Edge) { s.MemoryBytes = vmBytes })
	h.waitReady()
}

// dialUnreading connects a caller that holds few unread bytes, and sends a request. The caller must close it.
func (h *harness) dialUnreading(node *node, head string) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", node.Settings.CallerAddress)
	require.NoError(h.t, err)
	require.NoError(h.t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(conn, head)
	require.NoError(h.t, err)
	return conn
}

// Guards against the end of a node whose memory is taken by answers that callers do not read.
func TestCallersThatDoNotReadLeaveRoomForTheOthers(t *testing.T) {
	const slowCallers, answerBytes = 500, 600 << 10
	h := newHarness(t)
	h.replica("notes", "east", make([]string, answerBytes/16)...)
	for _, shard := range []string{"s1", "s2", "s3"} {
		h.replica(shard, "east", "a record")
	}
	h.serveWithMemory(50 << 20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, slowCallers)
	var most atomic.Int64
	served := 0
	for i := range conns {
		conns[i] = h.dialUnreading(h.nodes[0], fmt.Sprintf("GET /plain/x HTTP/1.1\r\nHost: search.example\r\nPistachiopier-Request-Id: slow%d\r\nPistachiopier-Deadline-Ms: 2000\r\n\r\n", i))
		go readSlowly(conns[i])
		if i%10 == 0 {
			response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/all/x", fmt.Sprint("good", i), "")
			require.Equal(t, http.StatusOK, response.StatusCode)
			served++
			held, limit := h.heldBytes(h.nodes[0])
			require.LessOrEqual(t, held, limit)
			most.Store(max(most.Load(), held))
		}
	}
	runtime.ReadMemStats(&after)
	t.Logf("%d good callers served, %d KB held at most, heap %d KB before and %d KB after", served, most.Load()>>10, before.HeapInuse>>10, after.HeapInuse>>10)
	h.waitForEvent(h.nodes[0], "answer_unread")
	for _, conn := range conns {
		_ = conn.Close()
	}
	h.requireNothingHeld(h.nodes[0])
}

// readSlowly reads one byte a second until the connection ends.
func readSlowly(conn net.Conn) {
	for {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

func (h *harness) requireNothingHeld(node *node) {
	h.t.Helper()
	require.Eventually(h.t, func() bool { held, _ := h.heldBytes(node); return held == 0 }, waitLimit, 10*time.Millisecond)
}

// Guards against a caller taking an answer for whole that was given up because the caller did not read it.
func TestAnAnswerThatIsNotReadIsCutOff(t *testing.T) {
	const answerBytes = 900 << 10
	h := newHarness(t)
	h.replica("notes", "east", make([]string, answerBytes/16)...)
	h.serveWithMemory(0)
	conn := h.dialUnreading(h.nodes[0], "GET /plain/x HTTP/1.1\r\nHost: search.example\r\nPistachiopier-Request-Id: r1\r\n\r\n")
	defer func() { _ = conn.Close() }()
	line := h.waitForEvent(h.nodes[0], "answer_unread")
	require.Contains(t, line, `"cause":"stalled"`)
	require.Contains(t, line, `"request":"r1"`)
	read, _ := io.Copy(io.Discard, conn)
	require.Less(t, read, int64(answerBytes))
	h.requireNothingHeld(h.nodes[0])
	_, page := h.get("http://"+h.nodes[0].Settings.MetricsAddress+"/metrics", nil)
	require.Contains(t, page, `pistachiopier_answers_unread_total{cause="stalled"} 1`)
}

// Guards against holding a replica whose long answer a caller does not read.
func TestALongAnswerThatIsNotReadFreesTheReplica(t *testing.T) {
	const answerBytes = 6 << 20
	h := newHarness(t)
	h.replica("notes", "east", make([]string, answerBytes/16)...)
	h.serveWithMemory(0)
	conn := h.dialUnreading(h.nodes[0], "GET /plain/x HTTP/1.1\r\nHost: search.example\r\nPistachiopier-Request-Id: r1\r\nPistachiopier-Deadline-Ms: 30000\r\n\r\n")
	defer func() { _ = conn.Close() }()
	h.waitForEvent(h.nodes[0], "answer_unread")
	require.Contains(t, h.waitForEvent(h.nodes[0], "answer_cut"), "i-notes-0")
	h.requireNothingHeld(h.nodes[0])
	response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "r2", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a planned stop that is held up by a caller that does not read, beyond the time after which the caller
// is let go.
func TestACallerThatDoesNotReadDoesNotHoldUpAStop(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", make([]string, 900<<10/16)...)
	config := h.config(1)
	h.store.Publish(config)
	h.startOne("east", func(s *settings.Edge) { s.StopWait = waitLimit })
	h.waitReady()
	conn := h.dialUnreading(h.nodes[0], "GET /plain/x HTTP/1.1\r\nHost: search.example\r\nPistachiopier-Request-Id: r1\r\n\r\n")
	defer func() { _ = conn.Close() }()
	require.Eventually(t, func() bool { held, _ := h.heldBytes(h.nodes[0]); return held > 900<<10 }, waitLimit, time.Millisecond)
	h.stop(h.nodes[0])
	require.Contains(t, h.nodes[0].log.String(), `"answer_unread"`)
	require.NotContains(t, h.nodes[0].log.String(), `"stop_cut_short"`)
}

// Guards against bytes that stay counted when a request ends half-way: its caller leaves while it sends the body or
// while it waits, or the replica ends.
func TestBytesAreGivenBackWhereverARequestEnds(t *testing.T) {
	h := newHarness(t)
	notes := h.replica("notes", "east", "a note")
	h.serveWithMemory(100 << 20)
	node := h.nodes[0]
	head := "POST /plain/x HTTP/1.1\r\nHost: search.example\r\nPistachiopier-Request-Id: %s\r\nPistachiopier-Deadline-Ms: 20000\r\nContent-Length: 100000\r\n\r\n"
	body := strings.Repeat("x", 100_000)
	t.Run("the caller leaves while it sends", func(t *testing.T) {
		conn := h.dialUnreading(node, fmt.Sprintf(head, "r1")+body[:60_000])
		require.Eventually(t, func() bool { held, _ := h.heldBytes(node); return held >= 60_000 }, waitLimit, time.Millisecond)
		require.NoError(t, conn.Close())
		h.requireNothingHeld(node)
	})
	t.Run("the caller leaves while it waits", func(t *testing.T) {
		notes.SetBehaviour(always(platformtest.Hang))
		conn := h.dialUnreading(node, fmt.Sprintf(head, "r2")+body)
		require.Eventually(t, func() bool { return len(notes.Arrivals()) > 0 }, waitLimit, time.Millisecond)
		require.NoError(t, conn.Close())
		h.requireNothingHeld(node)
	})
	t.Run("the replica ends", func(t *testing.T) {
		notes.SetBehaviour(always(platformtest.CloseWithoutAnswer))
		response, _ := h.mustRequest(node, http.MethodPost, "/plain/x", "r3", body)
		require.GreaterOrEqual(t, response.StatusCode, 500)
		h.requireNothingHeld(node)
	})
	require.Eventually(t, func() bool {
		_, page := h.get("http://"+node.Settings.MetricsAddress+"/metrics", nil)
		return strings.Contains(page, "pistachiopier_replica_body_bytes 0")
	}, waitLimit, 10*time.Millisecond)
}

// Guards against a node whose memory is full taking in further bodies: they are rejected at once, as not run and with a
// time to return, and the urgent routes are served on.
func TestAFullMemoryRejectsTheLeastUrgent(t *testing.T) {
	const vmBytes = 9 << 19 // of which callers may have 943 KB held, and those of the least urgent route 660 KB
	h := newHarness(t)
	notes := h.replica("notes", "east", "a note")
	invoices := h.replica("invoices", "east", "an invoice")
	notes.SetBehaviour(always(platformtest.Hang))
	h.serveWithMemory(vmBytes)
	body := strings.Repeat("x", 250_000)
	for i := range 2 {
		conn := h.dialUnreading(h.nodes[0], fmt.Sprintf("POST /plain/x HTTP/1.1\r\nHost: search.example\r\nPistachiopier-Request-Id: held%d\r\nPistachiopier-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n", i, len(body))+body)
		defer func() { _ = conn.Close() }()
	}
	require.Eventually(t, func() bool { return len(notes.Arrivals()) == 2 }, waitLimit, time.Millisecond)
	response, _ := h.mustRequest(h.nodes[0], http.MethodPost, "/plain/x", "r1", body)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Contains(t, h.waitForEvent(h.nodes[0], "request_refused"), `"short":"memory"`)
	response, _ = h.mustRequest(h.nodes[0], http.MethodPost, "/once/x", "r2", body)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, 1, invoices.Runs("r2"))
	require.Zero(t, notes.Runs("r1"))
	// An operator limits that route: it takes effect with the configuration.
	config := h.config(2)
	config.Limits.MaxBodyBytes = 256 << 10
	config.Routes[1].Priority = 5
	h.store.Publish(config)
	h.waitForVersion(h.nodes[0], 2)
	response, _ = h.mustRequest(h.nodes[0], http.MethodPost, "/once/x", "r3", body)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Zero(t, invoices.Runs("r3"))
}
