package decisionlog

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLinesAreJSONWithEventAndBase(t *testing.T) {
	var out strings.Builder
	l := New(&out, Fields{"node": "vm-1"})
	l.Decision("request_answered", Fields{"request": "r1"})
	l.CountSuccess()
	l.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	var first, last map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &first))
	require.NoError(t, json.Unmarshal([]byte(lines[1]), &last))
	require.Equal(t, "request_answered", first["event"])
	require.Equal(t, "vm-1", first["node"])
	require.EqualValues(t, 1, last["answered_well"])
}

// When the reader of the output stalls, requests must not wait: lines are dropped and
// counted instead.
func TestAStalledReaderBlocksNoWriter(t *testing.T) {
	reader, writer := io.Pipe()
	l := New(writer, nil)
	for range 2 * queueCapacity {
		l.Life("replica_seen", nil)
	}
	require.Positive(t, l.Dropped())
	_ = reader.Close()
	l.Close(time.Minute)
}

func TestDecisionsAreRateLimited(t *testing.T) {
	l := New(io.Discard, nil)
	for range 6 * burstLines {
		l.Decision("send_failed", nil)
	}
	require.Greater(t, l.Dropped(), int64(4*burstLines))
	dropped := l.Dropped()
	l.Decisions(make([]Line, burstLines))
	l.Close(time.Minute)
	require.Equal(t, dropped+burstLines, l.Dropped(), "the lines about one request must be written all together or not at all")
}

// BenchmarkSuccessfulRequest measures the cost of the log for a successful request; BenchmarkLoggedRequest
// measures it for a request with ten lines, including the write.
func BenchmarkSuccessfulRequest(b *testing.B) {
	l := New(io.Discard, nil)
	defer l.Close(time.Minute)
	for b.Loop() {
		l.CountSuccess()
	}
}

func BenchmarkLoggedRequest(b *testing.B) {
	l := New(io.Discard, Fields{"node": "vm-1"})
	defer l.Close(time.Minute)
	lines := make([]Line, 10)
	for i := range lines {
		lines[i] = Line{Event: "send_failed", Fields: Fields{"request": "9c41d07be2a35f68", "at_ms": i, "replica": "i-7f3a91c2", "cause": "connection reset"}}
	}
	for b.Loop() {
		for _, entry := range lines {
			l.write(line{at: time.Now(), event: entry.Event, fields: entry.Fields})
		}
	}
}

// Libraries write plain-text lines. In the output, such a line would break readers that parse
// each line as JSON.
func TestLibraryLinesAreJSON(t *testing.T) {
	var out strings.Builder
	l := New(&out, nil)
	_, err := io.WriteString(l.LibraryWriter(), "failed to increase receive buffer size\n"+strings.Repeat("stack ", 200))
	require.NoError(t, err)
	l.Close(time.Minute)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(out.String()), &line))
	require.Equal(t, "library_message", line["event"])
	require.LessOrEqual(t, len(line["text"].(string)), maxLibraryLineBytes)
}

// Guards against waiting lines that hold the long ids, hosts and paths of callers.
func TestALongFieldIsClipped(t *testing.T) {
	var out strings.Builder
	l := New(&out, nil)
	l.Decision("request_refused", Fields{"request": strings.Repeat("x", 16<<10), "status": 503})
	l.Close(time.Minute)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(out.String()), &line))
	require.Equal(t, strings.Repeat("x", maxFieldBytes), line["request"])
	require.EqualValues(t, 503, line["status"])
}
