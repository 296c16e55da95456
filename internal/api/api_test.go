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

// A caller uploads 10 MB by mistake. It writes all of it before it reads: when
// the node closed at once, the caller saw a broken connection instead of the
// refusal, and could not know that nothing was run.
func TestATooLargeBodyIsRefusedAndTheCallerReadsWhy(t *testing.T) {
	// The time limit of a body is another test's: ten megabytes may take longer than it.
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

// A caller sends the start of its body and then nothing, with the connection
// left open: a VM that froze, or a firewall that forgot the connection. It must
// not hold its place for good.
func TestAHalfSentBodyEndsAtItsTimeLimit(t *testing.T) {
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

// The same on a path that reads no body. net/http reads what is left of a body
// before it answers, without a limit of its own.
func TestAHalfSentBodyThatNobodyReadsEndsToo(t *testing.T) {
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

// A kitchen manager's invoice was recorded, but the answer was lost. The retry with
// the same key is cut on its way: half of its body arrives. Calling that "not run"
// would have the invoice entered again under a new key.
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

// A question takes longer to answer than its body may take to arrive. The read
// deadline must not outlive the body: net/http reads on in the background to
// notice a caller that leaves, and took the deadline for a lost caller, which
// cancelled the question.
func TestTheBodysTimeLimitDoesNotCancelALongAnswer(t *testing.T) {
	router := newRouter(quietLog(io.Discard), bodyTimeout)
	router.POST("/long", func(c *gin.Context) {
		_, err := readBody(c, maxBody)
		if err != nil {
			fail(c, err)
			return
		}
		select {
		case <-c.Request.Context().Done():
			fail(c, fault.NotRun(fault.CodeLost, "cancelled", ""))
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

// Callers open connections and keep them. One over the limit is told at once
// that nothing was run, and a place that is given back is used again.
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

func TestEntriesSpreadAndPutTheCallersDataCentreFirst(t *testing.T) {
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

// FuzzQueryBody feeds callers' bodies: each is either a question or a typed
// failure that says nothing was run.
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
			question, questionErr := toQuestion("plates", request)
			if err = questionErr; err == nil {
				require.NotEmpty(t, question.Customer)
				require.GreaterOrEqual(t, question.Timeout, time.Duration(0))
				require.True(t, json.Valid(question.Body))
				return
			}
		}
		typed := fault.As(err)
		require.NotEqual(t, fault.CodeInternal, typed.Code)
		require.Equal(t, "not_run", typed.Outcome.String())
	})
}
