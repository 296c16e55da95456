package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

func TestCallersAreHeldToTheConfiguredLimits(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.serve("east")
	response, _ := h.mustRequest(h.nodes[0], http.MethodPost, "/plain/x", "r1", strings.Repeat("x", 1001))
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	response, _ = h.mustRequest(h.nodes[0], http.MethodPost, "/plain/x", "r2", strings.Repeat("x", 1000))
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against holding a request for ever whose body stops half-way. As nothing was sent, the answer may
// state "not run".
func TestAnIncompleteBodyTimesOut(t *testing.T) {
	h := newHarness(t)
	notes := h.replica("notes", "east", "a note")
	h.serve("east")
	conn, err := net.Dial("tcp", h.nodes[0].Settings.CallerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /plain/x HTTP/1.1\r\nHost: search.example\r\nPistachiopier-Deadline-Ms: 200\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Empty(t, notes.Arrivals())
}

// Guards against buffering answers of several megabytes whole, a few of which would exhaust a small VM's
// memory. A caller must not take an answer that the replica cuts off for a complete one.
func TestALongAnswerIsPassedOnInPieces(t *testing.T) {
	const records = 10 << 20 / 16
	long := make([]string, records)
	for i := range long {
		long[i] = fmt.Sprint("record ", i)
	}
	h := newHarness(t)
	notes := h.replica("notes", "east", long...)
	h.serve("east")
	for i, act := range []platformtest.Behaviour{platformtest.Answer, platformtest.CloseDelimited, platformtest.Answer} {
		notes.SetBehaviour(always(act))
		response, body := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Len(t, body, 16*records)
		require.Equal(t, fmt.Sprintf("%-16.16s", long[records-1]), body[len(body)-16:])
	}
	for i, act := range []platformtest.Behaviour{platformtest.TruncateBody, platformtest.CloseDelimitedReset} {
		notes.SetBehaviour(always(act))
		_, _, err := h.request(h.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("cut", i), "")
		require.Error(t, err, "act %d", act)
	}
	require.Eventually(t, func() bool { return strings.Count(h.nodes[0].log.String(), `"answer_cut"`) == 2 }, waitLimit, time.Millisecond)
}

// Guards against losing the Content-Length of an answer to HEAD.
func TestAHeadRequestKeepsTheContentLength(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.serve("east")
	response, body := h.mustRequest(h.nodes[0], http.MethodHead, "/plain/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, body)
	require.EqualValues(t, 16, response.ContentLength)
}

// A service without replicas refuses all its callers. Told one time, they would return in one moment.
func TestRefusedCallersAreToldDifferentTimes(t *testing.T) {
	h := newHarness(t)
	h.serve("east")
	told := map[string]bool{}
	const refused = 10
	for i := range refused {
		response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, seconds, 0.25)
		require.LessOrEqual(t, seconds, 0.5)
		told[response.Header.Get("Retry-After")] = true
	}
	require.Len(t, told, refused)
	line := h.waitForEvent(h.nodes[0], "request_ended")
	require.Contains(t, line, `"caller":"127.0.0.1"`)
	require.Contains(t, line, `"priority":1`)
	require.NotContains(t, line, `"retry_after_ms":0`)
}
