package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/core/topk"
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
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	result, present := q.run(r.Context())
	if !present {
		q.tell(outcomeLeft, 0, result)
		panic(http.ErrAbortHandler)
	}
	q.answer(w, result)
}

// unknownRoute answers what no route matches. A node whose beliefs are old may not
// know a route that was added since: it does not call the request wrong.
func (n *Node) unknownRoute(w http.ResponseWriter, r *http.Request, config *policy.Config) {
	age, _ := n.follower.Age()
	if age > n.settings.Load().ConfigApply {
		n.refuse(w, r, "the configuration may be outdated", retryNotReady)
		return
	}
	n.log.Decision("route_unknown", decisionlog.Fields{"request": platform.RequestID(r.Header), "host": r.Host, "config_version": config.Version, "beliefs_age_ms": age.Milliseconds()})
	http.Error(w, "no route", http.StatusNotFound)
}

// refuse answers at once that a request has not run, with the time to come back.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, why string, retryAfter time.Duration) {
	n.log.Decision("request_refused", decisionlog.Fields{"request": platform.RequestID(r.Header), "cause": why, "retry_after_ms": retryAfter.Milliseconds()})
	writeRefusal(w, retryAfter)
}

func writeRefusal(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	http.Error(w, "not run, come back later", http.StatusServiceUnavailable)
}

// newRequest reads a request whole and plans it. The second result is the status of
// a request that cannot be read, or 0.
func (n *Node) newRequest(w http.ResponseWriter, r *http.Request, config *policy.Config, route *policy.Route, target string) (*request, int) {
	q := &request{node: n, route: route, config: config, id: platform.RequestID(r.Header), arrived: n.now()}
	body, status := readBody(w, r, config.Limits.MaxBodyBytes)
	if status != 0 {
		return nil, status
	}
	q.services = n.beliefs.services(route)
	q.template = replicaconn.Request{
		Method: r.Method, Target: target, Host: r.Host, Header: forwardable(r.Header), Body: body,
		ID: q.id, Once: !route.Idempotent,
	}
	wait := n.patience(r, route)
	q.plan = scatter.Plan{
		Services: q.services, Least: 1, Idempotent: route.Idempotent, MaxReplicas: route.MaxReplicas,
		Deadline: q.arrived + wait,
	}
	if route.Idempotent {
		q.plan.Hedge = n.beliefs.hedgeAfter(route)
		q.plan.FarExtra = farExtra
	}
	if route.Gather != nil {
		q.plan.Least = route.Gather.Least()
		q.plan.PartialAt = q.arrived + n.partialAfter(r, route, wait)
	}
	return q, 0
}

// readBody reads the whole body, so that it can be sent again and its end is known.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// patience is how long the caller is kept waiting at most.
func (n *Node) patience(r *http.Request, route *policy.Route) time.Duration {
	wait := defaultTimeout
	if route.Timeout > 0 {
		wait = route.Timeout
	}
	if left, ok := platform.TimeLeft(r.Header); ok {
		wait = min(wait, left)
	}
	return wait
}

