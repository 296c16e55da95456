package api

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

const (
	awaitLimit  = 20 * time.Second
	bodyTimeout = 50 * time.Millisecond
	maxBody     = 1 << 10
)

func quietLog(out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	return log
}

func startCaller(t *testing.T) (*httptest.Server, observe.Registry) {
	t.Helper()
	return startCallerWith(t, bodyTimeout)
}

func startCallerWith(t *testing.T, timeout time.Duration) (*httptest.Server, observe.Registry) {
	t.Helper()
	registry := observe.NewRegistry()
	server := httptest.NewServer(NewCallerHandler(CallerOptions{
		Log:     quietLog(io.Discard),
		Entries: func(string) Entries { return Entries{} },
		Body:    BodyLimits{MaxBytes: maxBody, Timeout: timeout},
		Metrics: registry,
	}))
	t.Cleanup(server.Close)
	return server, registry
}

func requireError(t *testing.T, response *http.Response, status int, code fault.Code, outcome string) {
	t.Helper()
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, status, response.StatusCode)
	var reply ErrorReply
	require.NoError(t, json.NewDecoder(response.Body).Decode(&reply))
	require.Equal(t, code, reply.Code)
	require.Equal(t, outcome, reply.Outcome)
}

func TestUnknownPathsAndMethodsAreTypedErrors(t *testing.T) {
	server, _ := startCaller(t)
	response, err := http.Get(server.URL + "/v1/nothing")
	require.NoError(t, err)
	requireError(t, response, http.StatusNotFound, fault.CodeUnknownPath, "not_run")
	response, err = http.Get(server.URL + "/v1/query/plates")
	require.NoError(t, err)
	requireError(t, response, http.StatusMethodNotAllowed, fault.CodeUnknownMethod, "not_run")
}

func TestBadBodiesAreTypedErrors(t *testing.T) {
	server, _ := startCaller(t)
	cases := map[string]struct {
		status int
		code   fault.Code
	}{
		`{`:                                                  {http.StatusBadRequest, fault.CodeBadRequest},
		`{"customer":"a"} {}`:                                {http.StatusBadRequest, fault.CodeBadRequest},
		`{"customer":"a","colour":1}`:                        {http.StatusBadRequest, fault.CodeBadRequest},
		`{"question":1}`:                                     {http.StatusBadRequest, fault.CodeUnknownCustomer},
		`{"customer":"a","prefer":"x"}`:                      {http.StatusBadRequest, fault.CodeBadRequest},
		`{"customer":"a","least_coverage":2}`:                {http.StatusBadRequest, fault.CodeBadRequest},
		`{"customer":"a","timeout_ms":0}`:                    {http.StatusRequestTimeout, fault.CodePastDeadline},
		`{"customer":"a","timeout_ms":-5}`:                   {http.StatusRequestTimeout, fault.CodePastDeadline},
		`{"customer":"a","timeout_ms":9223372036854775807}`:  {http.StatusBadRequest, fault.CodeBadRequest},
		`{"customer":"a","timeout_ms":92233720368547758070}`: {http.StatusBadRequest, fault.CodeBadRequest},
	}
	for body, want := range cases {
		t.Run(body, func(t *testing.T) {
			response, err := http.Post(server.URL+"/v1/query/plates", "application/json", strings.NewReader(body))
			require.NoError(t, err)
			requireError(t, response, want.status, want.code, "not_run")
		})
	}
}

// A caller sends a body of 10 MB and reads only after it has written all of it. When
// the node closed the connection immediately, the caller got a broken connection
// instead of the refusal and did not know that nothing had run.
func TestATooLargeBodyIsRefusedAndTheCallerReadsWhy(t *testing.T) {
	// The body may take longer than bodyTimeout, which another test checks.
	server, registry := startCallerWith(t, awaitLimit)
	body := bytes.Repeat([]byte("x"), 10<<20)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/query/plates", bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, request.Write(connection))
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	require.NoError(t, err)
	requireError(t, response, http.StatusRequestEntityTooLarge, fault.CodeTooLarge, "not_run")
	require.EqualValues(t, 1, observe.Counter(registry, "caller_bodies_too_large_total").Count())
}

// A caller sends part of its body and then nothing, and the connection stays open: its
// VM froze, or a firewall dropped the connection's state. The request must not use up a
// connection indefinitely.
func TestAnIncompleteBodyEndsAtItsTimeLimit(t *testing.T) {
	server, registry := startCaller(t)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = io.WriteString(connection, "POST /v1/query/plates HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n{\"cust")
	require.NoError(t, err)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(awaitLimit)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	requireError(t, response, http.StatusRequestTimeout, fault.CodePastDeadline, "not_run")
	require.EqualValues(t, 1, observe.Counter(registry, "caller_bodies_late_total").Count())
}

