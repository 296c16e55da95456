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

// Whoever reads the logs stops reading. Requests must not wait for it: lines are
// dropped and counted instead.
func TestAReaderThatStopsHoldsNobody(t *testing.T) {
	reader, writer := io.Pipe()
	l := New(writer, nil)
	for range 2 * ringDepth {
		l.Life("replica_seen", nil)
	}
	require.Positive(t, l.Dropped())
	_ = reader.Close()
	l.Close(time.Minute)
}

func TestAStormOfDecisionsIsHeldToTheRate(t *testing.T) {
	l := New(io.Discard, nil)
	for range 6 * burst {
		l.Decision("send_failed", nil)
	}
	require.Greater(t, l.Dropped(), int64(4*burst))
	dropped := l.Dropped()
	l.Decisions(make([]Line, burst))
	l.Close(time.Minute)
	require.Equal(t, dropped+burst, l.Dropped(), "a story is written whole or not at all")
}

// BenchmarkCalmRequest is what the log costs a request that ends well; BenchmarkStory what it
// costs one whose ten lines are written, the writing itself included.
func BenchmarkCalmRequest(b *testing.B) {
	l := New(io.Discard, nil)
	defer l.Close(time.Minute)
	for b.Loop() {
		l.CountSuccess()
	}
}

func BenchmarkStory(b *testing.B) {
	l := New(io.Discard, Fields{"node": "vm-1"})
	defer l.Close(time.Minute)
	lines := make([]Line, 10)
	for i := range lines {
		lines[i] = Line{Event: "send_failed", Fields: Fields{"request": "9c41d07be2a35f68", "at_ms": i, "replica": "i-7f3a91c2", "cause": "connection reset"}}
	}
	for b.Loop() {
		for _, one := range lines {
			l.write(line{at: time.Now(), event: one.Event, fields: one.Fields})
		}
	}
}

// A library writes a plain line of its own. Whoever reads the output line by line as JSON
// would stop at it.
func TestLinesOfLibrariesAreJSONToo(t *testing.T) {
	var out strings.Builder
	l := New(&out, nil)
	_, err := io.WriteString(l.LibraryWriter(), "failed to increase receive buffer size\n"+strings.Repeat("stack ", 200))
	require.NoError(t, err)
	l.Close(time.Minute)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(out.String()), &line))
	require.Equal(t, "library_message", line["event"])
	require.LessOrEqual(t, len(line["text"].(string)), maxLibraryLine)
}