// partialAfter is when the least coverage is enough: just in time for the answer to
// reach the caller within the route's aim. A part that is missing costs the caller
// less than an answer that comes late.
func (n *Node) partialAfter(r *http.Request, route *policy.Route, wait time.Duration) time.Duration {
	if route.Aim <= 0 {
		return wait
	}
	way := onTheWay
	if firstOnConnection(r.Context()) {
		way = firstOnTheWay
	}
	spent := time.Duration(0)
	if left, ok := platform.TimeLeft(r.Header); ok {
		spent = n.beliefs.spent(route, left)
	}
	return max(route.Aim-way-spent, 0)
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

// answer gives the caller what came of the request.
func (q *request) answer(w http.ResponseWriter, result scatter.Result) {
	if !result.Enough {
		q.answerFailure(w, result)
		return
	}
	if q.route.Gather != nil {
		q.answerGathered(w, result)
		return
	}
	response := q.sends[result.Parts[0]].response
	q.tell(outcomeWhole, response.Status, result)
	relay(w, response)
}

// relay passes a replica's answer on unchanged.
func relay(w http.ResponseWriter, response *replicaconn.Response) {
	header := w.Header()
	for name, values := range forwardable(response.Header) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// A nil entry keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if bodyAllowed(response.Status) {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// answerGathered merges the parts.
func (q *request) answerGathered(w http.ResponseWriter, result scatter.Result) {
	merged, stamps := q.merge(result)
	missing := len(q.services) - len(stamps)
	outcome := outcomeWhole
	if missing > 0 {
		outcome = outcomePartial
		q.noteMissing(result)
	}
	result.Got = len(stamps)
	q.tell(outcome, http.StatusOK, result)
	body := merged.Bytes()
	platform.SetCoverage(w.Header(), stamps, missing)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
}

// merge joins the parts. The parts of a batch cannot be told apart any more, so that
// each batch counts as a whole, and a part of the same shard that came by itself, from
// a hedge, does not.
func (q *request) merge(result scatter.Result) (*topk.Merger, []string) {
	merger := topk.New(q.route.Gather.TopK)
	var stamps []string
	taken := make([]bool, len(q.services))
	seen := map[*batch]bool{}
	for _, one := range q.sends {
		if !one.over || one.batch == nil || seen[one.batch] {
			continue
		}
		seen[one.batch] = true
		merger.Add(one.batch.records)
		for _, member := range one.batch.members {
			taken[member.send.Service] = true
			stamps = append(stamps, platform.Stamp(member.response.Header))
		}
	}
	for i, send := range result.Parts {
		if taken[i] || send < 0 {
			continue
		}
		part := q.sends[send].response
		merger.Add(part.Body)
		stamps = append(stamps, platform.Stamp(part.Header))
	}
	return merger, stamps
}

func (q *request) noteMissing(result scatter.Result) {
	for i, send := range result.Parts {
		if send < 0 {
			q.note(step{Event: "part_missing", Service: q.services[i]})
		}
	}
}

// answerFailure says what is certain: "not run" only when every send proved it.
func (q *request) answerFailure(w http.ResponseWriter, result scatter.Result) {
	if q.route.Gather != nil {
		q.noteMissing(result)
	}
	if !result.MayHaveRun {
		retryAfter := retryFull
		if result.NoReplica {
			retryAfter = retryNoReplica
		}
		q.tell(outcomeRefused, http.StatusServiceUnavailable, result)
		writeRefusal(w, retryAfter)
		return
	}
	if response := q.replicasFailure(); response != nil && !result.PastDeadline {
		q.tell(outcomeFailed, response.Status, result)
		relay(w, response)
		return
	}
	status := http.StatusBadGateway
	if result.PastDeadline {
		status = http.StatusGatewayTimeout
	}
	q.tell(outcomeFailed, status, result)
	http.Error(w, http.StatusText(status), status)
}

// promises are the statuses that tell a caller that its request has not run.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// replicasFailure finds a replica's own failure to pass on: the last one with its
// signature. A failure of a part is not one of the whole, and a status that would
// promise "not run" is not passed on without the replica's proof.
func (q *request) replicasFailure() *replicaconn.Response {
	if q.route.Gather != nil {
		return nil
	}
	for i := len(q.sends) - 1; i >= 0; i-- {
		one := q.sends[i]
		if !one.over || one.response == nil || success(one.response.Status) {
			continue
		}
		if platform.Stamp(one.response.Header) != "" && !promises[one.response.Status] {
			return one.response
		}
	}
	return nil
}

// connKey marks a caller's connection in its requests' contexts.
type connKey struct{}

// callerConn counts the requests of one caller's connection.
type callerConn struct{ requests int }

func withCallerConn(ctx context.Context) context.Context {
	return context.WithValue(ctx, connKey{}, &callerConn{})
}

// firstOnConnection reports whether a request is the first on its connection.
func firstOnConnection(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return false
	}
	conn.requests++
	return conn.requests == 1
}
