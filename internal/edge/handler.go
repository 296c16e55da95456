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
	outcomeWhole      = "whole"
	outcomePartial    = "partial"
	outcomeFailed     = "failed"
	outcomeRefused    = "refused"
	outcomeCallerLeft = "caller_left"
)

// The longest Retry-After times of refusals other than rejections. Callers are told between half and all of them.
const (
	retryAfterNotReady  = 300 * time.Millisecond
	retryAfterNoReplica = 500 * time.Millisecond
	retryAfterFull      = 100 * time.Millisecond
	// retryAfterStopping is short: another node serves the caller at once.
	retryAfterStopping = 60 * time.Millisecond
)

const (
	// transitTime is the network time of a request and its answer between caller and node, plus a margin for
	// timers that fire late.
	transitTime = 9 * time.Millisecond
	// firstTransitTime also includes the opening of a connection.
	firstTransitTime = 16 * time.Millisecond
	// defaultTimeout applies if neither the caller nor the route sets a limit.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes is the longest body if the configuration states no limit.
	defaultBodyBytes = 1 << 20
)

// ServeHTTP serves a caller's request.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	select {
	case <-n.stopExpiring:
		n.refuse(w, r, "the node is stopping", retryAfterStopping)
		return
	default:
	}
	config := n.state.config.Load()
	if config == nil {
		n.refuse(w, r, "no configuration is known yet", retryAfterNotReady)
		return
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route := config.Find(r.Host, path)
	if route == nil {
		n.answerUnknownRoute(w, r, config)
		return
	}
	if isTooLong(r, config.Limits.MaxBodyBytes) {
		n.answerTooLong(w)
		return
	}
	held := n.hold(w, r, route)
	if held == nil {
		return
	}
	defer held.release()
	q, failureStatus := n.newRequest(w, r, config, route, target)
	if failureStatus == http.StatusServiceUnavailable {
		n.rejectForMemory(w, r, route, held.rejection)
		return
	}
	if failureStatus == http.StatusRequestEntityTooLarge {
		n.answerTooLong(w)
		return
	}
	if failureStatus != 0 {
		http.Error(w, http.StatusText(failureStatus), failureStatus)
		return
	}
	q.attach(held, streamOf(r.Context()))
	if len(q.services) == 0 {
		n.refuse(w, r, "no service of the route has a positive weight", retryAfterNoReplica)
		return
	}
	if q.isSetAside() {
		n.rejectSetAside(w, q)
		return
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	defer q.closeUnreadBodies()
	result, present := q.run(r.Context())
	if !present {
		q.recordOutcome(outcomeCallerLeft, 0, result)
		panic(http.ErrAbortHandler)
	}
	q.answer(w, result)
}

// maxLoggedPathBytes bounds the logged part of a caller's path.
const maxLoggedPathBytes = 200

// answerUnknownRoute answers a request that matches no route. A node with an outdated configuration may lack
// a new route, and so does not answer that the route does not exist.
func (n *Node) answerUnknownRoute(w http.ResponseWriter, r *http.Request, config *policy.Config) {
	age, confirmed := n.follower.Age()
	if !confirmed || age > n.settings.Load().ConfigApplyLimit {
		n.refuse(w, r, "the configuration may be outdated", retryAfterNotReady)
		return
	}
	if len(config.Unreadable) > 0 {
		// The path may belong to the unreadable route, so the request may be valid.
		n.refuse(w, r, "a route of the configuration could not be read", retryAfterNoReplica)
		return
	}
	n.log.Decision("route_unknown", decisionlog.Fields{"request": platform.RequestID(r.Header), "host": r.Host, "path": r.URL.Path[:min(len(r.URL.Path), maxLoggedPathBytes)], "config_version": config.Version, "beliefs_age_ms": age.Milliseconds()})
	http.Error(w, "no route", http.StatusNotFound)
}

// refuse answers that a request has not run, with the time to wait before another attempt: half of the longest to
// all of it.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, reason string, longest time.Duration) {
	retryAfter := n.state.spreadRetryAfter(longest, statedWait(r))
	n.metrics.countRefused()
	n.log.Decision("request_refused", decisionlog.Fields{"request": platform.RequestID(r.Header), "cause": reason, "retry_after_ms": retryAfter.Milliseconds()})
	writeRefusal(w, retryAfter)
}

