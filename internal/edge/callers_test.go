package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

func TestLimitsOfTheConfigurationBindCallers(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.serve("east")
	response, _ := w.ask(w.nodes[0], http.MethodPost, "/plain/x", "r1", strings.Repeat("x", 1001))
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	response, _ = w.ask(w.nodes[0], http.MethodPost, "/plain/x", "r2", strings.Repeat("x", 1000))
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// A caller sends half of its body and stops. The node must not hold it for ever, and since
// nothing was sent on, "not run" is the truth.
func TestABodyThatStopsIsGivenUpInTime(t *testing.T) {
	w := newWorld(t)
	notes := w.replica("notes", "east", "a note")
	w.serve("east")
	conn, err := net.Dial("tcp", w.nodes[0].Settings.CallerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /plain/x HTTP/1.1\r\nHost: search.example\r\nPistachiopier-Deadline-Ms: 200\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Empty(t, notes.Arrivals())
}

// A catalogue export of several megabytes is asked for. Held in memory whole, a few at a time
// would end a small VM's process; and when the replica stops in the middle, the caller must
// not take what came for all of it.
func TestALongAnswerIsPassedOnInPieces(t *testing.T) {
	const records = 10 << 20 / 16
	long := make([]string, records)
	for i := range long {
		long[i] = fmt.Sprint("record ", i)
	}
	w := newWorld(t)
	notes := w.replica("notes", "east", long...)
	w.serve("east")
	for i, act := range []platformtest.Behaviour{platformtest.Answer, platformtest.CloseDelimited, platformtest.Answer} {
		notes.SetBehaviour(always(act))
		response, body := w.ask(w.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Len(t, body, 16*records)
		require.Equal(t, fmt.Sprintf("%-16.16s", long[records-1]), body[len(body)-16:])
	}
	for i, act := range []platformtest.Behaviour{platformtest.TruncateBody, platformtest.CloseDelimitedReset} {
		notes.SetBehaviour(always(act))
		_, _, err := w.try(w.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("cut", i), "")
		require.Error(t, err, "act %d", act)
	}
	require.Eventually(t, func() bool { return strings.Count(w.nodes[0].log.String(), `"answer_cut"`) == 2 }, patience, time.Millisecond)
}

// A caller asks how long an answer is without wanting it.
func TestAHeadKeepsTheLength(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.serve("east")
	response, body := w.ask(w.nodes[0], http.MethodHead, "/plain/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, body)
	require.EqualValues(t, 16, response.ContentLength)
}