// The same on paths whose handlers do not read the body: before it answers, net/http
// reads the rest of a body without a time limit.
func TestAnIncompleteBodyThatNoHandlerReadsEndsToo(t *testing.T) {
	server, _ := startCaller(t)
	for _, line := range []string{"POST /v1/nothing", "GET /v1/entries"} {
		connection, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(connection, line+" HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n{\"cust")
		require.NoError(t, err)
		require.NoError(t, connection.SetReadDeadline(time.Now().Add(awaitLimit)))
		_, err = io.ReadAll(connection)
		require.NoError(t, err, "the node must end the connection")
		require.NoError(t, connection.Close())
	}
}

// An invoice was recorded, but the answer was lost, and only part of the body of the
// retry with the same key arrives. If the retry were answered with "not run", the caller
// would submit the invoice again under a new key.
func TestACutRetryOfAnInvoiceIsNotCalledNotRun(t *testing.T) {
	server, _ := startCaller(t)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = io.WriteString(connection, "POST /v1/submit/invoices HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n{\"cust")
	require.NoError(t, err)
	require.NoError(t, connection.(*net.TCPConn).CloseWrite())
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(awaitLimit)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	requireError(t, response, http.StatusBadRequest, fault.CodeBadRequest, "unknown")
}

// Answering a query takes longer than its body may take to arrive. The read deadline
// must be cleared once the body is read: net/http keeps reading in the background to
// detect callers that disconnect, took the expired deadline for a disconnect and
// cancelled the query.
func TestTheBodysTimeLimitDoesNotCancelALongAnswer(t *testing.T) {
	router := newRouter(quietLog(io.Discard), bodyTimeout)
	router.POST("/long", func(c *gin.Context) {
		_, err := readBody(c, maxBody)
		if err != nil {
			writeError(c, err)
			return
		}
		select {
		case <-c.Request.Context().Done():
			writeError(c, fault.NotRun(fault.CodeLost, "cancelled", ""))
		case <-time.After(4 * bodyTimeout):
			c.Status(http.StatusNoContent)
		}
	})
	server := httptest.NewServer(router)
	defer server.Close()
	response, err := http.Post(server.URL+"/long", "application/json", strings.NewReader("{}"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

func TestAPanicIsATypedErrorAndALogLine(t *testing.T) {
	var log bytes.Buffer
	router := newRouter(quietLog(&log), bodyTimeout)
	router.GET("/panic", func(*gin.Context) { panic("broken") })
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/panic", nil))
	requireError(t, recorder.Result(), http.StatusInternalServerError, fault.CodeInternal, "unknown")
	require.Contains(t, log.String(), `"event":"handler_panicked"`)
}

// Callers keep their connections open. A connection over the limit is refused
// immediately with "not run", and a closed connection makes room for another.
func TestConnectionsOverTheLimitAreRefusedAtOnce(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := LimitConnections(inner, 1)
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: awaitLimit}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	first, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	require.Eventually(t, func() bool { return listener.Open() == 1 }, awaitLimit, time.Millisecond)
	second, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	require.NoError(t, second.SetReadDeadline(time.Now().Add(awaitLimit)))
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	require.NoError(t, err)
	requireError(t, response, http.StatusServiceUnavailable, fault.CodeOverloaded, "not_run")
	require.EqualValues(t, 1, listener.Refused())
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return listener.Open() == 0 }, awaitLimit, time.Millisecond)
}

func TestEntriesRotateWithTheCallersDataCentreFirst(t *testing.T) {
	all := []EntryAddress{{Node: "a", DataCentre: "east"}, {Node: "b", DataCentre: "west"}, {Node: "c", DataCentre: "east"}, {Node: "d", DataCentre: "west"}}
	var rotation Rotation
	firsts := map[string]int{}
	for range 10 {
		ordered := rotation.Order(all, "west", 3)
		require.Len(t, ordered, 3)
		require.Equal(t, "west", ordered[0].DataCentre)
		require.Equal(t, "west", ordered[1].DataCentre)
		firsts[string(ordered[0].Node)]++
	}
	require.Equal(t, map[string]int{"b": 5, "d": 5}, firsts)
	require.Empty(t, rotation.Order(nil, "west", 3))
}

// FuzzQueryBody checks that every body gives either a valid query or a typed error
// with the outcome "not run".
func FuzzQueryBody(f *testing.F) {
	for _, seed := range []string{
		`{"customer":"a","question":"pork","timeout_ms":50,"prefer":"early","least_coverage":0.5}`,
		`{"customer":"a","question":{"x":[1,null]},"request_id":"r"}`,
		`{"customer":1}`, `[]`, `null`, ``, `{"customer":"a","timeout_ms":1e300}`, "{\"customer\":\"\xff\"}",
		`{"customer":"a","least_coverage":1e-320}`, strings.Repeat(`{"question":`, 50), `{"customer":"a"}x`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var request QueryRequest
		err := decode(body, &request)
		if err == nil {
			query, queryErr := toQuery("plates", request)
			if err = queryErr; err == nil {
				require.NotEmpty(t, query.Customer)
				require.GreaterOrEqual(t, query.Timeout, time.Duration(0))
				require.True(t, json.Valid(query.Body))
				return
			}
		}
		typed := fault.As(err)
		require.NotEqual(t, fault.CodeInternal, typed.Code)
		require.Equal(t, "not_run", typed.Outcome.String())
	})
}
