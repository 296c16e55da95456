package edge

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// Outcomes of requests, in logs and metrics.
const (
	outcomeWhole   = "whole"
	outcomePartial = "partial"
	outcomeFailed  = "failed"
	outcomeRefused = "refused"
	outcomeLeft    = "caller_left"
)

// Times to come back that go with refusals.
const (
	retryNotReady  = 300 * time.Millisecond
	retryNoReplica = 500 * time.Millisecond
	retryFull      = 100 * time.Millisecond
)

const (
	// onTheWay is the time that an answer takes to a caller and its request took
	// from there, with a little for timers that fire late.
	onTheWay = 9 * time.Millisecond
	// firstOnTheWay is that with the opening of a connection before the request.
	firstOnTheWay = 16 * time.Millisecond
	// defaultTimeout bounds a request whose caller and route set no limit.
	defaultTimeout = 30 * time.Second
)

// ServeHTTP takes a caller's request.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	select {
	case <-n.lastCall:
		n.refuse(w, r, "the node ends", retryNotReady)
		return
	default:
	}
	config := n.beliefs.config.Load()
	if config == nil {
		n.refuse(w, r, "no configuration is known yet", retryNotReady)
		return
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route := config.Find(r.Host, path)
	if route == nil {
		n.unknownRoute(w, r, config)
		return
	}
	q, problem := n.newRequest(w, r, config, route, target)
	if problem != 0 {
		http.Error(w, http.StatusText(problem), problem)
		return
	}
	if len(q.services) == 0 {
		n.refuse(w, r, "the route has no service with a weight", retryNoReplica)
		return
	}
	if q.setAside() {
		n.rejectSetAside(w, q)
		return
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	defer q.closeRests()
	result, present := q.run(r.Context())
	if !present {
		q.tell(outcomeLeft, 0, result)
		panic(http.ErrAbortHandler)
	}
	q.answer(w, result)
}

// maxLoggedPath bounds how much of a caller's path goes into the log, in bytes.
const maxLoggedPath = 200

// unknownRoute answers what no route matches. A node whose beliefs are old may not
// know a route that was added since: it does not call the request wrong.
func (n *Node) unknownRoute(w http.ResponseWriter, r *http.Request, config *policy.Config) {
	age, confirmed := n.follower.Age()
	if !confirmed || age > n.settings.Load().ConfigApply {
		n.refuse(w, r, "the configuration may be outdated", retryNotReady)
		return
	}
	if len(config.Unreadable) > 0 {
		// The path may belong to a route that could not be read: the request is not wrong.
		n.refuse(w, r, "a route of the configuration could not be read", retryNoReplica)
		return
	}
	n.log.Decision("route_unknown", decisionlog.Fields{"request": platform.RequestID(r.Header), "host": r.Host, "path": r.URL.Path[:min(len(r.URL.Path), maxLoggedPath)], "config_version": config.Version, "beliefs_age_ms": age.Milliseconds()})
	http.Error(w, "no route", http.StatusNotFound)
}

// refuse answers at once that a request has not run, with the time to come back.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, why string, retryAfter time.Duration) {
	n.metrics.refused()
	n.log.Decision("request_refused", decisionlog.Fields{"request": platform.RequestID(r.Header), "cause": why, "retry_after_ms": retryAfter.Milliseconds()})
	writeRefusal(w, retryAfter)
}

func writeRefusal(w http.ResponseWriter, retryAfter time.Duration) {
	writeRefusalFor(w, "not run, come back later", retryAfter)
}

func writeRefusalFor(w http.ResponseWriter, why string, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	http.Error(w, why, http.StatusServiceUnavailable)
}

// newRequest reads a request whole and plans it. The second result is the status of
// a request that cannot be read, or 0.
func (n *Node) newRequest(w http.ResponseWriter, r *http.Request, config *policy.Config, route *policy.Route, target string) (*request, int) {
	q := &request{node: n, route: route, config: config, id: platform.RequestID(r.Header), remote: r.RemoteAddr, arrived: n.now()}
	body, status := readBody(w, r, config.Limits.MaxBodyBytes, n.patience(r, route))
	if status != 0 {
		return nil, status
	}
	q.template = replicaconn.Request{
		Method: r.Method, Target: target, Host: r.Host, Header: forwardable(r.Header), Body: body,
		ID: q.id, Once: !route.Idempotent,
		// Towards a caller of HTTP/1.0 an answer without a length ends with the connection,
		// so that one cut on the way would look whole.
		Stream: route.Gather == nil && r.ProtoAtLeast(1, 1),
	}
	left, _ := platform.RemainingTime(r.Header)
	way := onTheWay
	if firstOnConnection(r.Context()) {
		way = firstOnTheWay
	}
	q.plan = n.beliefs.plan(outlook.Request{Route: route, Arrived: q.arrived, MaxWait: n.patience(r, route), RemainingTime: left, TransitTime: way})
	q.services = q.plan.Services
	q.names = sync.OnceValue(func() quarantine.Names { return q.identity().Names() })
	q.assess()
	return q, 0
}

// readBody reads the whole body, so that it can be sent again and its end is known. A
// caller that stops within it is not waited for longer than it would wait itself. The time
// limit is lifted afterwards: net/http reads on in the background to notice callers that
// leave, and would take the expired limit for one.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, patience time.Duration) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(patience))
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, 0
	}
	// Without this net/http would read on for the rest of the body before it answers.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	default:
		return nil, http.StatusBadRequest
	}
}

// patience is how long the caller is kept waiting at most.
func (n *Node) patience(r *http.Request, route *policy.Route) time.Duration {
	wait := defaultTimeout
	if route.Timeout > 0 {
		wait = route.Timeout
	}
	if left, ok := platform.RemainingTime(r.Header); ok {
		wait = min(wait, left)
	}
	return wait
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// forwardable copies the headers that concern the other end.
func forwardable(header http.Header) http.Header {
	out := header.Clone()
	for _, names := range header["Connection"] {
		for _, name := range strings.Split(names, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