func writeRefusal(w http.ResponseWriter, retryAfter time.Duration) {
	writeRefusalReason(w, "not run, come back later", retryAfter)
}

func writeRefusalReason(w http.ResponseWriter, reason string, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// newRequest reads a whole request and plans it. If it cannot be read, the second result is the status to
// answer with, otherwise 0.
func (n *Node) newRequest(w http.ResponseWriter, r *http.Request, config *policy.Config, route *policy.Route, target string) (*request, int) {
	q := &request{node: n, route: route, config: config, id: platform.RequestID(r.Header), remote: r.RemoteAddr, arrived: n.now()}
	body, status := readBody(w, r, config.Limits.MaxBodyBytes, n.maxWait(r, route))
	if status != 0 {
		return nil, status
	}
	removeHopByHop(r.Header)
	q.template = replicaconn.Request{
		Method: r.Method, Target: target, Host: r.Host, Header: r.Header, HeaderLines: n.replicas.RenderHeader(r.Header), Body: body,
		ID: q.id, Once: !route.Idempotent,
		// An answer without a length to an HTTP/1.0 caller ends with the connection, so that a truncated
		// answer would look complete.
		Stream: route.Gather == nil && r.ProtoAtLeast(1, 1),
	}
	remaining, _ := platform.RemainingTime(r.Header)
	transit := transitTime
	if isFirstOnConnection(r.Context()) {
		transit = firstTransitTime
	}
	q.quarantineNames = sync.OnceValue(func() quarantine.Names { return q.identity().Names() })
	q.plan = n.state.plan(outlook.Request{Route: route, Arrived: q.arrived, MaxWait: n.maxWait(r, route), RemainingTime: remaining, TransitTime: transit, Caller: q.caller(), Key: q.returnKey})
	q.services = q.plan.Services
	q.claim = q.newClaim()
	q.applyStandings()
	return q, 0
}

// bodyLimit returns the longest body that the configuration allows, in bytes.
func bodyLimit(configured int64) int64 {
	if configured <= 0 {
		return defaultBodyBytes
	}
	return configured
}

// isTooLong reports whether the caller has announced a body beyond the limit.
func isTooLong(r *http.Request, limit int64) bool { return r.ContentLength > bodyLimit(limit) }

// answerTooLong refuses a body that is too long.
func (n *Node) answerTooLong(w http.ResponseWriter) {
	n.bodiesTooLong.Add(1)
	w.Header().Set("Connection", "close")
	http.Error(w, http.StatusText(http.StatusRequestEntityTooLarge), http.StatusRequestEntityTooLarge)
}

// readBody reads the whole body, so that it can be sent again and is known to be complete. The read is
// bounded by the caller's own time limit. The read deadline is removed afterwards: net/http keeps reading in
// the background to detect callers that disconnect, and would mistake the expired deadline for a disconnect.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, maxWait time.Duration) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(maxWait))
	r.Body = http.MaxBytesReader(w, r.Body, bodyLimit(limit))
	body, err := io.ReadAll(r.Body)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, 0
	}
	// Otherwise net/http would read the rest of the body before it answers.
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, errMemoryFull):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	default:
		return nil, http.StatusBadRequest
	}
}

// statedWait returns how long the caller states that it will wait, by default defaultTimeout.
func statedWait(r *http.Request) time.Duration {
	if remaining, ok := platform.RemainingTime(r.Header); ok {
		return remaining
	}
	return defaultTimeout
}

// maxWait returns the longest time that the caller is kept waiting.
func (n *Node) maxWait(r *http.Request, route *policy.Route) time.Duration {
	wait := defaultTimeout
	if route.Timeout > 0 {
		wait = route.Timeout
	}
	if remaining, ok := platform.RemainingTime(r.Header); ok {
		wait = min(wait, remaining)
	}
	return wait
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// removeHopByHop removes the headers of a single connection. A caller's header is changed in place, as a copy of its lines may
// take many times their bytes.
func removeHopByHop(header http.Header) {
	for _, names := range header["Connection"] {
		for _, name := range strings.Split(names, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
